//! When a host writes its record to the store, by which other hosts know it.
//!
//! Load pattern: hundreds of hosts start together and none of them is recorded. Each has to be recorded soon, with about
//! one write for each host. Hosts follow the largest recorded one of their availability zone, and read the store
//! themselves until there is one, so the large hosts are recorded first.

use skylarkdock_units::measures::HostSize;
use skylarkdock_units::times::Millis;

/// Pause before the first write, divided by the size of the host in cores.
const FIRST_PAUSE_PER_CORE: Millis = Millis(80);
/// Longest pause before the first write, without its random part.
const MAX_FIRST_PAUSE: Millis = Millis(800);
/// Pause after a write that the store refused or did not answer; it doubles with each further one.
const FAILED_PAUSE: Millis = Millis(300);
/// Upper limit of the pause after failed writes, without its random part.
const MAX_FAILED_PAUSE: Millis = Millis(2_400);
/// Pause after a write that the store confirmed. By then the host has learnt of its own record again, unless the store
/// lost it.
const CONFIRMED_PAUSE: Millis = Millis(4_000);

/// Result of the last write of the host's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LastWrite {
    /// The process has made none.
    None,
    /// The store confirmed it.
    Confirmed,
    /// The store refused it or gave no answer, this many times in a row.
    Failed(u32),
}

/// Returns the pause before the next write of a host that finds itself not recorded. Up to half of it is random:
/// `jitter_per_mille` of that half, so that hosts of the same size don't write at the same moment.
pub fn pause(last: LastWrite, size: HostSize, jitter_per_mille: u16) -> Millis {
    let pause = match last {
        LastWrite::None => {
            let per_size = FIRST_PAUSE_PER_CORE.0 * 1_000 / u64::from(size.0.max(1));
            MAX_FIRST_PAUSE.min(Millis(per_size))
        }
        LastWrite::Confirmed => CONFIRMED_PAUSE,
        LastWrite::Failed(count) => {
            let doublings = count.saturating_sub(1).min(u64::BITS / 2);
            MAX_FAILED_PAUSE.min(Millis(FAILED_PAUSE.0 << doublings))
        }
    };
    Millis(pause.0 + pause.0 * u64::from(jitter_per_mille.min(1_000)) / 2_000)
}
