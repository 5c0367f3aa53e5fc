//! Regions in which the requests of a route may be served.

use skylarkdock_units::ids::Region;
use std::sync::Arc;

/// Regions to which requests and their bodies may be sent. Without any region named, all are allowed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AllowedRegions(Option<Arc<[Region]>>);

impl AllowedRegions {
    /// Allows only the given regions, or all if none is given.
    pub fn new(mut regions: Vec<Region>) -> Self {
        // Lists of the same regions are equal in any order.
        regions.sort();
        regions.dedup();
        Self((!regions.is_empty()).then(|| regions.into()))
    }

    /// Returns whether requests may be sent to a region. An unknown region is allowed only without a restriction.
    pub fn allows(&self, region: Option<&Region>) -> bool {
        let Some(allowed) = &self.0 else { return true };
        region.is_some_and(|region| allowed.contains(region))
    }

    /// Returns whether some regions are not allowed.
    pub const fn is_restricted(&self) -> bool {
        self.0.is_some()
    }
}
