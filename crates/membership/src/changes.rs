//! Queue of changed entries that still have to be sent to other hosts.

use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::HostId;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Number of times that a change is sent, for each doubling of the number of hosts.
const SENDS_PER_DOUBLING: u32 = 2;
/// Number of times that a change is sent that was received in a chunk of another host's table.
const SENDS_OF_PULLED_CHANGE: u32 = 3;

/// Sort key of a change: least often sent first, then most recently added first.
type SendPriority = (u32, Reverse<u64>);

/// Hosts whose entries changed, ordered by how often each change was sent.
#[derive(Debug, Default)]
pub(crate) struct ChangeQueue {
    queue: BTreeMap<SendPriority, HostId>,
    priorities: FastMap<HostId, SendPriority>,
    last_added: u64,
}

impl ChangeQueue {
    /// Adds a change that most hosts don't know yet; an earlier change of the host is replaced.
    pub(crate) fn add(&mut self, host: HostId) {
        self.remove(&host);
        self.last_added += 1;
        self.insert((0, Reverse(self.last_added)), host);
    }

    /// Adds a change from a pulled table, which most hosts already know. A queued change of the same
    /// host is kept.
    pub(crate) fn add_pulled(&mut self, host: HostId, host_count: usize) {
        if self.priorities.contains_key(&host) {
            return;
        }
        self.last_added += 1;
        let times_sent = send_limit(host_count).saturating_sub(SENDS_OF_PULLED_CHANGE);
        self.insert((times_sent, Reverse(self.last_added)), host);
    }

    fn insert(&mut self, priority: SendPriority, host: HostId) {
        self.queue.insert(priority, host.clone());
        self.priorities.insert(host, priority);
    }

    pub(crate) fn remove(&mut self, host: &HostId) {
        if let Some(priority) = self.priorities.remove(host) {
            self.queue.remove(&priority);
        }
    }

    /// Returns up to `count` hosts, those with the least sent changes first, and counts their changes as
    /// sent once more.
    pub(crate) fn take_next(&mut self, count: usize, host_count: usize) -> Vec<HostId> {
        let mut taken = Vec::new();
        while taken.len() < count
            && let Some((priority, host)) = self.queue.pop_first()
        {
            self.priorities.remove(&host);
            taken.push((priority, host));
        }
        let limit = send_limit(host_count);
        for ((times_sent, added), host) in &taken {
            if times_sent + 1 < limit {
                self.insert((times_sent + 1, *added), host.clone());
            }
        }
        taken.into_iter().map(|(_, host)| host).collect()
    }
}

fn send_limit(host_count: usize) -> u32 {
    SENDS_PER_DOUBLING * (usize::BITS - host_count.leading_zeros()).max(1)
}
