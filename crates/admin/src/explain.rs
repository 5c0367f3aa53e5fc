//! Calls that explain which upstream owns a key, or what happened to a request.

use serde::{Deserialize, Serialize};
use skylarkdock_timeline::Event;
use skylarkdock_units::ids::{Epoch, HostId, Member, RangeId, ServiceName, UpstreamId};
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::WallTime;
use std::fmt;

/// Parameters of `explain_key`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyParams {
    /// The service.
    pub service: ServiceName,
    /// The key.
    pub key: String,
}

/// Which upstream owns a key and which host holds the lease of its range, as known to the queried host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyExplanation {
    /// The key's hash.
    pub hash: KeyHash,
    /// The range that contains the key.
    pub range: RangeId,
    /// The upstream that owns the key.
    pub upstream: Option<UpstreamId>,
    /// The member that probably holds the lease of the range.
    pub holder: Option<Member>,
    /// Members of the lease, in order of preference.
    pub members: Vec<Member>,
    /// Fencing token of the lease, if known.
    pub epoch: Option<Epoch>,
    /// Time at which the upstream became the owner of the key, if known.
    pub since: Option<WallTime>,
    /// Whether it is a hot key, which has an upstream of its own.
    pub hot: bool,
    /// Latest events about the range.
    pub why: Vec<Event>,
}

/// Parameters of `explain_request`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestParams {
    /// Id of the request.
    pub id: RequestId,
}

/// Why a request was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NotRunReason {
    /// The upstreams had no capacity for it.
    Shed,
    /// Its deadline passed before it was sent to an upstream.
    Deadline,
    /// No upstream owned its key.
    NoOwner,
    /// The upstream refused the fencing token.
    Fenced,
    /// Earlier copies of it crashed upstreams.
    Quarantined,
    /// The caller closed its connection.
    Cancelled,
    /// It is not a valid request.
    Invalid,
}

impl fmt::Display for NotRunReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Shed => "shed",
            Self::Deadline => "deadline",
            Self::NoOwner => "no owner",
            Self::Fenced => "fenced",
            Self::Quarantined => "quarantined",
            Self::Cancelled => "cancelled",
            Self::Invalid => "invalid",
        })
    }
}

/// Outcome of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum RequestOutcome {
    /// The queried host has no record of it. Other hosts may have one.
    NoTrace,
    /// It is queued or running.
    Running {
        /// The upstream that runs it.
        upstream: Option<UpstreamId>,
    },
    /// It was run and answered.
    Answered {
        /// HTTP status of the response.
        status: u16,
        /// The upstream that ran it.
        upstream: UpstreamId,
    },
    /// It was not run.
    NotRun {
        /// Why it was not run.
        reason: NotRunReason,
    },
    /// It may have been run.
    Unknown {
        /// The upstream that it was sent to, if known.
        upstream: Option<UpstreamId>,
    },
}

/// What happened to a request, as known to the queried host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestExplanation {
    /// The queried host.
    pub host: HostId,
    /// Outcome of the request.
    #[serde(flatten)]
    pub outcome: RequestOutcome,
    /// The range that contains its key, if known.
    pub range: Option<RangeId>,
    /// Events that name the request.
    #[serde(default)]
    pub why: Vec<Event>,
}
