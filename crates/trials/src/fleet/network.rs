//! Simulated network partitions between hosts, and between hosts and the platform.

use crate::errors::TrialError;
use crate::fleet::Fleet;
use skylarkdock_standins::link::faults::{Cut, LinkFaults};

/// Number of links from each host slot to the platform: one to the log, then one to the host list.
pub(super) const PLATFORM_LINKS: usize = 2;
/// Number of links from each host slot to a host: one to its peer address, then one to its HTTP address.
pub(super) const HOST_LINKS: usize = 2;

/// A network partition, which discards bytes between hosts or between hosts and the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Partition {
    /// Bytes from one group of hosts to another are discarded.
    OneWay {
        /// Indexes of the sending hosts.
        from: Vec<usize>,
        /// Indexes of the receiving hosts.
        to: Vec<usize>,
    },
    /// Bytes between two groups of hosts are discarded in both directions.
    Between {
        /// Indexes of the hosts of one group.
        one: Vec<usize>,
        /// Indexes of the hosts of the other group.
        other: Vec<usize>,
    },
    /// Bytes between some hosts and the platform are discarded in both directions.
    Platform {
        /// Indexes of the hosts that are cut off.
        hosts: Vec<usize>,
    },
}

/// Identifies an active partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartitionId(u64);

impl Partition {
    fn cuts(&self, from: usize, to: usize) -> bool {
        let connects = |a: &[usize], b: &[usize]| a.contains(&from) && b.contains(&to);
        match self {
            Self::OneWay { from, to } => connects(from, to),
            Self::Between { one, other } => connects(one, other) || connects(other, one),
            Self::Platform { .. } => false,
        }
    }

    fn cuts_platform(&self, host: usize) -> bool {
        matches!(self, Self::Platform { hosts } if hosts.contains(&host))
    }
}

impl Fleet {
    /// Adds a partition to the active ones and applies its faults.
    ///
    /// # Errors
    /// Fails when a control call fails.
    pub fn start_partition(&mut self, partition: Partition) -> Result<PartitionId, TrialError> {
        self.last_partition_id += 1;
        let id = PartitionId(self.last_partition_id);
        self.partitions.push((id, partition));
        self.apply_partitions()?;
        Ok(id)
    }

    /// Ends a partition; other active partitions stay in force.
    ///
    /// # Errors
    /// Fails when a control call fails.
    pub fn end_partition(&mut self, id: PartitionId) -> Result<(), TrialError> {
        self.partitions.retain(|(other, _)| *other != id);
        self.apply_partitions()
    }

    pub(super) fn apply_partitions(&self) -> Result<(), TrialError> {
        let slots = self.hosts.len();
        let platform_faults = (0..slots).flat_map(|host| {
            let is_cut = self.partitions.iter().any(|(_, p)| p.cuts_platform(host));
            let faults = LinkFaults { cut: is_cut.then_some(Cut::Both), ..LinkFaults::default() };
            (0..PLATFORM_LINKS).map(move |link| (host * PLATFORM_LINKS + link, faults.clone()))
        });
        self.platform_links.set_faults(&self.client, platform_faults)?;
        for (to, host) in self.hosts.iter().enumerate() {
            let Some(inbound_links) = &host.inbound_links else { continue };
            let faults = (0..slots).flat_map(|from| {
                let faults = LinkFaults { cut: self.link_cut(from, to), ..LinkFaults::default() };
                (0..HOST_LINKS).map(move |link| (from * HOST_LINKS + link, faults.clone()))
            });
            inbound_links.set_faults(&self.client, faults)?;
        }
        Ok(())
    }

    /// Returns the directions in which connections opened by one host to another are cut.
    fn link_cut(&self, from: usize, to: usize) -> Option<Cut> {
        let is_cut = |a, b| self.partitions.iter().any(|(_, partition)| partition.cuts(a, b));
        match (is_cut(from, to), is_cut(to, from)) {
            (true, true) => Some(Cut::Both),
            (true, false) => Some(Cut::To),
            (false, true) => Some(Cut::From),
            (false, false) => None,
        }
    }
}
