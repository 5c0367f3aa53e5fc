//! State and reports that the control thread and the traffic threads share, apart from the routing table. Both sides
//! depend on this module and not on each other.

use skylarkdock_admin::status::ServingState;
use skylarkdock_outcomes::crash_history::CrashHistories;
use skylarkdock_outcomes::fingerprint::Fingerprint;
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::{HostTime, Millis};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

/// The daemon's serving state, set by the control thread and read by the traffic threads.
#[derive(Clone, Default)]
pub struct SharedServingState(Arc<AtomicU8>);

impl SharedServingState {
    /// Returns the serving state.
    pub fn get(&self) -> ServingState {
        match self.0.load(Ordering::SeqCst) {
            0 => ServingState::Starting,
            1 => ServingState::Serving,
            _ => ServingState::Draining,
        }
    }

    /// Changes the serving state.
    pub fn set(&self, state: ServingState) {
        let number = match state {
            ServingState::Starting => 0,
            ServingState::Serving => 1,
            ServingState::Draining => 2,
        };
        self.0.store(number, Ordering::SeqCst);
    }
}

/// Latest time at which the log is known to have had no records that the routing table lacks, set by the control thread and
/// read by the traffic threads.
#[derive(Clone, Default)]
pub struct LogProof(Arc<AtomicU64>);

impl LogProof {
    /// Returns the age of the proof; the time since the start of the clock if there is none.
    pub fn age(&self, now: HostTime) -> Millis {
        now.since(HostTime(self.0.load(Ordering::Acquire)))
    }

    /// Records a proof, after the routing table that it is about was published.
    pub fn set(&self, at: HostTime) {
        self.0.fetch_max(at.0, Ordering::Release);
    }
}

/// A report from a traffic thread to the control thread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TrafficReport {
    /// An upstream refused or lost a connection.
    UpstreamFailed {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamId,
    },
    /// It is unknown whether a request was run.
    RequestUnknown {
        /// The request.
        id: RequestId,
    },
    /// A request was refused because requests with its fingerprint crashed upstreams.
    Quarantined {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
    },
    /// An upstream crashed with requests in flight.
    Crashed {
        /// The service.
        service: ServiceName,
        /// Crash histories of these requests.
        histories: CrashHistories,
    },
    /// An upstream refused a request because it is draining.
    UpstreamDraining {
        /// The service.
        service: ServiceName,
        /// The upstream.
        upstream: UpstreamId,
    },
}
