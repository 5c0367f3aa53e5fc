//! Evacuated availability zones: what the traffic thread sends to their upstreams.

use super::Traffic;
use skylarkdock_dispatch::notices::Withheld;
use skylarkdock_units::ids::UpstreamId;

impl Traffic {
    /// Checks whether a request may be sent to an upstream. The control thread may have learnt of an evacuation that it has not
    /// published yet, or that arrived since the upstream was chosen.
    ///
    /// # Errors
    ///
    /// Fails if the availability zone of the upstream is evacuated.
    pub(super) fn check_evacuation(&self, id: &UpstreamId) -> Result<(), Withheld> {
        let is_evacuated = {
            let listing = self.listing.borrow();
            let evacuations = self.status.evacuations();
            listing.get(id).is_some_and(|listed| evacuations.contains(&listed.entry.zone))
        };
        if !is_evacuated {
            return Ok(());
        }
        // Otherwise the same upstream might be chosen again.
        self.apply_evacuations();
        Err(Withheld::Evacuated)
    }

    /// Tells the states of the upstreams which availability zones are evacuated, if that has changed since the last call.
    pub(super) fn apply_evacuations(&self) {
        let version = self.status.evacuations().version();
        if self.applied_evacuations.replace(version) == version {
            return;
        }
        let listing = self.listing.borrow();
        let mut services = self.services.borrow_mut();
        for listed in listing.iter() {
            let state = services.get_mut(&listed.entry.service);
            let upstream = state.and_then(|state| state.service.upstream_mut(&listed.entry.id));
            if let Some(upstream) = upstream {
                upstream.set_info(self.upstream_info(listed));
            }
        }
    }
}
