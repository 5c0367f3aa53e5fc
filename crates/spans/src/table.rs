//! The ownership table of a service, as it is stored: each key's owner, and the grants that a change has to end first.

use crate::renewal::Grant;
use crate::restored::StoreCopy;
use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::{HostId, Region, ServiceName, UpstreamId, Zone};
use skylarkdock_units::measures::HostSize;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use thiserror::Error;

/// Fencing token of a span. It grows each time the span gets another owner or another incarnation of its owner, or is
/// merged with a neighbouring span, so that an upstream can refuse grants that were overtaken.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(pub u64);

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for FencingToken {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// One incarnation of an upstream, from its start to its end. Grants to an earlier incarnation don't apply to a later
/// one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Id of the upstream, the same for all its incarnations.
    pub id: UpstreamId,
    /// Start of the incarnation as reported by the upstream, in Unix milliseconds.
    pub born: u64,
    /// Address for grants, releases and requests.
    pub addr: SocketAddr,
    /// Region of the upstream.
    pub region: Region,
}

impl Holder {
    /// Returns whether a call for one of two incarnations reaches the other if that is the one which runs.
    pub fn is_reached_as(&self, other: &Self) -> bool {
        self.id == other.id && self.addr == other.addr
    }
}

/// A host that renews recorded grants.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Keeper {
    /// Id of the host.
    pub host: HostId,
    /// Availability zone of the host. Each zone has at most one keeper.
    pub zone: Zone,
    /// Region of the host.
    pub region: Region,
    /// Size of the host; a much larger host of the same zone replaces it as keeper.
    #[serde(default)]
    pub size: HostSize,
}

/// A grant of an earlier owner that may still be in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FormerGrant {
    /// The earlier owner.
    pub holder: Holder,
    /// Fencing token of the earlier grant.
    pub fence: FencingToken,
}

/// A range of consecutive keys with one owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// First key of the span.
    pub first: u16,
    /// Last key of the span, inclusive.
    pub last: u16,
    /// Upstream that holds the span, or gets it once the grants in `former` have ended.
    pub owner: Holder,
    /// Fencing token of the owner's grant.
    pub fence: FencingToken,
    /// Whether the owner's grant is recorded. Until then only the leader may grant the keys, and only the host that
    /// granted them as leader may renew the grant.
    pub is_granted: bool,
    /// Earlier grants of these keys that must have been released or have expired before the owner is granted them.
    pub former: Vec<FormerGrant>,
}

impl Span {
    /// Returns whether `key` lies within the span, both ends included.
    pub const fn contains(&self, key: u16) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns whether a grant is the one that the span records or waits for.
    pub fn matches(&self, grant: &Grant) -> bool {
        (self.first, self.last, self.fence) == (grant.first, grant.last, grant.fence)
            && self.owner == grant.holder
    }

    /// Returns the number of keys in the span.
    pub const fn len(&self) -> u32 {
        self.last as u32 - self.first as u32 + 1
    }

    /// Returns `false`, as a span has at least one key.
    pub const fn is_empty(&self) -> bool {
        false
    }
}

/// The ownership table of one service. Each change replaces the record as a whole.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Service whose keys the table assigns.
    pub service: ServiceName,
    /// Version of the record, increased by one with each replacement.
    pub version: u64,
    /// Copy of the store that the version was recorded in; `None` in versions of hosts that did not know of copies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub copy: Option<StoreCopy>,
    /// Host that wrote this version and carries out its changes.
    pub leader: HostId,
    /// Hosts that renew grants, including the leader.
    pub keepers: Vec<Keeper>,
    /// Keepers of earlier versions that may not have received a table without them and may still renew grants.
    pub retired: Vec<HostId>,
    /// Smallest fencing token that no grant has used.
    pub next_fence: FencingToken,
    /// Spans in key order. Together they cover each key exactly once.
    pub spans: Vec<Span>,
}

/// Largest version and next fencing token of a consistent table. Hosts count from 1, some numbers a second, and leave some
/// out for each copy of the store.
const MAX_NUMBER: u64 = 1 << 53;

/// Inconsistency found by [`Table::check`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum TableError {
    /// The spans leave out a key or contain it twice.
    #[error("spans have a gap or an overlap at key {0}")]
    Gap(u32),
    /// A span has a fencing token that the table would assign again.
    #[error("fencing token {0} is not below next_fence")]
    FencingToken(FencingToken),
    /// The version or the next fencing token leaves too few larger numbers.
    #[error("{0} is larger than any version or fencing token of hosts")]
    TooLarge(u64),
}

impl Table {
    /// Checks that the spans cover each key exactly once, in order, that all fencing tokens are below `next_fence`, and that
    /// hosts can count on from `version` and `next_fence`.
    ///
    /// # Errors
    ///
    /// Returns the first inconsistency, those of spans in key order.
    pub fn check(&self) -> Result<(), TableError> {
        let largest = self.version.max(self.next_fence.0);
        if largest > MAX_NUMBER {
            return Err(TableError::TooLarge(largest));
        }
        let mut expected_first: u32 = 0;
        for span in &self.spans {
            if u32::from(span.first) != expected_first || span.last < span.first {
                return Err(TableError::Gap(expected_first));
            }
            let fences = span.former.iter().map(|former| former.fence).chain([span.fence]);
            if let Some(fence) = fences.max().filter(|fence| *fence >= self.next_fence) {
                return Err(TableError::FencingToken(fence));
            }
            expected_first = u32::from(span.last) + 1;
        }
        if expected_first == 0x1_0000 { Ok(()) } else { Err(TableError::Gap(expected_first)) }
    }

    /// Returns the span that contains a key. The spans must be in key order.
    pub fn span(&self, key: u16) -> Option<&Span> {
        let index = self.spans.partition_point(|span| span.last < key);
        self.spans.get(index)
    }

    /// Returns whether the version was recorded in a copy of the store before `copy`.
    pub fn is_of_earlier_copy(&self, copy: StoreCopy) -> bool {
        self.copy.is_some_and(|own| own < copy)
    }

    /// Returns whether the version may be written to a copy of the store. One that was planned for an earlier copy follows a
    /// version of that copy, although later ones may be lost.
    pub fn is_planned_for(&self, copy: StoreCopy) -> bool {
        self.copy.is_none_or(|own| own == copy)
    }

    /// Returns whether the table has a span whose owner's grant is not recorded.
    pub fn has_pending_spans(&self) -> bool {
        self.spans.iter().any(|span| !span.is_granted)
    }
}
