//! Reasons for which a request is rejected before it is routed.

use crate::answer::{Answer, OwnStatus};
use skylarkdock_freshness::final_answers::{FinalAnswer, Unproven};
use skylarkdock_units::times::Millis;

/// `Retry-After` while the configuration, or the service of a request, is not known yet.
pub(super) const STARTUP_RETRY_AFTER: Millis = Millis(500);

/// `Retry-After` while the configuration is out of date. A new connection mostly leads to another host, which has the newer
/// one.
const OUTDATED_RETRY_AFTER: Millis = Millis(250);

/// Reason for which a request is rejected before it is routed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rejection {
    /// The request is for one upstream only, and this is none: a host found its own or another host's address in an
    /// upstream's entry.
    ForUpstream,
    /// Other hosts have had a newer configuration for longer than this one may take to get it.
    ConfigOutdated,
    /// The request was to be rejected by its head alone, so its body was not kept, and now has a route.
    BodyDropped,
    /// The request is wrong by this host's configuration, which is not proven to be the one to judge it by.
    Unproven(Unproven),
    /// The request is wrong under every configuration that may be in force.
    Final(FinalAnswer),
}

impl Rejection {
    /// Returns the value of the `reason` label in metrics and field in logs.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::ForUpstream => "for_upstream",
            Self::ConfigOutdated => "config_outdated",
            Self::BodyDropped => "body_dropped",
            Self::Unproven(unproven) => unproven_reason(unproven),
            Self::Final(answer) => answer.as_str(),
        }
    }

    /// Builds the answer to the caller.
    pub(super) fn answer(self) -> Answer {
        match self {
            Self::ConfigOutdated | Self::BodyDropped => Answer::refused(OUTDATED_RETRY_AFTER),
            Self::Unproven(_) => Answer::refused(STARTUP_RETRY_AFTER),
            Self::ForUpstream => Answer::empty(OwnStatus::Misdirected),
            Self::Final(answer) => Answer::rejected(answer),
        }
    }
}

impl From<Result<FinalAnswer, Unproven>> for Rejection {
    fn from(judged: Result<FinalAnswer, Unproven>) -> Self {
        match judged {
            Ok(answer) => Self::Final(answer),
            Err(unproven) => Self::Unproven(unproven),
        }
    }
}

const fn unproven_reason(unproven: Unproven) -> &'static str {
    match unproven {
        Unproven::NoConfig => "no_config",
        Unproven::ProofTooOld | Unproven::NewerProven => "stale_config",
        Unproven::NewerKnown => "newer_config_known",
        Unproven::EarlierAllows => "key_newly_needed",
        Unproven::EarlierUnknown => "earlier_config_unknown",
    }
}
