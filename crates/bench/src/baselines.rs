//! Baseline placement strategies: range index modulo the number of upstreams, and consistent hashing with bounded loads.

use xxhash_rust::xxh3::xxh3_64;

const RING_POINTS_PER_UPSTREAM: usize = 100;

/// Assigns each range the upstream at its index modulo the number of upstreams.
pub fn modulo(ranges: usize, upstreams: &[String]) -> Vec<String> {
    (0..ranges).map(|range| upstreams[range % upstreams.len()].clone()).collect()
}

/// Assigns each range an upstream by consistent hashing, where no upstream takes more than `bound` times the
/// mean load as long as another has room.
pub fn bounded(weights: &[u64], upstreams: &[String], bound: f64) -> Vec<String> {
    let points = |index: usize| {
        let id = &upstreams[index];
        (0..RING_POINTS_PER_UPSTREAM).map(move |n| (xxh3_64(format!("{id} {n}").as_bytes()), index))
    };
    let mut ring: Vec<(u64, usize)> = (0..upstreams.len()).flat_map(points).collect();
    ring.sort_unstable();
    let limit = weights.iter().sum::<u64>() as f64 * bound / upstreams.len() as f64;
    let mut loads = vec![0_u64; upstreams.len()];
    let place = |(range, weight): (usize, &u64)| {
        let hash = xxh3_64(format!("range {range}").as_bytes());
        let start = ring.partition_point(|(point, _)| *point < hash);
        let around = (0..ring.len()).map(|step| ring[(start + step) % ring.len()].1);
        let fits = around.clone().find(|index| (loads[*index] + weight) as f64 <= limit);
        let least = (0..loads.len()).min_by_key(|index| loads[*index]);
        let chosen = fits.or(least).unwrap_or(0);
        loads[chosen] += weight;
        upstreams[chosen].clone()
    };
    weights.iter().enumerate().map(place).collect()
}
