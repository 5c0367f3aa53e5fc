//! Readiness, shutdown state, age of the configuration, paths, notices, evacuations, calls for other hosts and faults, shared by the
//! threads of a host.

use crate::detour::SharedPaths;
use crate::evacuations::SharedEvacuations;
use crate::notices::SharedNotices;
use crate::version_claims::VersionClaims;
use event_listener::Event;
use skylarkdock_freshness::versions::Proof;
use skylarkdock_units::times::{HostTime, Millis};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};

/// State of a host, shared by its threads.
#[derive(Debug, Default)]
pub struct Status {
    is_ready: AtomicBool,
    is_leaving: AtomicBool,
    /// In milliseconds, see [`HostTime`].
    config_proof_at: AtomicU64,
    /// Version that was the newest at that time, or a later one.
    proven_version: AtomicU64,
    /// Number of calls that this host makes for other hosts.
    forwarding: AtomicUsize,
    is_config_outdated: AtomicBool,
    paths: SharedPaths,
    notices: SharedNotices,
    evacuations: SharedEvacuations,
    version_claims: VersionClaims,
    /// First task that has panicked.
    faulty_task: OnceLock<&'static str>,
    /// Notified when `faulty_task` is set.
    has_fault: Event,
}

/// Counts a call for another host until it is dropped.
pub struct Forwarding<'a>(&'a AtomicUsize);

impl Drop for Forwarding<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Status {
    /// Returns the paths to the upstreams.
    pub const fn paths(&self) -> &SharedPaths {
        &self.paths
    }

    /// Returns what the upstreams asked of this host.
    pub const fn notices(&self) -> &SharedNotices {
        &self.notices
    }

    /// Returns the availability zones that operators have evacuated.
    pub const fn evacuations(&self) -> &SharedEvacuations {
        &self.evacuations
    }

    /// Returns the claims of other hosts that they have a newer configuration.
    pub const fn version_claims(&self) -> &VersionClaims {
        &self.version_claims
    }

    /// Returns whether the host has the state that it needs to serve callers.
    pub fn is_ready(&self) -> bool {
        self.is_ready.load(Ordering::Relaxed)
    }

    /// Sets whether the host has the state that it needs to serve callers.
    pub fn set_ready(&self, is_ready: bool) {
        self.is_ready.store(is_ready, Ordering::Relaxed);
    }

    /// Returns whether the host is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(Ordering::Relaxed)
    }

    /// Records that the host is shutting down.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Records that a task that the host can't do without has panicked.
    pub fn record_fault(&self, task: &'static str) {
        // The first one may be the cause of others.
        let _ = self.faulty_task.set(task);
        self.has_fault.notify(usize::MAX);
    }

    /// Waits until a task that the host can't do without has panicked. Returns its name.
    pub async fn wait_for_fault(&self) -> &'static str {
        loop {
            let listener = self.has_fault.listen();
            if let Some(task) = self.faulty_task.get() {
                return task;
            }
            listener.await;
        }
    }

    /// Records that this host makes a call for another host, until the returned value is dropped.
    pub fn start_forwarding(&self) -> Forwarding<'_> {
        self.forwarding.fetch_add(1, Ordering::Relaxed);
        Forwarding(&self.forwarding)
    }

    /// Returns the number of calls that this host makes for other hosts.
    pub fn forwarding(&self) -> usize {
        self.forwarding.load(Ordering::Relaxed)
    }

    /// Returns whether the host refuses requests because its configuration is out of date.
    pub fn is_config_outdated(&self) -> bool {
        self.is_config_outdated.load(Ordering::Relaxed)
    }

    /// Sets whether the host refuses requests because its configuration is out of date.
    pub fn set_config_outdated(&self, is_outdated: bool) {
        self.is_config_outdated.store(is_outdated, Ordering::Relaxed);
    }

    /// Returns the latest proof that the store had no newer configuration.
    pub fn config_proof(&self) -> Proof {
        let at = HostTime(self.config_proof_at.load(Ordering::Acquire));
        Proof { at, version: self.proven_version.load(Ordering::Relaxed) }
    }

    /// Records that the store had no configuration newer than `version` at a time.
    pub fn set_config_proof(&self, at: HostTime, version: u64) {
        // Whoever sees the proof also sees its version.
        self.proven_version.fetch_max(version, Ordering::Relaxed);
        self.config_proof_at.fetch_max(at.0, Ordering::Release);
    }

    /// Returns the time since the latest proof that the store had no newer configuration.
    pub fn config_age(&self, now: HostTime) -> Millis {
        now.since(HostTime(self.config_proof_at.load(Ordering::Acquire)))
    }
}
