//! Heartbeats on the witness's side: when each host was last heard, and which of its promises are
//! revoked.

use crate::message::{Heartbeat, HeartbeatAck, MAX_BATCH, RangeEpoch};
use crate::timing::Timing;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Member, Offset, RangeId};
use skylarkdock_units::times::HostTime;
use std::collections::VecDeque;

/// Maximum number of unconfirmed revocations; beyond it a new session is opened, which ends the
/// promises of the old one.
const MAX_UNCONFIRMED_REVOCATIONS: usize = 16 * MAX_BATCH;

/// Number of heartbeats from a host whose receipt time is kept.
const MAX_RECENT_HEARTBEATS: usize = 8;

#[derive(Debug, Clone)]
struct Session {
    id: u64,
    opened_at: HostTime,
    /// Receipt time of the last heartbeat or seal.
    last_used: HostTime,
    /// Receipt time of the last heartbeat, from which the promise lasts.
    last_heartbeat: Option<HostTime>,
    /// Receipt time of the last heartbeat that confirmed a recent answer, so that messages arrive
    /// in both directions.
    last_alive: Option<HostTime>,
    recent_heartbeats: VecDeque<(u64, HostTime)>,
    draining: Vec<RangeEpoch>,
    /// Number of the first revocation in `revoked`.
    first_revocation: u64,
    revoked: VecDeque<RangeEpoch>,
}

/// Sessions with the hosts that sent heartbeats or seals to this witness.
#[derive(Debug, Clone, Default)]
pub(crate) struct Sessions {
    sessions: FastMap<Member, Session>,
    last_id: u64,
}

impl Sessions {
    fn get_or_open(&mut self, now: HostTime, member: &Member) -> &mut Session {
        let last_id = &mut self.last_id;
        let session = self.sessions.entry(member.clone()).or_insert_with(|| {
            *last_id += 1;
            Session {
                id: *last_id,
                opened_at: now,
                last_used: now,
                last_heartbeat: None,
                last_alive: None,
                recent_heartbeats: VecDeque::new(),
                draining: Vec::new(),
                first_revocation: 1,
                revoked: VecDeque::new(),
            }
        });
        session.last_used = now;
        session
    }

    /// Returns the id of a host's session, which is opened if there is none.
    pub fn id(&mut self, now: HostTime, member: &Member) -> u64 {
        self.get_or_open(now, member).id
    }

    /// Processes a heartbeat, which renews the promise, and returns the answer.
    pub fn record_heartbeat(
        &mut self,
        now: HostTime,
        timing: &Timing,
        from: &Member,
        heartbeat: &Heartbeat,
    ) -> HeartbeatAck {
        let session = self.get_or_open(now, from);
        session.last_heartbeat = Some(now);
        session.record_liveness(now, timing, heartbeat);
        session.draining.clone_from(&heartbeat.draining);
        session.draining.truncate(MAX_BATCH);
        if heartbeat.session == session.id {
            session.confirm(heartbeat.confirmed);
        }
        session.ack(heartbeat.seq)
    }

    /// Returns the end of the promise to a host, if one was given.
    pub fn promise_end(&self, timing: &Timing, member: &Member) -> Option<HostTime> {
        let last_heartbeat = self.sessions.get(member)?.last_heartbeat?;
        Some(last_heartbeat + timing.promise_duration)
    }

    /// Returns when a host was last known to be live and connected in both directions.
    pub fn last_alive(&self, member: &Member) -> Option<HostTime> {
        self.sessions.get(member)?.last_alive
    }

    /// Returns whether a host reported that it is draining a range.
    pub fn drains(&self, member: &Member, range: &RangeId) -> bool {
        let session = self.sessions.get(member);
        session.is_some_and(|session| session.draining.iter().any(|found| found.range == *range))
    }

    /// Records that a ballot moved from a host to another.
    pub fn revoke(&mut self, member: &Member, revoked: RangeEpoch) {
        let Some(session) = self.sessions.get_mut(member) else { return };
        session.revoked.push_back(revoked);
        if session.revoked.len() > MAX_UNCONFIRMED_REVOCATIONS {
            self.last_id += 1;
            session.id = self.last_id;
            session.first_revocation = 1;
            session.revoked.clear();
        }
    }

    /// Closes the sessions that were idle for the session timeout.
    pub fn close_idle(&mut self, now: HostTime, timing: &Timing) {
        let retention = timing.effective_session_timeout();
        self.sessions.retain(|_, session| now.since(session.last_used) < retention);
    }
}

impl Session {
    fn record_liveness(&mut self, now: HostTime, timing: &Timing, heartbeat: &Heartbeat) {
        let answered = self.recent_heartbeats.iter().find(|(seq, _)| *seq == heartbeat.acked);
        let since = answered.map_or(self.opened_at, |(_, received)| *received);
        if now.since(since) <= timing.suspect_timeout {
            self.last_alive = Some(now);
        }
        if self.recent_heartbeats.len() == MAX_RECENT_HEARTBEATS {
            self.recent_heartbeats.pop_front();
        }
        self.recent_heartbeats.push_back((heartbeat.seq, now));
    }

    fn confirm(&mut self, confirmed: u64) {
        while self.first_revocation <= confirmed && self.revoked.pop_front().is_some() {
            self.first_revocation += 1;
        }
    }

    fn ack(&self, seq: u64) -> HeartbeatAck {
        HeartbeatAck {
            seq,
            session: self.id,
            applied: Offset(0),
            newest: Offset(0),
            first: self.first_revocation,
            revoked: self.revoked.iter().take(MAX_BATCH).cloned().collect(),
            latest: self.first_revocation + self.revoked.len() as u64 - 1,
        }
    }
}
