//! Messages between hosts; each covers many ranges.

use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::{Epoch, Member, Offset, RangeId};
use skylarkdock_units::times::Millis;

/// Maximum number of ranges in one message.
pub const MAX_BATCH: usize = 256;

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a renewal of the promises on all ranges that the sender holds or claims.
    Heartbeat(Heartbeat),
    /// Answers a heartbeat: the promises are renewed, except for the epochs listed as revoked.
    HeartbeatAck(HeartbeatAck),
    /// Asks a member to seal epochs.
    Seal(Seal),
    /// Answers a seal.
    SealAnswer(SealAnswer),
    /// Releases ranges.
    Release(Release),
    /// Announces that leases were acquired by one of their members.
    Established(Established),
    /// Confirms [`Message::Release`] or [`Message::Established`] so that it is not sent again.
    Confirm(Confirm),
}

/// An epoch of a range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeEpoch {
    /// The range.
    pub range: RangeId,
    /// The epoch.
    pub epoch: Epoch,
}

/// Body of [`Message::Heartbeat`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The witness; other incarnations of its host ignore the heartbeat.
    pub to: Member,
    /// Sequence number, increasing with each heartbeat of the sender.
    pub seq: u64,
    /// Sequence number of the newest heartbeat that this witness is known to have answered.
    pub acked: u64,
    /// Session of the witness that `confirmed` refers to.
    pub session: u64,
    /// Number of the last revocation in the session that the sender has applied.
    pub confirmed: u64,
    /// Offset of the newest assignment, of any range, that the sender has folded.
    pub newest: Offset,
    /// Ranges that the sender is draining for a newer lease.
    pub draining: Vec<RangeEpoch>,
}

/// Body of [`Message::HeartbeatAck`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// Sequence number of the heartbeat.
    pub seq: u64,
    /// The witness's session with the sender of the heartbeat.
    pub session: u64,
    /// Offset that the witness has applied.
    pub applied: Offset,
    /// Offset of the newest assignment, of any range, that the witness has folded.
    pub newest: Offset,
    /// Number of the first entry of `revoked`.
    pub first: u64,
    /// Epochs whose ballot moved from the sender of the heartbeat to another host, oldest first.
    pub revoked: Vec<RangeEpoch>,
    /// Number of the last revocation; those after `revoked` follow with later answers.
    pub latest: u64,
}

/// Body of [`Message::Seal`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seal {
    /// The member that is asked; a later incarnation of its host answers on its behalf.
    pub to: Member,
    /// The ranges and epochs to seal.
    pub ranges: Vec<SealRange>,
}

/// A range to seal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealRange {
    /// The range.
    pub range: RangeId,
    /// The claimant's epoch.
    pub epoch: Epoch,
    /// Number of the claim, chosen by the claimant.
    pub claim: u64,
    /// Whether the witness answers without changing its ballot.
    pub probe: bool,
    /// Offset of the newest assignment of the range that the claimant has folded.
    pub newest: Offset,
    /// Releases of the range that are known to the claimant.
    pub released: Vec<Released>,
}

/// An earlier holder's release of a range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Released {
    /// The member that released the range.
    pub by: Member,
    /// Largest released epoch; smaller ones are released too.
    pub epoch: Epoch,
}

/// Body of [`Message::SealAnswer`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SealAnswer {
    /// The member that was asked.
    pub on_behalf: Member,
    /// The witness's session with the claimant.
    pub session: u64,
    /// Offset that the witness has applied.
    pub applied: Offset,
    /// One answer for each range.
    pub answers: Vec<RangeAnswer>,
}

/// The answer for one range.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeAnswer {
    /// The range.
    pub range: RangeId,
    /// The claimant's epoch.
    pub epoch: Epoch,
    /// Number of the claim.
    pub claim: u64,
    /// Whether this answers a probe.
    pub probe: bool,
    /// The witness's decision.
    pub verdict: SealVerdict,
    /// Largest epoch of the range that the witness has sealed.
    pub ballot: Epoch,
    /// Largest epoch of the witness's ballot before it moved to another host.
    pub prior: Epoch,
    /// Offset of the newest assignment of the range that the witness has folded.
    pub newest: Offset,
    /// Whether the witness knows that the lease was acquired by one of its members.
    pub established: bool,
}

/// A witness's decision on a seal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SealVerdict {
    /// The witness's ballot names the claimant, or would if this were no probe.
    Granted {
        /// Unexpired promises to other hosts, which the claimant has to wait out.
        outstanding: Vec<OutstandingPromise>,
    },
    /// The member asked is an earlier incarnation of this host and can give no more promises.
    Restarted {
        /// Longest remaining time of its promises.
        wait: Millis,
    },
    /// Not sealed.
    Refused(Refusal),
}

/// An unexpired promise to another host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutstandingPromise {
    /// The host that the promise was given to.
    pub to: Member,
    /// The epoch that the promise covers.
    pub epoch: Epoch,
    /// Remaining time of the promise.
    pub remaining: Millis,
}

/// Why a seal was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The witness has sealed a larger epoch, or this one for another host.
    Outdated,
    /// The lease is not the one in force at the witness, or the epoch belongs to another member.
    Superseded,
    /// The current holder, or a claimant ahead in the order of succession, is live.
    HolderLive,
    /// The current holder is draining the range for the claimant's lease.
    Draining,
}

/// Body of [`Message::Release`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// The ranges that are released.
    pub ranges: Vec<ReleaseRange>,
}

/// A range that is released.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReleaseRange {
    /// The range.
    pub range: RangeId,
    /// Largest released epoch: the sender does not hold the range under it or a smaller one and
    /// never will.
    pub epoch: Epoch,
    /// The member that should claim the range.
    pub successor: Option<Member>,
}

/// Body of [`Message::Established`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Established {
    /// The acquired epochs.
    pub ranges: Vec<RangeEpoch>,
}

/// Body of [`Message::Confirm`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirm {
    /// Releases that were recorded.
    pub released: Vec<RangeEpoch>,
    /// Acquired epochs that were recorded.
    pub established: Vec<RangeEpoch>,
}
