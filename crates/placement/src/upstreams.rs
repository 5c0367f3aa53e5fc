//! Assigns a service's ranges to owning upstreams in proportion to their slots and moves as few as
//! possible.

use crate::balance::{LoadUnit, balance};
use skylarkdock_records::service::{Service, Upstream};
use skylarkdock_units::ids::{RangeIndex, UpstreamId};
use std::collections::BTreeMap;

/// A range's current owning upstream and its load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangePlacement {
    /// The current owning upstream, if any.
    pub upstream: Option<UpstreamId>,
    /// Load of the range, in any unit that is the same for all ranges; 0 counts as 1.
    pub weight: u64,
}

/// Returns the owning upstream that each range should have.
///
/// A range moves only if `usable` returns false for its upstream, if the load of its upstream
/// exceeds its share by more than `slack_percent`, or if it exceeds its share while the load of
/// another is more than `slack_percent` below its share.
pub fn target_owners(
    service: &Service,
    ranges: &BTreeMap<RangeIndex, RangePlacement>,
    usable: &dyn Fn(&Upstream) -> bool,
    slack_percent: u64,
) -> BTreeMap<RangeIndex, UpstreamId> {
    let unit = |(index, placed): (&RangeIndex, &RangePlacement)| LoadUnit {
        name: index.to_string(),
        weight: placed.weight.max(1),
        upstream: placed.upstream.clone(),
    };
    let units: Vec<LoadUnit> = ranges.iter().map(unit).collect();
    let owners = balance(service, units, usable, slack_percent);
    ranges.keys().zip(owners).filter_map(|(index, owner)| Some((*index, owner?))).collect()
}
