//! When the keys of an upstream that asks hosts for rest are better served by another one.

use skylarkdock_units::times::Millis;

/// Shortest remaining rest for which keys are moved: a move takes about as long, and meanwhile nobody serves them.
const MIN_REST: Millis = Millis(1_000);
/// Number of hosts that have to say so at least, as an upstream may ask a single host for rest.
const MIN_HOSTS: usize = 2;

/// Returns whether an upstream rests for at least half of the hosts, for longer than a move takes. `rests` has the
/// remaining rest of each host that was asked for one.
pub fn is_widely_resting(rests: &[Millis], hosts: usize) -> bool {
    let count = rests.iter().filter(|rest| **rest > MIN_REST).count();
    count >= MIN_HOSTS && count * 2 >= hosts
}
