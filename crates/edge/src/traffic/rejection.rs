//! Reasons for which a request is rejected before it is routed.

use super::refusal;
use crate::serve::Answer;
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
    /// No configuration is known yet.
    NoConfig,
    /// Other hosts have had a newer configuration for longer than this one may take to get it.
    ConfigOutdated,
    /// No route matches or there is no valid key, but a newer configuration may have a route or need no key.
    StaleConfig,
    /// The `Host` header is missing, repeated or not valid UTF-8.
    NoHost,
    /// No route matches.
    NoRoute,
    /// The request id is missing, empty or not valid UTF-8, or there are several.
    NoRequestId,
    /// The deadline is not a decimal number of milliseconds.
    InvalidDeadline,
    /// The service is sharded and the request has no key.
    NoKey,
    /// The service is sharded and the request has no valid key, but a configuration that its caller may still follow needs
    /// none.
    KeyNewlyNeeded,
    /// The service is sharded and the key is not a whole number from 0 to 65535, or there are several.
    InvalidKey,
}

impl Rejection {
    /// Returns the value of the `reason` label in metrics and field in logs.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::ForUpstream => "for_upstream",
            Self::NoConfig => "no_config",
            Self::ConfigOutdated => "config_outdated",
            Self::StaleConfig => "stale_config",
            Self::NoHost => "no_host",
            Self::NoRoute => "no_route",
            Self::NoRequestId => "no_request_id",
            Self::InvalidDeadline => "invalid_deadline",
            Self::NoKey => "no_key",
            Self::KeyNewlyNeeded => "key_newly_needed",
            Self::InvalidKey => "invalid_key",
        }
    }

    /// Builds the answer to the caller.
    pub(super) fn answer(self) -> Answer {
        match self {
            Self::ConfigOutdated => refusal(OUTDATED_RETRY_AFTER),
            Self::NoConfig | Self::StaleConfig | Self::KeyNewlyNeeded => {
                refusal(STARTUP_RETRY_AFTER)
            }
            Self::ForUpstream => Answer::empty(421),
            Self::NoRoute => Answer::empty(404),
            Self::NoHost
            | Self::NoRequestId
            | Self::InvalidDeadline
            | Self::NoKey
            | Self::InvalidKey => Answer::empty(400),
        }
    }
}
