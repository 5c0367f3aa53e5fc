//! Heartbeats on the holder's side: until when each witness's promise lasts.

use crate::message::{Heartbeat, HeartbeatAck, RangeEpoch};
use crate::timing::Timing;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Member, Offset};
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::VecDeque;

/// Number of heartbeats to a witness whose send time is kept.
const MAX_SENT_HEARTBEATS: usize = 16;

/// The holder's state for one witness.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peer {
    sent_heartbeats: VecDeque<(u64, HostTime)>,
    last_sent: Option<HostTime>,
    /// Send time of the newest heartbeat that was answered with a promise.
    promise_sent_at: Option<HostTime>,
    session: u64,
    confirmed: u64,
    acked: u64,
    /// Offset that the witness had applied when it last renewed its promises.
    pub applied: Offset,
    /// Receipt time of the last answer to a heartbeat or seal.
    last_answer: Option<HostTime>,
    last_used: HostTime,
}

/// Result of applying the answer to a heartbeat.
pub(crate) struct AppliedAck {
    pub revoked: Vec<RangeEpoch>,
    /// End of the promise before this answer, which does not renew revoked ones.
    pub previous_end: Option<HostTime>,
    /// Whether the witness has more revocations to send.
    pub more: bool,
}

impl Peer {
    /// Returns the end of the promises given in a session of the witness.
    pub fn promise_end(&self, timing: &Timing, session: u64) -> Option<HostTime> {
        if session != self.session {
            return None;
        }
        self.last_promise_end(timing)
    }

    fn last_promise_end(&self, timing: &Timing) -> Option<HostTime> {
        Some(self.promise_sent_at? + timing.usable_promise())
    }

    /// Returns whether the witness has opened a newer session than `session`.
    pub fn has_newer_session(&self, session: u64) -> bool {
        self.session > session
    }

    fn enter_session(&mut self, session: u64) {
        if session > self.session {
            self.session = session;
            self.confirmed = 0;
        }
    }

    fn apply_ack(
        &mut self,
        now: HostTime,
        timing: &Timing,
        ack: &HeartbeatAck,
    ) -> Option<AppliedAck> {
        let sent_at =
            self.sent_heartbeats.iter().find(|(seq, _)| *seq == ack.seq).map(|(_, at)| *at)?;
        self.enter_session(ack.session);
        if ack.session < self.session {
            return None;
        }
        self.last_answer = Some(now);
        self.acked = self.acked.max(ack.seq);
        let last = (ack.first + ack.revoked.len() as u64).saturating_sub(1);
        self.confirmed = self.confirmed.max(last);
        let more = self.confirmed < ack.latest;
        let previous_end = self.last_promise_end(timing);
        if !more {
            self.promise_sent_at = self.promise_sent_at.max(Some(sent_at));
            self.applied = self.applied.max(ack.applied);
        }
        Some(AppliedAck { revoked: ack.revoked.clone(), previous_end, more })
    }
}

/// The witnesses that this host asks for promises.
#[derive(Debug, Clone, Default)]
pub(crate) struct Peers {
    peers: FastMap<Member, Peer>,
    last_seq: u64,
}

impl Peers {
    pub fn get(&self, member: &Member) -> Option<&Peer> {
        self.peers.get(member)
    }

    fn entry(&mut self, now: HostTime, member: &Member) -> &mut Peer {
        let peer = self.peers.entry(member.clone()).or_default();
        peer.last_used = now;
        peer
    }

    /// Returns whether a heartbeat to the member is due.
    pub fn is_due(&self, now: HostTime, timing: &Timing, member: &Member) -> bool {
        self.is_idle(now, timing.heartbeat_interval, member)
    }

    /// Returns whether no heartbeat was sent to the member for a duration.
    pub fn is_idle(&self, now: HostTime, duration: Millis, member: &Member) -> bool {
        let last = self.peers.get(member).and_then(|peer| peer.last_sent);
        last.is_none_or(|last| now.since(last) >= duration)
    }

    /// Creates the next heartbeat to a member and records it as sent.
    pub fn heartbeat(&mut self, now: HostTime, member: &Member) -> Heartbeat {
        self.last_seq += 1;
        let seq = self.last_seq;
        let peer = self.entry(now, member);
        if peer.sent_heartbeats.len() == MAX_SENT_HEARTBEATS {
            peer.sent_heartbeats.pop_front();
        }
        peer.sent_heartbeats.push_back((seq, now));
        peer.last_sent = Some(now);
        let (acked, session, confirmed) = (peer.acked, peer.session, peer.confirmed);
        let (to, newest, draining) = (member.clone(), Offset(0), Vec::new());
        Heartbeat { to, seq, acked, session, confirmed, newest, draining }
    }

    /// Applies the answer to a heartbeat, if one was sent to this incarnation of the host.
    pub fn apply_ack(
        &mut self,
        now: HostTime,
        timing: &Timing,
        from: &Member,
        ack: &HeartbeatAck,
    ) -> Option<AppliedAck> {
        self.peers.get_mut(from)?.apply_ack(now, timing, ack)
    }

    /// Records the session in which a witness answered a seal.
    pub fn note_answer(&mut self, now: HostTime, from: &Member, session: u64) {
        let peer = self.entry(now, from);
        peer.last_answer = Some(now);
        peer.enter_session(session);
    }

    /// Returns whether a member answered within the suspect timeout.
    pub fn is_live(&self, now: HostTime, timing: &Timing, member: &Member) -> bool {
        let last_answer = self.peers.get(member).and_then(|peer| peer.last_answer);
        last_answer.is_some_and(|last_answer| now.since(last_answer) < timing.suspect_timeout)
    }

    /// Removes members that were neither sent a heartbeat nor answered a seal for the session
    /// timeout.
    pub fn remove_idle(&mut self, now: HostTime, timing: &Timing) {
        let retention = timing.effective_session_timeout();
        self.peers.retain(|_, peer| now.since(peer.last_used) < retention);
    }
}
