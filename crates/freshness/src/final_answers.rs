//! Answers after which callers never send a request again, and the proofs that such an answer needs.
//!
//! A final answer claims that the request is wrong under every configuration that may be in force. That is so if its bytes
//! alone are wrong, or if the configuration that it was judged by is proven to be in force. Without a proof the request is
//! refused, and its caller may send it again.

use crate::versions::Proof;
use skylarkdock_units::times::{HostTime, Millis};

/// Fault that a request has under every configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestFault {
    /// The head violates the HTTP/1.1 grammar.
    MalformedHead,
    /// The headers don't determine the body's length unambiguously.
    AmbiguousLength,
    /// The body violates the chunked transfer coding.
    MalformedChunk,
    /// The `Host` header is missing, repeated or not valid UTF-8.
    NoHost,
    /// The request id is missing, empty or not valid UTF-8, or there are several.
    NoRequestId,
    /// The deadline is not a decimal number of milliseconds.
    InvalidDeadline,
}

/// Fault that a request has under one configuration, and may not have under an earlier one that its caller still follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConfigFault {
    /// The service is sharded and the request has no key.
    NoKey,
    /// The service is sharded and the key is not a whole number from 0 to 65535, or there are several.
    InvalidKey,
    /// The head exceeds the configured size.
    HeadTooLong,
    /// The body exceeds the configured size.
    BodyTooLong,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    Request(RequestFault),
    Config(ConfigFault),
    NoRoute,
}

/// Answer after which the caller never sends the request again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FinalAnswer(Fault);

impl FinalAnswer {
    /// Rejects a request that is wrong under every configuration.
    pub const fn invalid(fault: RequestFault) -> Self {
        Self(Fault::Request(fault))
    }

    /// Rejects a request for which the configuration in force has no route.
    pub const fn no_route(_: CurrentConfig) -> Self {
        Self(Fault::NoRoute)
    }

    /// Rejects a request that is wrong under the configuration in force, and right under no earlier one that may still be.
    pub const fn not_allowed(fault: ConfigFault, _: CurrentConfig, _: NoneAllows) -> Self {
        Self(Fault::Config(fault))
    }

    /// Returns the status of the answer.
    pub const fn status(self) -> u16 {
        match self.0 {
            Fault::Request(_) | Fault::Config(ConfigFault::NoKey | ConfigFault::InvalidKey) => 400,
            Fault::NoRoute => 404,
            Fault::Config(ConfigFault::BodyTooLong) => 413,
            Fault::Config(ConfigFault::HeadTooLong) => 431,
        }
    }

    /// Returns whether the request was rejected because no route matches.
    pub const fn is_no_route(self) -> bool {
        matches!(self.0, Fault::NoRoute)
    }

    /// Returns the value of the `reason` label in metrics and field in logs.
    pub const fn as_str(self) -> &'static str {
        match self.0 {
            Fault::Request(RequestFault::MalformedHead) => "malformed_head",
            Fault::Request(RequestFault::AmbiguousLength) => "ambiguous_length",
            Fault::Request(RequestFault::MalformedChunk) => "malformed_chunk",
            Fault::Request(RequestFault::NoHost) => "no_host",
            Fault::Request(RequestFault::NoRequestId) => "no_request_id",
            Fault::Request(RequestFault::InvalidDeadline) => "invalid_deadline",
            Fault::Config(ConfigFault::NoKey) => "no_key",
            Fault::Config(ConfigFault::InvalidKey) => "invalid_key",
            Fault::Config(ConfigFault::HeadTooLong) => "head_too_long",
            Fault::Config(ConfigFault::BodyTooLong) => "body_too_long",
            Fault::NoRoute => "no_route",
        }
    }
}

/// Why a configuration is not proven to be the one by which a request has to be judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unproven {
    /// No configuration is known yet.
    NoConfig,
    /// The latest proof that there is no newer configuration is older than a new one takes to be in force.
    ProofTooOld,
    /// The store has a newer version.
    NewerProven,
    /// Another host has a newer version.
    NewerKnown,
    /// A configuration that was replaced not long ago allows the request.
    EarlierAllows,
    /// A configuration from before the applied one may be in force, and the host does not know all of those.
    EarlierUnknown,
}

/// What a host knows of the configurations that may be in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// Version by which the request is judged; zero if none is known.
    pub applied: u64,
    /// Latest proof that the store had no newer version than a given one.
    pub proof: Proof,
    /// Newest version that this host has heard of and that no later read of the store refutes.
    pub newest_known: u64,
    /// Time from its acknowledgement within which a version has to be in force.
    pub apply_time: Millis,
}

impl Evidence {
    /// Proves that the applied configuration may be in force when a request arrives.
    ///
    /// # Errors
    ///
    /// Returns what the proof lacks.
    pub fn prove(&self, arrived: HostTime) -> Result<CurrentConfig, Unproven> {
        if self.applied == 0 {
            return Err(Unproven::NoConfig);
        }
        // Without any proof its version is zero, and its time may still look young on a machine that has just started.
        if self.proof.version == 0 || arrived.since(self.proof.at) > self.apply_time {
            return Err(Unproven::ProofTooOld);
        }
        // The threads of a host learn of a version one after the other, and the proof may be of a later one.
        if self.proof.version > self.applied {
            return Err(Unproven::NewerProven);
        }
        if self.newest_known > self.applied {
            return Err(Unproven::NewerKnown);
        }
        Ok(CurrentConfig(()))
    }
}

/// Proof that a configuration may be in force when a request arrives. It holds for one request.
#[derive(Debug)]
pub struct CurrentConfig(());

/// Proof that no earlier configuration that may still be in force allows a request.
#[derive(Debug)]
pub struct NoneAllows(());

impl NoneAllows {
    pub(crate) const fn new() -> Self {
        Self(())
    }
}
