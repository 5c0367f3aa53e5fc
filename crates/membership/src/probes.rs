//! Probes under way: own ones and those made for others.

use crate::config::{MAX_PENDING_PROBES, MAX_RELAYED_PROBES};
use skylarkdock_units::collections::FastSet;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeMap;

/// Probes that wait for an answer.
#[derive(Debug, Default)]
pub(crate) struct Probes {
    waiting: BTreeMap<HostId, HostTime>,
    relays: Vec<Relay>,
    cut: FastSet<HostId>,
}

#[derive(Debug)]
struct Relay {
    target: HostId,
    asker: HostId,
    until: HostTime,
}

impl Probes {
    /// Tells whether another host may be probed.
    pub(crate) fn has_room(&self) -> bool {
        self.waiting.len() < MAX_PENDING_PROBES
    }

    /// Notes a probe; the first unanswered one counts.
    pub(crate) fn sent(&mut self, host: &HostId, now: HostTime) {
        if self.has_room() {
            self.waiting.entry(host.clone()).or_insert(now);
        }
    }

    /// Returns the hosts that have not answered for at least `span`.
    pub(crate) fn silent(&self, span: Millis, now: HostTime) -> Vec<HostId> {
        let silent = self.waiting.iter().filter(|(_, sent)| now.since(**sent) >= span);
        silent.map(|(host, _)| host.clone()).collect()
    }

    pub(crate) fn waiting(&self) -> Vec<HostId> {
        self.waiting.keys().cloned().collect()
    }

    pub(crate) fn stop(&mut self, host: &HostId) {
        self.waiting.remove(host);
    }

    /// Forgets all own probes, for after a suspension.
    pub(crate) fn restart(&mut self) {
        self.waiting.clear();
    }

    /// Notes that a host answered directly.
    pub(crate) fn answered(&mut self, host: &HostId) {
        self.waiting.remove(host);
        self.cut.remove(host);
    }

    /// Notes that a helper hears a host; returns whether this is news about a waiting probe.
    pub(crate) fn vouched(&mut self, host: &HostId) -> bool {
        self.waiting.remove(host).is_some() && self.cut.insert(host.clone())
    }

    /// Notes that `asker` wants to know about `target`.
    pub(crate) fn relay(&mut self, target: HostId, asker: HostId, until: HostTime) {
        let known = self.relays.iter().any(|r| r.target == target && r.asker == asker);
        if !known && self.relays.len() < MAX_RELAYED_PROBES {
            self.relays.push(Relay { target, asker, until });
        }
    }

    /// Returns who asked about a host that now answered.
    pub(crate) fn askers(&mut self, target: &HostId) -> Vec<HostId> {
        let asked = self.relays.extract_if(.., |relay| relay.target == *target);
        asked.map(|relay| relay.asker).collect()
    }

    pub(crate) fn expire_relays(&mut self, now: HostTime) {
        self.relays.retain(|relay| relay.until > now);
    }
}
