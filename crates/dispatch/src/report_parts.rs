//! Division of load reports into parts, each of which fits in a packet.
//!
//! Load pattern: hundreds of hosts send a few requests each to hundreds of upstreams. The number of parts depends on the
//! upstreams that are loaded, not on those that exist, so that a host with few requests sends one packet. A receiver
//! replaces each part on its own. When a report shrinks, the parts that are no longer needed are therefore sent empty for
//! some rounds: otherwise their load would count beside that of the others until it expires.

use crate::peer_load::UpstreamHash;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::{HostTime, Millis};
use std::hash::Hash;

/// Largest mean number of upstreams in a part whose entries are written one by one, and in one that is packed
/// ([`crate::packed_load`]). Parts differ in size; 1.3 times as many still fit in a packet.
const MEAN_UPSTREAMS: usize = 130;
const MEAN_PACKED_UPSTREAMS: usize = 250;
/// Largest number of parts.
pub const MAX_PARTS: u8 = 254;
/// Number of rounds in which a part that is no longer needed is sent empty, as a packet may be lost.
const CLEARING_ROUNDS: u8 = 3;
/// Time without a report to a destination after which its parts are forgotten. They have expired at the receiver.
const FORGET_AFTER: Millis = Millis(3_000);

#[derive(Debug, Clone)]
struct Sent {
    /// For each part that the receiver may have: the number of rounds since it was last needed.
    unneeded_rounds: Vec<u8>,
    at: HostTime,
}

/// Parts that were last sent to each destination `D`.
#[derive(Debug, Clone)]
pub struct ReportParts<D>(FastMap<D, Sent>);

impl<D> Default for ReportParts<D> {
    fn default() -> Self {
        Self(FastMap::default())
    }
}

impl Sent {
    const fn new(at: HostTime) -> Self {
        Self { unneeded_rounds: Vec::new(), at }
    }
}

impl<D: Copy + Eq + Hash> ReportParts<D> {
    /// Divides a report to a destination into parts, in the order of their indices. There is at least one. The load is
    /// sorted by hash, and so are the parts, each of which has an equal range of the hashes.
    pub fn split(
        &mut self,
        destination: D,
        load: &[(UpstreamHash, u32)],
        is_packed: bool,
        now: HostTime,
    ) -> Vec<Vec<(UpstreamHash, u32)>> {
        let mean = if is_packed { MEAN_PACKED_UPSTREAMS } else { MEAN_UPSTREAMS };
        let needed = load.len().div_ceil(mean).max(1);
        let needed = u8::try_from(needed).unwrap_or(MAX_PARTS).min(MAX_PARTS);
        let sent = self.0.entry(destination).or_insert_with(|| Sent::new(now));
        if now.since(sent.at) >= FORGET_AFTER {
            *sent = Sent::new(now);
        }
        sent.at = now;
        let parts = sent.unneeded_rounds.len().max(usize::from(needed));
        sent.unneeded_rounds.resize(parts, 0);
        let (used, unneeded) = sent.unneeded_rounds.split_at_mut(usize::from(needed));
        used.fill(0);
        unneeded.iter_mut().for_each(|rounds| *rounds += 1);
        // Reports use the first parts, so the last ones have been unneeded for longest.
        sent.unneeded_rounds.retain(|rounds| *rounds <= CLEARING_ROUNDS);
        let mut split = vec![Vec::new(); sent.unneeded_rounds.len()];
        for (hash, count) in load {
            let part = (u64::from(*hash) * u64::from(needed)) >> u32::BITS;
            // Below `needed`, so the conversion can't fail.
            split[usize::try_from(part).unwrap_or_default()].push((*hash, *count));
        }
        split
    }

    /// Forgets destinations that have got no report for some time.
    pub fn forget_silent(&mut self, now: HostTime) {
        self.0.retain(|_, sent| now.since(sent.at) < FORGET_AFTER);
    }
}
