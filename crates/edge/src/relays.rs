//! Selection of the relay host of an availability zone, which forwards updates and load reports.
//!
//! Load pattern: many hosts, most of them small. If every host sent to every other one, the number of messages would
//! grow with the square of the number of hosts; if all hosts asked a single one, it would be overloaded. Each
//! availability zone therefore has one relay: its largest host, by a ranking that is the same on all hosts. A host only
//! uses a relay of a higher rank than its own, so that no two hosts wait for each other, even while they know different
//! members.

use skylarkdock_units::ids::HostId;
use skylarkdock_units::measures::HostSize;
use xxhash_rust::xxh3;

/// Rank of a host in its availability zone: by size, and between hosts of the same size by a hash of the name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank(HostSize, u64);

impl Rank {
    /// Returns the rank of a host.
    pub fn of(host: &HostId, size: HostSize) -> Self {
        Self(size, xxh3::xxh3_64(host.as_str().as_bytes()))
    }
}

/// Returns the host with the highest rank, if that rank is above `own`.
pub fn select_relay<'a, T>(
    own: Option<Rank>,
    hosts: impl Iterator<Item = &'a T>,
    rank: impl Fn(&T) -> Rank,
) -> Option<&'a T> {
    let highest = hosts.max_by_key(|host| rank(host))?;
    own.is_none_or(|own| rank(highest) > own).then_some(highest)
}
