//! Acts on the outputs of the lease state machine, and hands over deduplication memories.

use crate::clock;
use crate::control::Control;
use crate::control::serving::{ServedRange, Stage};
use skylarkdock_outcomes::handover::ChunkLimits;
use skylarkdock_outcomes::limits::Limits;
use skylarkdock_outcomes::memory::{LeaseStart, Memory};
use skylarkdock_ownership::{ClaimReason, Input, LossReason, Output};
use skylarkdock_peer::message::{MemoryPart, Payload};
use skylarkdock_timeline::kind::EventKind;
use skylarkdock_timeline::reasons::{AcquireReason, LossReason as TimelineLossReason};
use skylarkdock_units::ids::{Epoch, Member, Offset, RangeId};
use skylarkdock_units::times::{HostTime, Millis};

/// Maximum number of memory chunks kept for ranges that this host has not acquired yet.
const MAX_EARLY_CHUNKS: usize = 4_096;

/// The acquisition of a lease, see [`Output::Acquired`].
struct Acquired {
    epoch: Epoch,
    after: Millis,
    reason: ClaimReason,
    prior: Option<Epoch>,
}

/// Returns the first epoch of a lease later than `after` whose place belongs to the member at
/// `index`. Places are assigned to the members in turn.
fn next_epoch(lease: Offset, members: usize, index: usize, after: Epoch) -> Option<Epoch> {
    let mut places = (index..=usize::from(u8::MAX)).step_by(members.max(1));
    let epochs = places.by_ref().filter_map(|place| u8::try_from(place).ok());
    epochs.map(|place| Epoch { offset: lease, place }).find(|epoch| *epoch > after)
}

impl Control {
    pub(super) fn step_node(&mut self, input: Input<'_>) {
        let outputs = self.node.step(clock::host_time(), input);
        self.handle_outputs(outputs);
    }

    pub(super) fn handle_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(&to, None, Payload::Lease(message)),
                Output::Acquired { range, epoch, after, reason, prior } => {
                    self.handle_acquired(range, Acquired { epoch, after, reason, prior });
                }
                Output::Drain { range, epoch, successor } => {
                    self.start_drain(&range, epoch, successor)
                }
                Output::Lost { range, epoch, reason } => self.handle_lost(&range, epoch, reason),
                Output::CatchUp { from, offset } => {
                    if offset > self.fold.state().applied {
                        self.fetch(&from);
                    }
                }
            }
        }
    }

    fn handle_acquired(&mut self, range: RangeId, acquired: Acquired) {
        let Acquired { epoch, after: after_ms, reason, prior } = acquired;
        self.schedule_plan();
        self.serve_due = true;
        ::log::info!("leases: acquired {range} under epoch {epoch} after {after_ms}.");
        metrics::counter!("skylarkdock_leases_acquired_total").increment(1);
        if reason == ClaimReason::Takeover {
            self.restart_stability_of_earlier_members(&range, epoch);
        }
        if reason == ClaimReason::Renewed {
            self.renew_memory(&range, epoch);
            if let Some(served) = self.served.get_mut(&range) {
                served.epoch = epoch;
            }
        } else {
            self.start_memory(&range, epoch, reason, prior);
            let now = clock::host_time();
            self.served.insert(range.clone(), ServedRange::new(epoch, now));
        }
        let acquire_reason = match reason {
            ClaimReason::Assigned if self.is_first_lease(&range, epoch) => AcquireReason::First,
            ClaimReason::Assigned | ClaimReason::HandedOver | ClaimReason::Renewed => {
                AcquireReason::Handover
            }
            ClaimReason::Takeover => AcquireReason::Takeover,
            ClaimReason::Reclaimed => AcquireReason::Regained,
        };
        self.record_event(EventKind::LeaseAcquired { range, epoch, after_ms, why: acquire_reason });
    }

    /// Restarts the stability period of the members that precede this one in the lease and let it
    /// lapse, so that no lease is moved back to them until the period has passed again.
    fn restart_stability_of_earlier_members(&mut self, range: &RangeId, epoch: Epoch) {
        let Some(assignment) = self.fold.state().assignment(range) else { return };
        for member in assignment.members.iter().take(usize::from(epoch.place)) {
            if let Some(since) = self.stable_since.get_mut(member) {
                *since = clock::host_time();
            }
        }
    }

    /// Returns whether no host can have held the range before this epoch.
    fn is_first_lease(&self, range: &RangeId, epoch: Epoch) -> bool {
        let assignment = self.fold.state().assignment(range);
        let is_first_assignment = assignment.is_some_and(|assignment| {
            assignment.previous.is_empty() && assignment.lease == epoch.offset
        });
        is_first_assignment && epoch.place == 0
    }

    /// Creates the memory of a range and imports the chunks that its previous holder handed over. They
    /// cover earlier requests only if no other host can have held the range since.
    fn start_memory(
        &mut self,
        range: &RangeId,
        epoch: Epoch,
        reason: ClaimReason,
        prior: Option<Epoch>,
    ) {
        let chunks = self.early_chunks.remove(range).unwrap_or_default();
        let chunks: Vec<_> = chunks.into_iter().filter(|chunk| chunk.to == epoch).collect();
        let last = chunks.iter().map(|chunk| chunk.from).max();
        let predecessor = last.filter(|from| prior.is_some_and(|prior| prior <= *from));
        let start = LeaseStart { epoch, predecessor, since: clock::wall_time() };
        let is_first = reason == ClaimReason::Assigned && self.is_first_lease(range, epoch);
        let mut memory = if is_first {
            Memory::for_first_holder(start, Limits::default())
        } else {
            Memory::new(start, Limits::default())
        };
        for chunk in chunks {
            if let Err(error) = memory.import(chunk) {
                ::log::warn!("leases: can't import a chunk of the memory of {range}: {error}.");
            }
        }
        *self.slot(range).memory() = Some(memory);
    }

    /// Transfers the memory of a range to a later epoch of this host.
    fn renew_memory(&mut self, range: &RangeId, epoch: Epoch) {
        let slot = self.slot(range);
        let mut current = slot.memory();
        let Some(mut previous) = current.take() else { return };
        let predecessor = Some(previous.lease_start().epoch);
        let start = LeaseStart { epoch, predecessor, since: clock::wall_time() };
        let mut memory = Memory::new(start, Limits::default());
        for chunk in previous.hand_over(epoch, ChunkLimits::default()) {
            // No error is expected: the chunks were just created for this epoch.
            let _ = memory.import(chunk);
        }
        *current = Some(memory);
    }

    pub(super) fn handle_memory_part(&mut self, part: MemoryPart) {
        let MemoryPart { range, chunk } = part;
        let epoch = self.served.get(&range).map(|served| served.epoch);
        if epoch == Some(chunk.to) {
            if let Some(memory) = self.slot(&range).memory().as_mut()
                && let Err(error) = memory.import(chunk)
            {
                ::log::warn!("leases: can't import a chunk of the memory of {range}: {error}.");
            }
            return;
        }
        let early_count: usize = self.early_chunks.values().map(Vec::len).sum();
        if early_count < MAX_EARLY_CHUNKS {
            self.early_chunks.entry(range).or_default().push(chunk);
        }
    }

    fn start_drain(&mut self, range: &RangeId, epoch: Epoch, successor: Option<Member>) {
        let since = clock::host_time();
        let Some(served) = self.served.get_mut(range) else {
            self.step_node(Input::Drained { range: range.clone(), epoch });
            return;
        };
        if let Stage::Draining { successor: known, .. } = &mut served.stage {
            *known = successor;
            return;
        }
        served.stage = Stage::Draining { epoch, successor, since };
        self.slot(range).close();
    }

    /// Stops serving a drained range and hands its memory to the members that can hold the range next.
    pub(super) fn finish_drain(&mut self, range: &RangeId, epoch: Epoch, to: Option<Member>) {
        self.hand_over_memory(range, epoch);
        self.stop_serving(range);
        self.record_event(EventKind::LeaseReleased { range: range.clone(), epoch, to });
        self.step_node(Input::Drained { range: range.clone(), epoch });
    }

    /// Hands the memory to every member of the newest lease that can hold the range next. Each member
    /// gets it for its own epoch, and uses it only if no other host held the range in between.
    fn hand_over_memory(&mut self, range: &RangeId, epoch: Epoch) {
        let Some(assignment) = self.fold.state().assignment(range) else { return };
        let (lease, members) = (assignment.lease, assignment.members.clone());
        let slot = self.slot(range);
        for (index, member) in members.iter().enumerate() {
            let Some(next) = next_epoch(lease, members.len(), index, epoch) else { continue };
            if *member == self.deps.me {
                continue;
            }
            let chunks = match slot.memory().as_mut() {
                Some(memory) => memory.hand_over(next, ChunkLimits::default()),
                None => return,
            };
            for chunk in chunks {
                let part = MemoryPart { range: range.clone(), chunk };
                self.send(&member.host, None, Payload::Memory(part));
            }
        }
    }

    fn handle_lost(&mut self, range: &RangeId, epoch: Epoch, reason: LossReason) {
        ::log::warn!("leases: lost {range} under epoch {epoch}: {reason:?}.");
        metrics::counter!("skylarkdock_leases_lost_total").increment(1);
        self.stop_serving(range);
        let timeline_reason = match reason {
            LossReason::Lapsed => TimelineLossReason::Expired,
            LossReason::Revoked => TimelineLossReason::Superseded,
        };
        self.record_event(EventKind::LeaseLost {
            range: range.clone(),
            epoch,
            why: timeline_reason,
        });
    }

    /// Returns the offset of the newest assignment that this host may act on, for a range held here.
    pub(super) fn usable_assignment(&self, range: &RangeId) -> Option<Offset> {
        self.holds.get(range).map(|(_, assignment)| *assignment)
    }

    /// Updates the held ranges, and the ends of leases that the traffic threads check.
    pub(super) fn extend_leases(&mut self) {
        self.holds.clear();
        for hold in self.node.holds() {
            self.holds.insert(hold.range.clone(), (hold.epoch, hold.assignment));
            if let Some(slot) = self.slots.get(hold.range) {
                slot.extend_lease(hold.until);
            }
        }
    }

    /// Returns the time by which all grants of earlier holders have expired.
    pub(super) fn earlier_grants_expiry(now: HostTime) -> HostTime {
        now + skylarkdock_grants::manager::GRANT_DURATION_MS
            + skylarkdock_grants::manager::MAX_CLOCK_DRIFT_MS
    }
}
