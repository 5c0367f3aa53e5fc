//! When hosts write their records.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_freshness::registration::{LastWrite, pause};
use skylarkdock_units::measures::HostSize;
use skylarkdock_units::times::Millis;

/// Time after its start within which a host has to be recorded.
const RECORDING_TIME: Millis = Millis(2_000);

/// Hosts of a zone follow its largest one, which has to be recorded before them.
#[test]
fn much_larger_hosts_are_recorded_first() {
    let latest_large = pause(LastWrite::None, HostSize(500), 1_000);
    for size in [50, 100, 200] {
        assert!(latest_large < pause(LastWrite::None, HostSize(size), 0), "{size}m");
    }
}

#[rstest]
fn a_host_of_any_size_is_recorded_in_time(#[values(0, 1, 20, 100, 1_000, 64_000)] size: u32) {
    for jitter in [0, 500, 1_000, u16::MAX] {
        assert!(pause(LastWrite::None, HostSize(size), jitter) < RECORDING_TIME);
    }
}

/// While the store is away, each host goes on to try, at longer and longer intervals up to a bound.
#[test]
fn failed_writes_are_repeated_at_growing_intervals() {
    let pauses: Vec<Millis> =
        (1..100).map(|count| pause(LastWrite::Failed(count), HostSize(100), 0)).collect();
    assert!(pauses.windows(2).all(|pair| pair[0] <= pair[1]));
    assert!(pauses[0] < pauses[1]);
    assert_eq!(pauses.last(), Some(&Millis(2_400)));
    assert!(pause(LastWrite::Failed(u32::MAX), HostSize(100), 1_000) <= Millis(3_600));
}

/// Hosts that start together write once each, but for those which find the store unavailable.
#[rstest]
#[case(12)]
#[case(79)]
#[case(295)]
#[case(480)]
fn hosts_that_start_together_write_once_each(#[case] hosts: u32) {
    const OUTAGE: Millis = Millis(1_000);
    /// Writes of one host in the outage and the one after it: at 0.3, 0.6 and 1.2 s after the one before.
    const MAX_WRITES: u32 = 4;
    let mut rng = fastrand::Rng::with_seed(u64::from(hosts));
    let (mut writes, mut late_hosts, mut latest) = (0, 0, Millis(0));
    for _ in 0..hosts {
        let size = HostSize(if rng.u8(..10) == 0 { 500 } else { 100 });
        let is_late = rng.u8(..10) == 0;
        late_hosts += u32::from(is_late);
        let (mut last, mut failed) = (LastWrite::None, 0);
        let mut at = Millis(0);
        loop {
            at = at + pause(last, size, rng.u16(..1_000));
            writes += 1;
            if !is_late || at >= OUTAGE {
                break;
            }
            failed += 1;
            last = LastWrite::Failed(failed);
        }
        latest = latest.max(at);
    }
    assert!(writes <= hosts + late_hosts * (MAX_WRITES - 1), "{writes} writes of {hosts} hosts");
    assert!(latest < OUTAGE + RECORDING_TIME, "the last one after {latest}");
}
