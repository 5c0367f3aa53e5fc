//! Telling other hosts of upstreams that do not answer. [`skylarkdock_dispatch::silence`] decides what follows from it.
//!
//! A host names the service in its load reports, beside the upstreams, by a hash that no upstream has. Hosts of earlier
//! versions ignore it and pass it on.

use super::Traffic;
use crate::load_reports::NameHash;
use crate::view::View;
use metrics::gauge;
use skylarkdock_dispatch::peer_load::UpstreamHash;
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::ServiceName;
use skylarkdock_units::times::HostTime;

/// Returns the hash by which reports name a service with timeouts. Ids of upstreams have no spaces.
fn timeout_hash(service: &ServiceName) -> UpstreamHash {
    NameHash::of(&format!("timed out {service}")).0
}

impl Traffic {
    /// Returns the position of this host among those of its region, in the order of their names.
    pub(super) fn position_in_region(&self, view: &View) -> u32 {
        let Some(peers) = &view.peers else { return 0 };
        let Self { settings, .. } = self;
        let is_before = |host: &str| host < settings.host.as_str();
        let before = peers
            .iter()
            .filter(|peer| peer.region == settings.region && is_before(peer.host.as_str()));
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Adds the services of which this host tells the others to its load report.
    pub(super) fn add_timeouts(&self, loads: &mut FastMap<UpstreamHash, u32>, now: HostTime) {
        for (name, state) in self.services.borrow().iter() {
            if state.service.silence().is_told(now) {
                loads.insert(timeout_hash(name), 1);
            }
            let limited = if state.service.silence().is_limited(now) { 1.0 } else { 0.0 };
            gauge!("skylarkdock_places_limited", "service" => name.to_string()).set(limited);
        }
    }

    /// Records the services of which another host tells, among what its report names. `is_reported` returns whether a report
    /// that is in force names a hash.
    pub(super) fn apply_timeouts(
        &self,
        updated: &FastSet<UpstreamHash>,
        is_reported: impl Fn(UpstreamHash) -> bool,
        now: HostTime,
    ) {
        for (name, state) in self.services.borrow_mut().iter_mut() {
            let hash = timeout_hash(name);
            if updated.contains(&hash) && is_reported(hash) {
                let silence = state.service.silence_mut();
                if !silence.is_limited(now) {
                    log::info!(service:% = name; "load: another host has had no answer, so requests keep to this host's places");
                }
                silence.on_told(now);
            }
        }
    }
}
