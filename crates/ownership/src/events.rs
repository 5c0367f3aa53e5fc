//! Inputs and outputs of a node.

use crate::message::Message;
use skylarkdock_fold::State;
use skylarkdock_units::ids::{Epoch, HostId, Member, Offset, RangeId};
use skylarkdock_units::times::{HostTime, Millis};

/// An event for a node.
#[derive(Debug)]
pub enum Input<'a> {
    /// Only time has passed.
    Tick,
    /// The folded state advanced or was replaced by a newer one.
    Applied(&'a State),
    /// A message from an authenticated daemon of another host.
    Received {
        /// The sender.
        from: Member,
        /// The message.
        message: Message,
    },
    /// All requests of a draining range have finished, and its deduplication memory is handed over.
    Drained {
        /// The range.
        range: RangeId,
        /// The epoch that was draining.
        epoch: Epoch,
    },
    /// The host is leaving; each of its ranges goes to the next live member.
    Leave,
}

impl Input<'_> {
    /// Returns whether the input can delay claims but not make one due earlier.
    pub(crate) fn is_routine(&self) -> bool {
        let heartbeat =
            |message: &Message| matches!(message, Message::Heartbeat(_) | Message::HeartbeatAck(_));
        match self {
            Self::Tick => true,
            Self::Received { message, .. } => heartbeat(message),
            _ => false,
        }
    }
}

/// An action for the daemon, or a change of a lease that it must act on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send a message; it may be lost in transit.
    Send {
        /// The receiving host.
        to: HostId,
        /// The message.
        message: Message,
    },
    /// This host holds the range from now on.
    Acquired {
        /// The range.
        range: RangeId,
        /// The new epoch.
        epoch: Epoch,
        /// Time since the claim started.
        after: Millis,
        /// Why the claim was started.
        reason: ClaimReason,
        /// Largest epoch under which another host may have held the range before; `None` if the
        /// witnesses do not know.
        prior: Option<Epoch>,
    },
    /// Dispatch no new requests, finish running ones, hand the deduplication memory to the successor
    /// and report [`Input::Drained`]. Repeated if the successor changes.
    Drain {
        /// The range.
        range: RangeId,
        /// Its epoch.
        epoch: Epoch,
        /// The member that should hold the range next, if known.
        successor: Option<Member>,
    },
    /// The range is lost: dispatch no more requests and cancel running ones.
    Lost {
        /// The range.
        range: RangeId,
        /// Its epoch.
        epoch: Epoch,
        /// Why the range was lost.
        reason: LossReason,
    },
    /// A peer has folded records that this host has not.
    CatchUp {
        /// The peer.
        from: HostId,
        /// Offset to catch up to.
        offset: Offset,
    },
}

/// Why a claim was started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ClaimReason {
    /// A record named this host as the first member.
    Assigned,
    /// The holder was silent for too long, or the first member did not claim.
    Takeover,
    /// The holder released the range.
    HandedOver,
    /// This host lost the range, and no larger epoch is known to be sealed.
    Reclaimed,
    /// This host holds the range under an earlier epoch.
    Renewed,
}

/// Why a held range was lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum LossReason {
    /// Too few promises were renewed in time to keep a majority.
    Lapsed,
    /// A witness revoked its promise because it sealed a larger epoch.
    Revoked,
}

/// A range that this host may serve.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Hold<'a> {
    /// The range.
    pub range: &'a RangeId,
    /// Epoch of the hold; serves as the fencing token.
    pub epoch: Epoch,
    /// End of the hold, exclusive, on this host's clock.
    pub until: HostTime,
    /// Offset of the newest assignment that the holder may act on.
    pub assignment: Offset,
    /// Whether new requests are dispatched; false while the range drains.
    pub accepting: bool,
}
