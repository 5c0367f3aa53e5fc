//! Renewal of recorded grants.
//!
//! A keeper renews the grants recorded in the newest table that it knows. It stops `proof_lifetime` after its last
//! proof that no newer table exists, so a leader that can't reach it knows when its renewals have ended.

use crate::restored::{Memory, StoreCopy};
use crate::table::{FencingToken, Holder, Span, Table};
use crate::timing::Timing;
use serde::{Deserialize, Serialize};
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{HostId, Region};
use skylarkdock_units::times::{HostTime, Millis};

/// Renewals without an answer, counted since the last confirmed one, from which a holder counts as unreachable.
const UNREACHABLE_FAILURES: u32 = 3;

/// Time without an answer after which a renewal that fails suspends a holder: it may have crashed unnoticed and a later
/// incarnation may listen at its address. A holder that has never answered is suspended by its first renewal that
/// fails. One whose suspension has ended has as much time for an answer. Proof of this age no longer tells whether a new
/// connection reaches the same incarnation.
const MAX_ANSWER_AGE: Millis = Millis(1_500);

/// A call that grants a holder a span for one grant lifetime.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Grant {
    /// First key to grant.
    pub first: u16,
    /// Last key to grant, inclusive.
    pub last: u16,
    /// Upstream to call.
    pub holder: Holder,
    /// Fencing token of the grant.
    pub fence: FencingToken,
    /// State that a former holder returned with its release; `None` in renewals.
    pub handover: Option<String>,
}

/// Why a grant is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// A keeper renews a recorded grant.
    Renewal,
    /// The leader grants keys to their new owner.
    Move,
}

/// The connection over which a call to a holder goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// One that is open, to the process that accepted it.
    Open,
    /// A new one, which the process accepts that listens at the address by then.
    New,
}

/// A call that makes a holder release keys before they are granted to another.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Release {
    /// First key to release.
    pub first: u16,
    /// Last key to release, inclusive.
    pub last: u16,
    /// Upstream to call.
    pub holder: Holder,
    /// Fencing token of the span's next grant; the holder refuses late renewals with a smaller one.
    pub fence: FencingToken,
}

/// Result of a grant or release call to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEnd {
    /// The upstream confirmed the call.
    Done,
    /// The upstream refused the call, as it has seen a larger fencing token for these keys.
    Fenced,
    /// Another upstream listens at the address, so the called one has ended.
    Gone,
    /// The upstream turned the call away because it had no capacity.
    Refused,
    /// There was no answer that tells whether the upstream carried out the call.
    Unknown,
}

/// The last time that a keeper sent a particular grant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastSent {
    /// Upstream that the grant was sent to.
    pub holder: Holder,
    /// First key of the grant.
    pub first: u16,
    /// Last key of the grant, inclusive.
    pub last: u16,
    /// Fencing token of the grant.
    pub fence: FencingToken,
    /// Time from the sending of the grant to the creation of the acknowledgement.
    pub age: Millis,
}

/// A keeper's acknowledgement of a table, with the grants that it has sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// Keeper that sends the acknowledgement.
    pub host: HostId,
    /// Version of the newest table that the keeper knows.
    pub version: u64,
    /// Time since the keeper's process started. An earlier process of the same host may have sent grants before the
    /// start.
    pub running: Millis,
    /// Grants that this process sent and that may still be in force.
    pub sent: Vec<LastSent>,
    /// Holders that have left several of the keeper's renewals unanswered since the last one that they confirmed.
    pub unreachable: Vec<Holder>,
}

#[derive(Debug, Clone, Copy, Default)]
struct HolderState {
    /// When its last answer arrived; zero if it has not answered since its connection broke.
    answered_at: HostTime,
    /// When a renewal was last turned away within `MAX_ANSWER_AGE` of an answer or of such a refusal. Any process may turn
    /// calls away, so this is no answer. Zero like `answered_at`.
    refused_at: HostTime,
    /// When its last suspension ended; zero before the first one. An entry of the registry ends it, which is no answer.
    resumed_at: HostTime,
    failures: u32,
    suspended_at: Option<HostTime>,
}

impl HolderState {
    /// Returns when a renewal was last answered or turned away.
    fn heard_at(&self) -> HostTime {
        self.answered_at.max(self.refused_at)
    }

    const fn forget_answers(&mut self) {
        self.answered_at = HostTime(0);
        self.refused_at = HostTime(0);
    }
}

/// Grant renewals of one service on one host.
#[derive(Debug)]
pub struct Renewals {
    own_host: HostId,
    region: Region,
    timing: Timing,
    started_at: HostTime,
    table: Option<Table>,
    proof_at: HostTime,
    /// Start of the process, or the end of the last time for which it was stopped. Proof from before does not count.
    proof_since: HostTime,
    /// When the due renewals were last asked for; zero before the first time.
    checked_at: HostTime,
    holders: FastMap<Holder, HolderState>,
    /// When each span was last granted or renewed; zero for one that is due at once.
    renewed_at: FastMap<(u16, u16, FencingToken), HostTime>,
    /// Spans that this host granted as leader. While they are not recorded as granted, it renews them even if it no
    /// longer leads: no other host knows of them while the store is unavailable.
    granted: FastSet<(u16, u16, FencingToken)>,
    /// When each grant was last refused because the holder has seen a larger token, so that a newer table may exist.
    fenced_at: FastMap<(u16, u16, FencingToken), HostTime>,
    /// When each grant that may still be in force was last sent, including grants of earlier tables.
    sent: FastMap<(Holder, u16, u16, FencingToken), HostTime>,
}

impl Renewals {
    /// Creates the state of a process that started at `now` and has read no table yet.
    pub fn new(own_host: HostId, region: Region, timing: Timing, now: HostTime) -> Self {
        Self {
            own_host,
            region,
            timing,
            started_at: now,
            table: None,
            proof_at: HostTime(0),
            proof_since: now,
            checked_at: HostTime(0),
            holders: FastMap::default(),
            renewed_at: FastMap::default(),
            granted: FastSet::default(),
            fenced_at: FastMap::default(),
            sent: FastMap::default(),
        }
    }

    /// Returns the newest table known, if any has been read.
    pub const fn table(&self) -> Option<&Table> {
        self.table.as_ref()
    }

    /// Replaces the table if `table` is newer.
    pub fn adopt(&mut self, table: Table) {
        if self.table.as_ref().is_some_and(|known| known.version >= table.version) {
            return;
        }
        // Most hosts renew nothing.
        let is_idle = self.renewed_at.is_empty() && self.granted.is_empty();
        if !is_idle || !self.fenced_at.is_empty() {
            let recorded: FastSet<(u16, u16, FencingToken)> =
                table.spans.iter().map(|span| (span.first, span.last, span.fence)).collect();
            self.renewed_at.retain(|span, _| recorded.contains(span));
            self.granted.retain(|span| recorded.contains(span));
            self.fenced_at.retain(|span, _| recorded.contains(span));
        }
        self.table = Some(table);
    }

    /// Records proof that at time `at` no table was newer than the one known. Proof from before the start of the process
    /// does not count: an earlier process of this host may have acknowledged a newer table since.
    pub fn prove(&mut self, at: HostTime) {
        if at >= self.proof_since {
            self.proof_at = self.proof_at.max(at);
        }
    }

    /// Handles a read of a copy of the store that was sent at `at`. If the newest record of the table can't be read, it may be
    /// a newer table, and if the known one was recorded in an earlier copy, or none is known, a newer one may be lost. Then
    /// the read proves nothing.
    pub fn on_read(&mut self, at: HostTime, copy: StoreCopy, is_readable: bool) {
        let may_be_lost = match &self.table {
            Some(table) => table.is_of_earlier_copy(copy),
            None => copy != StoreCopy::default(),
        };
        if is_readable && !may_be_lost {
            self.prove(at);
        }
    }

    /// Returns what this process remembers of the table, for a leader that may not know the last version.
    pub fn memory(&self, now: HostTime) -> Memory {
        Memory {
            table: self.table.clone(),
            proof_age: (self.proof_at.0 > 0).then(|| now.since(self.proof_at)),
            running: now.since(self.started_at),
            first_copy: None,
        }
    }

    /// Returns whether the last proof is recent enough for this host to send grants of its table.
    pub fn has_proof(&self, now: HostTime) -> bool {
        self.proof_at.0 > 0 && now.since(self.proof_at) < self.timing.proof_lifetime
    }

    /// Drops the proof if the process was stopped for a grant lifetime: in that time a holder may have released keys and
    /// started anew, so that it takes a renewal with the former token.
    fn notice_stop(&mut self, now: HostTime) {
        if self.checked_at.0 > 0 && now.since(self.checked_at) > self.timing.hold {
            self.proof_since = now;
            self.proof_at = HostTime(0);
            self.checked_at = now;
        }
    }

    /// Returns the renewals that are due, and records them as sent. Has to be called all the time, also on hosts that are
    /// no keepers, as a pause counts as a time for which the process was stopped.
    pub fn due_renewals(&mut self, now: HostTime) -> Vec<Grant> {
        self.notice_stop(now);
        self.checked_at = now;
        let Some(table) = &self.table else { return Vec::new() };
        if !self.is_keeper(table) || !self.has_proof(now) {
            return Vec::new();
        }
        let mut due = Vec::new();
        for span in &table.spans {
            if !self.renews(table, span) {
                continue;
            }
            let sent_at = self.renewed_at.entry((span.first, span.last, span.fence)).or_default();
            if sent_at.0 > 0 && now.since(*sent_at) < self.timing.renewal_interval() {
                continue;
            }
            *sent_at = now;
            due.push(Grant {
                first: span.first,
                last: span.last,
                holder: span.owner.clone(),
                fence: span.fence,
                handover: None,
            });
        }
        for grant in &due {
            self.record_sent(grant, now);
        }
        let expiry = self.timing.grant_expiry();
        self.sent.retain(|_, sent_at| now.since(*sent_at) <= expiry);
        due
    }

    fn is_keeper(&self, table: &Table) -> bool {
        table.keepers.iter().any(|keeper| keeper.host == self.own_host)
    }

    /// Returns whether this host, as a keeper, renews the grant of a span.
    fn renews(&self, table: &Table, span: &Span) -> bool {
        // Keepers renew the grants of owners in their own region, and of owners in regions without a keeper.
        let has_regional_keeper =
            table.keepers.iter().any(|keeper| keeper.region == span.owner.region);
        let is_responsible = !has_regional_keeper || span.owner.region == self.region;
        let is_granted_here = self.granted.contains(&(span.first, span.last, span.fence));
        let is_due = if span.is_granted { is_responsible } else { is_granted_here };
        is_due && self.suspended_at(&span.owner).is_none()
    }

    /// Returns whether a grant that was decided on earlier may be sent now, and records it as sent if so. While it waited
    /// for another call to the holder, the keys may have got another owner, or the holder may have been suspended.
    pub fn confirm_send(
        &mut self,
        grant: &Grant,
        purpose: Purpose,
        conn: Connection,
        now: HostTime,
    ) -> bool {
        self.notice_stop(now);
        let Some(table) = &self.table else { return false };
        let span = table.span(grant.first).filter(|span| span.matches(grant));
        let id = (grant.first, grant.last, grant.fence);
        let may_send = self.has_proof(now)
            && self.fenced_at.get(&id).is_none_or(|refused_at| self.proof_at > *refused_at)
            && (conn == Connection::Open || self.may_connect(&grant.holder, now))
            && span.is_some_and(|span| match purpose {
                Purpose::Renewal => self.is_keeper(table) && self.renews(table, span),
                Purpose::Move => table.leader == self.own_host && !span.is_granted,
            });
        if may_send {
            self.record_sent(grant, now);
            self.renewed_at.insert(id, now);
        }
        may_send
    }

    /// Returns whether a grant may go over a new connection, by recent proof or as the holder answered lately. Since older
    /// proof, the keys may have got another owner, and the holder may have released them and started anew, so that it
    /// knows of no larger token.
    pub fn may_connect(&self, holder: &Holder, now: HostTime) -> bool {
        now.since(self.proof_at) <= MAX_ANSWER_AGE || self.has_recent_answer(holder, now)
    }

    /// Returns whether a table that was planned earlier may still be written: it must follow the newest one known, if there
    /// is one. The store only checks that this host knows all records, and meanwhile it may have read a table of another
    /// leader. The first version in a copy of the store leaves out some numbers.
    pub fn confirm_write(&self, table: &Table) -> bool {
        self.table.as_ref().is_none_or(|known| {
            let is_first_in_copy = table.copy.is_some_and(|copy| known.is_of_earlier_copy(copy));
            table.version == known.version + 1
                || (is_first_in_copy && table.version > known.version)
        })
    }

    /// Records that the upstream confirmed a grant which this host sent as leader.
    pub fn on_granted(&mut self, grant: &Grant) {
        self.granted.insert((grant.first, grant.last, grant.fence));
    }

    /// Records that the holder refused a grant because it has seen a larger token. Proof from before does not count for the
    /// grant any more: the next incarnation of the holder would take it.
    pub fn on_fenced(&mut self, grant: &Grant, now: HostTime) {
        self.fenced_at.insert((grant.first, grant.last, grant.fence), now);
    }

    /// Returns the spans that this host granted as leader and that its table does not record as granted yet.
    pub fn unrecorded_grants(&self) -> impl Iterator<Item = (u16, u16, FencingToken)> {
        let spans = self.table.iter().flat_map(|table| &table.spans);
        let pending = spans.filter(|span| !span.is_granted);
        let ids = pending.map(|span| (span.first, span.last, span.fence));
        ids.filter(|id| self.granted.contains(id))
    }

    fn record_sent(&mut self, grant: &Grant, now: HostTime) {
        let key = (grant.holder.clone(), grant.first, grant.last, grant.fence);
        self.sent.insert(key, now);
    }

    /// Records the result of a renewal. One without an answer is due again at once, unless its holder has left more
    /// than `UNREACHABLE_FAILURES` renewals unanswered since the last one that it confirmed.
    pub fn on_renewal_end(&mut self, grant: &Grant, end: CallEnd, now: HostTime) {
        let state = self.holders.entry(grant.holder.clone()).or_default();
        match end {
            CallEnd::Done => {
                state.failures = 0;
                state.answered_at = now;
            }
            CallEnd::Fenced => {
                state.answered_at = now;
                self.on_fenced(grant, now);
            }
            CallEnd::Gone => {
                state.forget_answers();
                state.suspended_at = Some(now);
            }
            // An overloaded holder keeps its keys. After a longer silence, another incarnation may have refused.
            CallEnd::Refused if now.since(state.heard_at()) <= MAX_ANSWER_AGE => {
                state.refused_at = now;
            }
            CallEnd::Refused | CallEnd::Unknown => {
                state.failures += 1;
                if now.since(state.heard_at().max(state.resumed_at)) > MAX_ANSWER_AGE {
                    state.suspended_at.get_or_insert(now);
                }
                if state.failures <= UNREACHABLE_FAILURES {
                    self.renewed_at.insert((grant.first, grant.last, grant.fence), HostTime(0));
                }
            }
        }
    }

    /// Stops renewals to an incarnation whose connection broke: a later incarnation may listen at the address and must
    /// not get the grants of the earlier one. Answers from before no longer count.
    pub fn suspend(&mut self, holder: &Holder, now: HostTime) {
        let state = self.holders.entry(holder.clone()).or_default();
        state.forget_answers();
        state.suspended_at.get_or_insert(now);
    }

    /// Resumes renewals to an incarnation that the registry has confirmed since its suspension. Its entry may have been
    /// written before the suspension, so a new connection to it still needs recent proof.
    pub fn resume(&mut self, holder: &Holder, now: HostTime) {
        if let Some(state) = self.holders.get_mut(holder) {
            state.suspended_at = None;
            state.resumed_at = now;
        }
    }

    /// Returns whether a holder answered lately, so that it can't have been replaced by a later incarnation unnoticed.
    pub fn has_recent_answer(&self, holder: &Holder, now: HostTime) -> bool {
        self.holders.get(holder).is_some_and(|state| now.since(state.answered_at) <= MAX_ANSWER_AGE)
    }

    /// Returns the suspended holders and when each was suspended.
    pub fn suspended(&self) -> Vec<(Holder, HostTime)> {
        let holders = self.holders.iter();
        holders.filter_map(|(holder, state)| Some((holder.clone(), state.suspended_at?))).collect()
    }

    /// Returns whether a holder has left at least `UNREACHABLE_FAILURES` renewals unanswered since the last one that it
    /// confirmed.
    pub fn is_unreachable(&self, holder: &Holder) -> bool {
        self.holders.get(holder).is_some_and(|state| state.failures >= UNREACHABLE_FAILURES)
    }

    /// Returns when renewals to a holder were suspended, `None` if they are not.
    pub fn suspended_at(&self, holder: &Holder) -> Option<HostTime> {
        self.holders.get(holder)?.suspended_at
    }

    /// Returns this host's acknowledgement of the table that it knows.
    pub fn ack(&self, now: HostTime) -> Ack {
        let sent = self.sent.iter().map(|((holder, first, last, fence), sent_at)| LastSent {
            holder: holder.clone(),
            first: *first,
            last: *last,
            fence: *fence,
            age: now.since(*sent_at),
        });
        let unreachable = self.holders.keys().filter(|holder| self.is_unreachable(holder));
        Ack {
            host: self.own_host.clone(),
            version: self.table.as_ref().map_or(0, |table| table.version),
            running: now.since(self.started_at),
            sent: sent.collect(),
            unreachable: unreachable.cloned().collect(),
        }
    }
}
