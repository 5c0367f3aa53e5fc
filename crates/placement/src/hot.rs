//! Splits hot keys out of their ranges and assigns hot keys and ranges to owning upstreams.

use crate::balance::{LoadUnit, balance};
use crate::upstreams::RangePlacement;
use skylarkdock_records::envelope::HotKey;
use skylarkdock_records::service::{Service, Upstream};
use skylarkdock_units::ids::{RangeIndex, UpstreamId};
use skylarkdock_units::keys::KeyHash;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// Maximum number of split-out keys per service.
pub const MAX_SPLIT_KEYS: usize = 64;

/// Load at which a key is split out of its range, in percent of the smallest upstream's share.
const SPLIT_THRESHOLD_PERCENT: u64 = 5;
/// Load below which a split-out key is merged back, in percent of the smallest upstream's share.
const MERGE_THRESHOLD_PERCENT: u64 = 2;

/// A key's load, and its owning upstream if it is split out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyLoad {
    /// The key.
    pub key: KeyHash,
    /// Load of the key, in the unit of the ranges' weights.
    pub weight: u64,
    /// The upstream that owns the key, if it is split out.
    pub upstream: Option<UpstreamId>,
}

/// The owning upstreams that ranges and split-out keys should have.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TargetPlacement {
    /// The owning upstream of each range.
    pub ranges: BTreeMap<RangeIndex, UpstreamId>,
    /// The keys split out of each range, including those owned by the same upstream as the range.
    pub hot: BTreeMap<RangeIndex, Vec<HotKey>>,
}

/// Returns the owning upstreams that ranges and hot keys should have.
///
/// The weight of a range in `ranges` includes that of its keys in `keys`. A key is split out when
/// its load reaches `SPLIT_THRESHOLD_PERCENT` of the smallest upstream's share, and merged back
/// into its range when it falls below `MERGE_THRESHOLD_PERCENT`. Ranges and split-out keys move
/// under the same conditions as in [`crate::upstreams::target_owners`].
pub fn target_placement(
    service: &Service,
    ranges: &BTreeMap<RangeIndex, RangePlacement>,
    keys: &[KeyLoad],
    usable: &dyn Fn(&Upstream) -> bool,
    slack_percent: u64,
) -> TargetPlacement {
    let split = keys_to_split(service, ranges, keys, usable);
    let mut units: Vec<LoadUnit> = ranges
        .iter()
        .map(|(index, placed)| LoadUnit {
            name: index.to_string(),
            weight: weight_without_split_keys(service, *index, placed, &split),
            upstream: placed.upstream.clone(),
        })
        .collect();
    units.extend(split.iter().map(|load| key_unit(service, ranges, load)));
    let mut owners = balance(service, units, usable, slack_percent).into_iter();
    let mut placement = TargetPlacement::default();
    for (index, owner) in ranges.keys().zip(owners.by_ref()) {
        placement.ranges.extend(owner.map(|owner| (*index, owner)));
    }
    for (load, owner) in split.iter().zip(owners) {
        let hot = owner.map(|upstream| HotKey { key: load.key, upstream });
        placement.hot.entry(service.range_of(load.key)).or_default().extend(hot);
    }
    placement
}

/// Returns the keys to split out, in descending order of weight.
fn keys_to_split<'a>(
    service: &Service,
    ranges: &BTreeMap<RangeIndex, RangePlacement>,
    keys: &'a [KeyLoad],
    usable: &dyn Fn(&Upstream) -> bool,
) -> Vec<&'a KeyLoad> {
    let total: u64 = ranges.values().map(|placed| placed.weight.max(1)).sum();
    let usable_upstreams = service.upstreams.iter().filter(|upstream| usable(upstream));
    let slots: Vec<u64> = usable_upstreams.map(|upstream| u64::from(upstream.slots)).collect();
    let min_slots = slots.iter().min().copied().unwrap_or(1);
    let min_share = total * min_slots / slots.iter().sum::<u64>().max(1);
    let is_hot = |load: &&KeyLoad| {
        let percent =
            if load.upstream.is_some() { MERGE_THRESHOLD_PERCENT } else { SPLIT_THRESHOLD_PERCENT };
        load.weight > 0 && load.weight * 100 >= min_share * percent
    };
    let mut hot_keys: Vec<&KeyLoad> = keys.iter().filter(is_hot).collect();
    hot_keys.sort_by_key(|load| (Reverse(load.weight), load.key));
    hot_keys.dedup_by_key(|load| load.key);
    hot_keys.truncate(MAX_SPLIT_KEYS);
    hot_keys
}

/// Returns the weight of a range without its split-out keys, at least 1.
fn weight_without_split_keys(
    service: &Service,
    index: RangeIndex,
    placed: &RangePlacement,
    split: &[&KeyLoad],
) -> u64 {
    let split_from_range = split.iter().filter(|load| service.range_of(load.key) == index);
    let split_weight: u64 = split_from_range.map(|load| load.weight).sum();
    placed.weight.saturating_sub(split_weight).max(1)
}

fn key_unit(
    service: &Service,
    ranges: &BTreeMap<RangeIndex, RangePlacement>,
    load: &KeyLoad,
) -> LoadUnit {
    let range = ranges.get(&service.range_of(load.key));
    let current = range.and_then(|placed| placed.upstream.clone());
    LoadUnit {
        name: format!("key {}", load.key.0),
        weight: load.weight,
        upstream: load.upstream.clone().or(current),
    }
}
