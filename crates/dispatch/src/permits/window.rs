//! Permits for a cold upstream on the host that issues them: a bound for any one second instead of a mean rate.
//!
//! Each issued permit occupies a place until the request that it was for has left the window in any case: the time in
//! which the permit can be used, the time until the request arrives, and the window itself. A member that reports that a
//! permit has been used or has expired makes the place free earlier. As many places as the members' parts of the bound
//! exist, so the pools of a divided fleet together don't exceed it.

use crate::cold::BOUND_WINDOW;
use skylarkdock_units::times::{HostTime, Millis};

/// Time after which an unused permit for a cold upstream expires, counted from the request for it. Covers a round trip
/// between regions and a slow host.
pub const COLD_PERMIT_LIFETIME: Millis = Millis(100);
/// Time after the decision within which the first byte of the request has to be sent. Covers the opening of a connection
/// to another region.
pub const COLD_SEND_TIME: Millis = Millis(20);
/// Difference between the shortest and the longest way of a request to the upstream, beyond [`COLD_SEND_TIME`].
const TRANSIT_JITTER: Millis = Millis(10);
/// Time after which a place is free that a permit has occupied which is certainly used or expired.
pub(super) const PLACE_TIME: Millis = Millis(BOUND_WINDOW.0 + COLD_SEND_TIME.0 + TRANSIT_JITTER.0);
/// Time after which the part of a new member counts: until then, permits of its former pool may be in use, or requests
/// that it sent before it knew that the upstream is cold.
pub(super) const JOIN_TIME: Millis = Millis(PLACE_TIME.0 + COLD_PERMIT_LIFETIME.0);
/// Pause between two requests of the members together while no place is free, so that a place is taken soon after it
/// becomes free without more messages than an issuer can answer.
const ASK_INTERVAL: Millis = Millis(3);
/// Shortest pause between two permits, in percent of the mean. Without one, all places would be taken in the same moment
/// of each second, and requests in between would wait for most of a second. The rest makes up for members that ask late.
const SPACING_PERCENT: u64 = 75;
/// Longest time after which a member without a permit asks again.
const MAX_ASK_PAUSE: Millis = Millis(1_000);
/// The same while the pool has no places: its members have joined just now, or have no part.
const NO_PLACE_PAUSE: Millis = Millis(200);

#[derive(Debug, Clone)]
struct Place {
    process: u64,
    seq: u32,
    free_at: HostTime,
}

/// Places of one pool.
#[derive(Debug, Clone, Default)]
pub(super) struct Window {
    places: Vec<Place>,
    issued_at: HostTime,
}

impl Window {
    /// Frees the places of a member's permits up to a number, which are used or expired by now.
    pub(super) fn settle(&mut self, process: u64, settled: u32, now: HostTime) {
        let latest = now + PLACE_TIME;
        for place in self.places.iter_mut().filter(|place| place.process == process) {
            if place.seq <= settled {
                place.free_at = place.free_at.min(latest);
            }
        }
    }

    /// Returns the number of free places, out of `count`; none if the pause since the last permit is too short.
    pub(super) fn free(&mut self, count: u32, now: HostTime) -> u32 {
        self.places.retain(|place| now < place.free_at);
        if now < self.issued_at + spacing(count) {
            return 0;
        }
        count.saturating_sub(u32::try_from(self.places.len()).unwrap_or(u32::MAX))
    }

    /// Occupies a place for a permit in the answer to a request.
    pub(super) fn occupy(&mut self, process: u64, seq: u32, now: HostTime) {
        let free_at = now + PLACE_TIME + COLD_PERMIT_LIFETIME;
        self.places.push(Place { process, seq, free_at });
        self.issued_at = now;
    }

    /// Returns the time until a place is free, and the time after which a member that lacks a permit should ask again, one
    /// of `short` such members.
    pub(super) fn waits(&self, count: u32, short: u32, now: HostTime) -> (Millis, Millis) {
        let turn = Millis(ASK_INTERVAL.0 * u64::from(short.max(1)));
        if count == 0 {
            return (MAX_ASK_PAUSE, NO_PLACE_PAUSE.max(turn).min(MAX_ASK_PAUSE));
        }
        let index = usize::try_from(count).unwrap_or(usize::MAX);
        let mut free_at: Vec<HostTime> = self.places.iter().map(|place| place.free_at).collect();
        free_at.sort_unstable();
        let first = free_at.len().checked_sub(index).and_then(|index| free_at.get(index));
        let spaced = self.issued_at + spacing(count);
        let until_free = first.map_or(spaced, |first| spaced.max(*first)).since(now);
        (until_free, until_free.max(turn).min(MAX_ASK_PAUSE))
    }
}

/// Returns the shortest pause between two permits out of a number of places.
fn spacing(count: u32) -> Millis {
    Millis(PLACE_TIME.0 * SPACING_PERCENT / 100 / u64::from(count.max(1)))
}
