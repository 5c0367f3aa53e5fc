//! Renewal of recorded grants.
//!
//! A keeper renews what the newest table that it knows records as granted. Its right to do so ends some time after it
//! last had proof that no newer table exists, so that a leader who can't reach it knows when it has stopped.

use crate::table::{FencingToken, Holder, Table};
use crate::timing::Timing;
use serde::{Deserialize, Serialize};
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{HostId, Region};
use skylarkdock_units::times::{HostTime, Millis};

/// Failed renewals in a row after which a holder counts as unreachable.
const UNREACHABLE_AFTER: u32 = 3;

/// Silence after which a holder may have crashed unseen and another life may listen at its address.
const MAX_SILENCE: Millis = Millis(1_500);

/// A grant to send.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Grant {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// The holder.
    pub holder: Holder,
    /// Its fencing token.
    pub fence: FencingToken,
    /// What the last holder handed over.
    pub handover: Option<String>,
}

/// Keys that a holder is to release.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Release {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// The holder.
    pub holder: Holder,
    /// The fencing token of the span's next grant, which rules out later renewals with the old one.
    pub fence: FencingToken,
}

/// How a call to an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallEnd {
    /// It was carried out.
    Done,
    /// The upstream has seen a higher fencing token.
    Fenced,
    /// Another upstream has the address: the one that was called has ended.
    Gone,
    /// No answer: it may or may not be carried out.
    Unknown,
}

/// When a grant was last sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastSent {
    /// The holder.
    pub holder: Holder,
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Fencing token.
    pub fence: FencingToken,
    /// How long ago.
    pub age: Millis,
}

/// A keeper's word about a table.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ack {
    /// The keeper.
    pub host: HostId,
    /// The version that it goes by.
    pub version: u64,
    /// How long its process has run; an earlier one may have sent grants until then.
    pub running: Millis,
    /// The grants that it sent and that may still be in force.
    pub sent: Vec<LastSent>,
    /// Holders that don't answer it.
    pub unreachable: Vec<Holder>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Record {
    answered_at: HostTime,
    failures: u32,
    suspended_at: Option<HostTime>,
}

/// The renewals of one service by one host.
#[derive(Debug)]
pub struct Keep {
    me: HostId,
    region: Region,
    timing: Timing,
    started_at: HostTime,
    table: Option<Table>,
    proof_at: HostTime,
    holders: FastMap<Holder, Record>,
    /// When the renewal of a span is counted from.
    spans: FastMap<(u16, u16, FencingToken), HostTime>,
    /// Spans that this host granted as leader and that are not recorded as granted. It renews them though it may have
    /// lost the lead: nobody else knows of them while the store is away.
    granted: FastSet<(u16, u16, FencingToken)>,
    /// Grants that may still be in force, with those of earlier tables.
    sent: FastMap<(Holder, u16, u16, FencingToken), HostTime>,
}

impl Keep {
    /// Starts without a table.
    pub fn new(me: HostId, region: Region, timing: Timing, now: HostTime) -> Self {
        Self {
            me,
            region,
            timing,
            started_at: now,
            table: None,
            proof_at: HostTime(0),
            holders: FastMap::default(),
            spans: FastMap::default(),
            granted: FastSet::default(),
            sent: FastMap::default(),
        }
    }

    /// Returns the table.
    pub const fn table(&self) -> Option<&Table> {
        self.table.as_ref()
    }

    /// Takes a table over if it is newer than the one known.
    pub fn adopt(&mut self, table: Table) {
        if self.table.as_ref().is_some_and(|known| known.version >= table.version) {
            return;
        }
        let kept: FastSet<(u16, u16, FencingToken)> =
            table.spans.iter().map(|span| (span.first, span.last, span.fence)).collect();
        self.spans.retain(|span, _| kept.contains(span));
        self.granted.retain(|span| kept.contains(span));
        self.table = Some(table);
    }

    /// Notes that the table was the newest one at a time.
    pub fn prove(&mut self, at: HostTime) {
        self.proof_at = self.proof_at.max(at);
    }

    /// Returns whether this host may still act on its table.
    pub fn has_proof(&self, now: HostTime) -> bool {
        self.proof_at.0 > 0 && now.since(self.proof_at) < self.timing.proof_lifetime
    }

    /// Returns the renewals that are due, and counts them as sent.
    pub fn due(&mut self, now: HostTime) -> Vec<Grant> {
        let Some(table) = &self.table else { return Vec::new() };
        let is_keeper = table.keepers.iter().any(|keeper| keeper.host == self.me);
        if !is_keeper || !self.has_proof(now) {
            return Vec::new();
        }
        let mut due = Vec::new();
        for span in &table.spans {
            let is_own = self.granted.contains(&(span.first, span.last, span.fence));
            let covered = table.keepers.iter().any(|keeper| keeper.region == span.owner.region);
            let is_near = !covered || span.owner.region == self.region;
            let is_due = if span.is_granted { is_near } else { is_own };
            if !is_due {
                continue;
            }
            if self.holders.get(&span.owner).is_some_and(|record| record.suspended_at.is_some()) {
                continue;
            }
            let sent_at = self.spans.entry((span.first, span.last, span.fence)).or_default();
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
            self.note_sent(grant, now);
        }
        let lapse = self.timing.grant_expiry();
        self.sent.retain(|_, sent_at| now.since(*sent_at) <= lapse);
        due
    }

    /// Notes a grant that the leader sends on this host.
    pub fn on_sent(&mut self, grant: &Grant, now: HostTime) {
        self.note_sent(grant, now);
        self.spans.insert((grant.first, grant.last, grant.fence), now);
    }

    /// Notes that a grant which this host sent as leader was made.
    pub fn on_granted(&mut self, grant: &Grant) {
        self.granted.insert((grant.first, grant.last, grant.fence));
    }

    /// Returns the spans that this host granted and that are not recorded as granted.
    pub fn granted(&self) -> impl Iterator<Item = (u16, u16, FencingToken)> {
        let spans = self.table.iter().flat_map(|table| &table.spans);
        let pending = spans.filter(|span| !span.is_granted);
        let keys = pending.map(|span| (span.first, span.last, span.fence));
        keys.filter(|key| self.granted.contains(key))
    }

    fn note_sent(&mut self, grant: &Grant, now: HostTime) {
        let key = (grant.holder.clone(), grant.first, grant.last, grant.fence);
        self.sent.insert(key, now);
    }

    /// Notes how a renewal ended. One without an answer is sent again at once.
    pub fn on_end(&mut self, grant: &Grant, end: CallEnd, now: HostTime) {
        let record = self.holders.entry(grant.holder.clone()).or_default();
        match end {
            CallEnd::Done => {
                record.failures = 0;
                record.answered_at = now;
            }
            CallEnd::Fenced => record.answered_at = now,
            CallEnd::Gone => record.suspended_at = Some(now),
            CallEnd::Unknown => {
                record.failures += 1;
                if now.since(record.answered_at) > MAX_SILENCE {
                    record.suspended_at.get_or_insert(now);
                }
                if record.failures <= UNREACHABLE_AFTER {
                    self.spans.insert((grant.first, grant.last, grant.fence), HostTime(0));
                }
            }
        }
    }

    /// Stops renewing to a life whose connection broke: a later life may listen there, which must not get the grants
    /// of the earlier one.
    pub fn suspend(&mut self, holder: &Holder, now: HostTime) {
        self.holders.entry(holder.clone()).or_default().suspended_at.get_or_insert(now);
    }

    /// Renews again to lives that the registry has confirmed since.
    pub fn resume(&mut self, holder: &Holder, now: HostTime) {
        if let Some(record) = self.holders.get_mut(holder) {
            record.suspended_at = None;
            record.answered_at = now;
        }
    }

    /// Returns the holders that renewals wait for a confirmation of.
    pub fn suspended(&self) -> Vec<(Holder, HostTime)> {
        let holders = self.holders.iter();
        holders
            .filter_map(|(holder, record)| Some((holder.clone(), record.suspended_at?)))
            .collect()
    }

    /// Returns whether a holder has not answered several renewals in a row.
    pub fn is_unreachable(&self, holder: &Holder) -> bool {
        self.holders.get(holder).is_some_and(|record| record.failures >= UNREACHABLE_AFTER)
    }

    /// Returns since when renewals to a holder wait for a confirmation.
    pub fn suspended_at(&self, holder: &Holder) -> Option<HostTime> {
        self.holders.get(holder)?.suspended_at
    }

    /// Returns this host's word about its table.
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
            host: self.me.clone(),
            version: self.table.as_ref().map_or(0, |table| table.version),
            running: now.since(self.started_at),
            sent: sent.collect(),
            unreachable: unreachable.cloned().collect(),
        }
    }
}
