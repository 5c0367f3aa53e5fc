//! Evacuated availability zones, shared by the threads of a host: both send requests, this host's own and those that it
//! passes on for other hosts.

use skylarkdock_units::collections::FastSet;
use skylarkdock_units::ids::Zone;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Availability zones whose upstreams get no new requests.
#[derive(Debug, Default)]
pub struct SharedEvacuations {
    zones: Mutex<FastSet<Zone>>,
    /// Number of zones, so that the usual case of none needs no lock.
    count: AtomicUsize,
    version: AtomicU64,
}

impl SharedEvacuations {
    fn lock(&self) -> MutexGuard<'_, FastSet<Zone>> {
        self.zones.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the evacuated zones.
    pub fn set(&self, zones: FastSet<Zone>) {
        let mut known = self.lock();
        self.count.store(zones.len(), Ordering::Release);
        *known = zones;
        self.version.fetch_add(1, Ordering::Release);
    }

    /// Returns whether a zone is evacuated.
    pub fn contains(&self, zone: &Zone) -> bool {
        self.count.load(Ordering::Acquire) > 0 && self.lock().contains(zone)
    }

    /// Returns the number of times that the zones were replaced.
    pub fn version(&self) -> u64 {
        self.version.load(Ordering::Acquire)
    }
}
