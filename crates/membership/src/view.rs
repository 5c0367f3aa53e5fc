//! Inputs and outputs of the membership, and its view of a host.

use crate::messages::{Gossip, HostState};
use skylarkdock_units::ids::{HostId, Incarnation, Member, Region, Zone};
use skylarkdock_units::times::HostTime;
use std::net::SocketAddr;

/// A host as this host sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostView {
    /// The host and the incarnation of its daemon.
    pub member: Member,
    /// State that this host's table has for it.
    pub state: HostState,
    /// The host's availability zone.
    pub zone: Zone,
    /// The host's region.
    pub region: Region,
    /// Address for other hosts by which this host reaches it.
    pub peer: SocketAddr,
    /// Address for callers and operators by which this host reaches it.
    pub http: SocketAddr,
    /// When this host last received a message from it or news about it.
    pub last_heard: HostTime,
}

/// An entry of the platform's list of hosts. The list is a hint: it lags and can be wrong.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostListEntry {
    /// The host that the platform lists.
    pub host: HostId,
    /// Address for other hosts by which this host reaches it.
    pub peer: SocketAddr,
    /// Address for callers and operators by which this host reaches it.
    pub http: SocketAddr,
}

/// An event that the membership handles.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed. Has to be passed in at least once in each probe interval.
    Tick,
    /// A gossip message arrived from another host.
    Received {
        /// The host that sent the message.
        from: HostId,
        /// The gossip message.
        msg: Box<Gossip>,
    },
    /// The platform's list of hosts was read; replaces the previous list.
    HostList(Vec<HostListEntry>),
    /// This host starts to leave and has to announce it.
    Leave,
}

/// An action to take, or a change to report, after an input.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// A message to send once; a lost one is not retransmitted.
    Send {
        /// The receiver.
        to: HostId,
        /// The receiver's address.
        addr: SocketAddr,
        /// The gossip message.
        msg: Box<Gossip>,
    },
    /// A host was added to the table or its view changed.
    HostChanged(HostView),
    /// A gone host was removed from the table.
    HostForgotten(Member),
    /// A host does not answer this host's probes although another host reaches it.
    PartialPartition(HostId),
    /// A later incarnation of this host's daemon exists.
    Superseded(Incarnation),
}
