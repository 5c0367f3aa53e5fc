//! Leases: what the state machine wants done, and the hand-over of at-most-once memories.

use crate::clock;
use crate::control::Control;
use crate::control::serving::{ServedRange, Stage};
use skylarkdock_outcomes::handover::ChunkLimits;
use skylarkdock_outcomes::limits::Limits;
use skylarkdock_outcomes::memory::{LeaseStart, Memory};
use skylarkdock_ownership::{ClaimReason, Input, LossReason, Output};
use skylarkdock_peer::message::{MemoryPart, Payload};
use skylarkdock_timeline::kind::EventKind;
use skylarkdock_timeline::reasons::{AcquireReason, LossReason as LossNote};
use skylarkdock_units::ids::{Epoch, Member, Offset, RangeId};
use skylarkdock_units::times::{HostTime, Millis};

/// Most parts of memories that are kept for ranges not acquired yet.
const EARLY_PARTS: usize = 4_096;

/// How a lease was acquired.
struct Acquired {
    epoch: Epoch,
    after: Millis,
    why: ClaimReason,
    prior: Option<Epoch>,
}

/// Returns the next epoch of a lease, after a given one, that belongs to a member; places go round.
fn next_epoch(lease: Offset, members: usize, index: usize, after: Epoch) -> Option<Epoch> {
    let mut places = (index..=usize::from(u8::MAX)).step_by(members.max(1));
    let epochs = places.by_ref().filter_map(|place| u8::try_from(place).ok());
    epochs.map(|place| Epoch { offset: lease, place }).find(|epoch| *epoch > after)
}

impl Control {
    pub(super) fn step_node(&mut self, input: Input<'_>) {
        let outputs = self.node.step(clock::host_time(), input);
        self.act(outputs);
    }

    pub(super) fn act(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => self.send(&to, None, Payload::Lease(message)),
                Output::Acquired { range, epoch, after, reason: why, prior } => {
                    self.acquired(range, Acquired { epoch, after, why, prior });
                }
                Output::Drain { range, epoch, successor } => self.drain(&range, epoch, successor),
                Output::Lost { range, epoch, reason: why } => self.lost(&range, epoch, why),
                Output::CatchUp { from, offset } => {
                    if offset > self.fold.state().applied {
                        self.fetch(&from);
                    }
                }
            }
        }
    }

    fn acquired(&mut self, range: RangeId, acquired: Acquired) {
        let Acquired { epoch, after: after_ms, why, prior } = acquired;
        self.plan_soon();
        self.serve_due = true;
        ::log::info!("leases: {range} acquired under {epoch} after {after_ms}.");
        metrics::counter!("skylarkdock_leases_acquired_total").increment(1);
        if why == ClaimReason::Takeover {
            self.doubt_earlier_members(&range, epoch);
        }
        if why == ClaimReason::Renewed {
            self.renew_memory(&range, epoch);
            if let Some(served) = self.served.get_mut(&range) {
                served.epoch = epoch;
            }
        } else {
            self.start_memory(&range, epoch, why, prior);
            let now = clock::host_time();
            self.served.insert(range.clone(), ServedRange::new(epoch, now));
        }
        let why = match why {
            ClaimReason::Assigned if self.is_first_lease(&range, epoch) => AcquireReason::First,
            ClaimReason::Assigned | ClaimReason::HandedOver | ClaimReason::Renewed => {
                AcquireReason::Handover
            }
            ClaimReason::Takeover => AcquireReason::Takeover,
            ClaimReason::Reclaimed => AcquireReason::Regained,
        };
        self.record_event(EventKind::LeaseAcquired { range, epoch, after_ms, why });
    }

    /// Moves no lease back to members that let this one lapse until they have been live for a while.
    fn doubt_earlier_members(&mut self, range: &RangeId, epoch: Epoch) {
        let Some(assignment) = self.fold.state().assignment(range) else { return };
        for member in assignment.members.iter().take(usize::from(epoch.place)) {
            if let Some(since) = self.steady_since.get_mut(member) {
                *since = clock::host_time();
            }
        }
    }

    /// Tells whether nobody can have held the range before this epoch.
    fn is_first_lease(&self, range: &RangeId, epoch: Epoch) -> bool {
        let assignment = self.fold.state().assignment(range);
        let first = assignment
            .is_some_and(|found| found.previous.is_empty() && found.lease == epoch.offset);
        first && epoch.place == 0
    }

    /// Starts the memory of a range, with what the holder before handed over. That covers earlier
    /// requests only if nobody else can have held the range since.
    fn start_memory(
        &mut self,
        range: &RangeId,
        epoch: Epoch,
        why: ClaimReason,
        prior: Option<Epoch>,
    ) {
        let parts = self.early_memory.remove(range).unwrap_or_default();
        let parts: Vec<_> = parts.into_iter().filter(|part| part.to == epoch).collect();
        let last = parts.iter().map(|part| part.from).max();
        let predecessor = last.filter(|from| prior.is_some_and(|prior| prior <= *from));
        let start = LeaseStart { epoch, predecessor, since: clock::wall_time() };
        let first = why == ClaimReason::Assigned && self.is_first_lease(range, epoch);
        let mut memory = if first {
            Memory::for_first_holder(start, Limits::default())
        } else {
            Memory::new(start, Limits::default())
        };
        for part in parts {
            if let Err(error) = memory.import(part) {
                ::log::warn!("leases: a part of the memory of {range} is not usable: {error}.");
            }
        }
        *self.slot(range).memory() = Some(memory);
    }

    /// Carries the memory over to a later epoch of this host.
    fn renew_memory(&mut self, range: &RangeId, epoch: Epoch) {
        let slot = self.slot(range);
        let mut kept = slot.memory();
        let Some(mut old) = kept.take() else { return };
        let predecessor = Some(old.lease_start().epoch);
        let start = LeaseStart { epoch, predecessor, since: clock::wall_time() };
        let mut memory = Memory::new(start, Limits::default());
        for part in old.hand_over(epoch, ChunkLimits::default()) {
            // The parts were made for this epoch just now.
            let _ = memory.import(part);
        }
        *kept = Some(memory);
    }

    pub(super) fn handle_memory_part(&mut self, part: MemoryPart) {
        let MemoryPart { range, chunk } = part;
        let epoch = self.served.get(&range).map(|served| served.epoch);
        if epoch == Some(chunk.to) {
            if let Some(memory) = self.slot(&range).memory().as_mut()
                && let Err(error) = memory.import(chunk)
            {
                ::log::warn!("leases: a part of the memory of {range} is not usable: {error}.");
            }
            return;
        }
        let kept: usize = self.early_memory.values().map(Vec::len).sum();
        if kept < EARLY_PARTS {
            self.early_memory.entry(range).or_default().push(chunk);
        }
    }

    fn drain(&mut self, range: &RangeId, epoch: Epoch, successor: Option<Member>) {
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

    /// Ends a drained range here and hands its memory to the members that can hold it next.
    pub(super) fn finish_drain(&mut self, range: &RangeId, epoch: Epoch, to: Option<Member>) {
        self.hand_over_memory(range, epoch);
        self.stop_serving(range);
        self.record_event(EventKind::LeaseReleased { range: range.clone(), epoch, to });
        self.step_node(Input::Drained { range: range.clone(), epoch });
    }

    /// Hands the memory to every member of the newest lease that could hold the range next. Each
    /// gets it for its own epoch, and uses it only if nobody held the range in between.
    fn hand_over_memory(&mut self, range: &RangeId, epoch: Epoch) {
        let Some(assignment) = self.fold.state().assignment(range) else { return };
        let (lease, members) = (assignment.lease, assignment.members.clone());
        let slot = self.slot(range);
        for (index, member) in members.iter().enumerate() {
            let Some(next) = next_epoch(lease, members.len(), index, epoch) else { continue };
            if *member == self.parts.me {
                continue;
            }
            let parts = match slot.memory().as_mut() {
                Some(memory) => memory.hand_over(next, ChunkLimits::default()),
                None => return,
            };
            for chunk in parts {
                let part = MemoryPart { range: range.clone(), chunk };
                self.send(&member.host, None, Payload::Memory(part));
            }
        }
    }

    fn lost(&mut self, range: &RangeId, epoch: Epoch, why: LossReason) {
        ::log::warn!("leases: {range} lost under {epoch}: {why:?}.");
        metrics::counter!("skylarkdock_leases_lost_total").increment(1);
        self.stop_serving(range);
        let why = match why {
            LossReason::Lapsed => LossNote::Expired,
            LossReason::Revoked => LossNote::Superseded,
        };
        self.record_event(EventKind::LeaseLost { range: range.clone(), epoch, why });
    }

    /// Returns the offset that the holder may act on, for a range held here.
    pub(super) fn usable_assignment(&self, range: &RangeId) -> Option<Offset> {
        self.holds.get(range).map(|(_, assignment)| *assignment)
    }

    /// Extends the leases that traffic sees.
    pub(super) fn extend_leases(&mut self) {
        self.holds.clear();
        for hold in self.node.holds() {
            self.holds.insert(hold.range.clone(), (hold.epoch, hold.assignment));
            if let Some(slot) = self.slots.get(hold.range) {
                slot.extend(hold.until);
            }
        }
    }

    /// Returns the time by which all grants of earlier holders have expired.
    pub(super) fn earlier_grants_expiry(now: HostTime) -> HostTime {
        now + skylarkdock_grants::manager::GRANT_DURATION_MS
            + skylarkdock_grants::manager::MAX_CLOCK_DRIFT_MS
    }
}
