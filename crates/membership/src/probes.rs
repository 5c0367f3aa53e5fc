//! Outstanding probes: this host's own and those made at the request of other hosts.

use crate::config::{MAX_PENDING_PROBES, MAX_RELAYED_PROBES};
use skylarkdock_units::collections::FastSet;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeMap;

/// Probes that have not been answered yet, and the hosts that answer only indirect ones.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    pending: BTreeMap<HostId, HostTime>,
    relayed: Vec<RelayedProbe>,
    reached_only_indirectly: FastSet<HostId>,
}

#[derive(Debug)]
struct RelayedProbe {
    target: HostId,
    requester: HostId,
    expires_at: HostTime,
}

impl Probes {
    /// Returns whether the limit of pending probes allows another one.
    pub(crate) fn has_capacity(&self) -> bool {
        self.pending.len() < MAX_PENDING_PROBES
    }

    /// Records a probe. If one of the host is already pending, the time of that one is kept.
    pub(crate) fn record_sent(&mut self, host: &HostId, now: HostTime) {
        if self.has_capacity() {
            self.pending.entry(host.clone()).or_insert(now);
        }
    }

    /// Returns the hosts whose probe has been pending for at least `duration`.
    pub(crate) fn unanswered_for(&self, duration: Millis, now: HostTime) -> Vec<HostId> {
        let unanswered = self.pending.iter().filter(|(_, sent)| now.since(**sent) >= duration);
        unanswered.map(|(host, _)| host.clone()).collect()
    }

    pub(crate) fn pending(&self) -> Vec<HostId> {
        self.pending.keys().cloned().collect()
    }

    pub(crate) fn remove(&mut self, host: &HostId) {
        self.pending.remove(host);
    }

    /// Drops all own probes, after this host was suspended.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
    }

    /// Records that a message arrived from a host directly.
    pub(crate) fn record_answer(&mut self, host: &HostId) {
        self.pending.remove(host);
        self.reached_only_indirectly.remove(host);
    }

    /// Records that another host reaches a host. Returns whether a probe of that host was pending and
    /// it was not yet known to be reachable only indirectly.
    pub(crate) fn record_indirect_ack(&mut self, host: &HostId) -> bool {
        self.pending.remove(host).is_some() && self.reached_only_indirectly.insert(host.clone())
    }

    /// Records that `requester` waits for an answer from `target`, until `expires_at`.
    pub(crate) fn add_relayed(&mut self, target: HostId, requester: HostId, expires_at: HostTime) {
        let is_duplicate =
            self.relayed.iter().any(|probe| probe.target == target && probe.requester == requester);
        if !is_duplicate && self.relayed.len() < MAX_RELAYED_PROBES {
            self.relayed.push(RelayedProbe { target, requester, expires_at });
        }
    }

    /// Removes and returns the hosts that requested a probe of `target`, which has now answered.
    pub(crate) fn take_requesters(&mut self, target: &HostId) -> Vec<HostId> {
        let answered = self.relayed.extract_if(.., |probe| probe.target == *target);
        answered.map(|probe| probe.requester).collect()
    }

    pub(crate) fn expire_relayed(&mut self, now: HostTime) {
        self.relayed.retain(|probe| probe.expires_at > now);
    }
}
