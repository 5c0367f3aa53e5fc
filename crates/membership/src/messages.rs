//! Gossip messages between hosts.

use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::{HostId, Incarnation, Member, Region, Zone};
use std::fmt;
use std::net::SocketAddr;

/// State of a host, ordered by precedence among entries of the same version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum HostState {
    /// The host answers probes.
    Live,
    /// The host has not answered probes, and may still refute the suspicion.
    Suspect,
    /// The host announced that it leaves, which it can't take back within the same incarnation.
    Leaving,
    /// The host was suspect for too long, or stopped answering while it was leaving.
    Gone,
}

impl fmt::Display for HostState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Live => "live",
            Self::Suspect => "suspect",
            Self::Leaving => "leaving",
            Self::Gone => "gone",
        })
    }
}

/// What gossip messages say about a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// The host and the incarnation of its daemon.
    pub member: Member,
    /// Raised only by the host itself, when it refutes a suspicion or leaves.
    pub version: u32,
    /// The host's state.
    pub state: HostState,
    /// The host's availability zone.
    pub zone: Zone,
    /// The host's region.
    pub region: Region,
    /// The address that the host advertises to other hosts.
    pub peer: SocketAddr,
    /// The address that the host advertises to callers and operators.
    pub http: SocketAddr,
}

/// Kind and payload of a gossip message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Probes the receiver, which answers with [`Body::Ack`].
    Ping,
    /// Answers a [`Body::Ping`].
    Ack,
    /// Asks the receiver to probe a host that does not answer the sender.
    PingRequest {
        /// The host to probe.
        target: HostId,
    },
    /// Answers a [`Body::PingRequest`]: the sender has received a message from the target.
    IndirectAck {
        /// The host that was probed.
        target: HostId,
    },
    /// Asks for the entries in those buckets of the table whose digests differ.
    Pull {
        /// Digests of the buckets of the sender's table.
        bucket_digests: Vec<u64>,
        /// Restricts the answer to hosts that sort after this one.
        after: Option<HostId>,
    },
    /// Answers a [`Body::Pull`] with a part of the sender's table.
    Chunk {
        /// Entries in order of host id.
        entries: Vec<HostEntry>,
        /// The host after which the next pull continues, if there are more entries.
        next: Option<HostId>,
    },
}

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Gossip {
    /// Incarnation of the sender's daemon.
    pub incarnation: Incarnation,
    /// Digest of the sender's table.
    pub digest: u64,
    /// The sender's own entry, omitted if the receiver's last digest equals the sender's.
    pub sender: Option<HostEntry>,
    /// Entries that changed recently, preceded by the receiver's own if it is suspect or gone.
    pub changes: Vec<HostEntry>,
    /// Kind and payload of the message.
    pub body: Body,
}
