//! Load reports in parts: as many as are needed for what is loaded, with the same totals at the receiver.

use rstest::rstest;
use skylarkdock_dispatch::packed_load;
use skylarkdock_dispatch::peer_load::{self, PeerLoad, UpstreamHash};
use skylarkdock_dispatch::report_parts::ReportParts;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::HostTime;

/// Largest number of upstreams that fit in a packet of 1,400 bytes: 5 bytes for a hash and 2 for a count.
const MAX_IN_PACKET: usize = 195;
/// The same for a packed load, in bytes. The rest of the packet has the sender, the scope and crashes.
const MAX_PACKED_SIZE: usize = 1_370;

/// Returns the load at random upstreams, sorted by hash.
fn loads(rng: &mut fastrand::Rng, upstreams: usize) -> Vec<(UpstreamHash, u32)> {
    let mut load = FastMap::default();
    while load.len() < upstreams {
        load.insert(rng.u32(..), rng.u32(1..9));
    }
    peer_load::sorted(&load)
}

/// Returns the size of a packed load in bytes, seven bits of a number in each.
fn packed_size(load: &[(UpstreamHash, u32)]) -> usize {
    let bytes = |number: &u64| (u64::BITS - number.leading_zeros()).div_ceil(7).max(1);
    packed_load::pack(load).iter().map(|number| bytes(number) as usize).sum()
}

/// Of 810 upstreams a small host has requests at a few: its report is one packet, every time.
#[test]
fn a_host_with_few_requests_sends_one_part() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut parts: ReportParts<u8> = ReportParts::default();
    for round in 0..50 {
        let load = loads(&mut rng, 12);
        let split = parts.split(0, &load, round % 2 == 0, HostTime(1_000 + round * 150));
        assert_eq!(split.len(), 1, "round {round}");
        assert_eq!(split[0].len(), 12);
    }
}

#[test]
fn a_host_without_requests_still_reports() {
    let mut parts: ReportParts<u8> = ReportParts::default();
    let split = parts.split(0, &[], true, HostTime(1_000));
    assert_eq!(split, [Vec::new()]);
}

/// The load of a whole fleet takes a packet for each 130 loaded upstreams.
#[test]
fn each_part_fits_in_a_packet() {
    let mut rng = fastrand::Rng::with_seed(2);
    for upstreams in [100, 311, 810, 3_000] {
        let mut parts: ReportParts<u8> = ReportParts::default();
        let load = loads(&mut rng, upstreams);
        let split = parts.split(0, &load, false, HostTime(1_000));
        assert_eq!(split.len(), upstreams.div_ceil(130));
        assert_eq!(split.iter().map(Vec::len).sum::<usize>(), upstreams);
        assert!(split.iter().all(|part| part.len() <= MAX_IN_PACKET), "{upstreams} upstreams");
    }
}

/// Packed, the load of a whole fleet takes about half as many packets.
#[rstest]
#[case(100, 1)]
#[case(250, 1)]
#[case(311, 2)]
#[case(750, 3)]
#[case(810, 4)]
#[case(3_000, 12)]
fn each_packed_part_fits_in_a_packet(#[case] upstreams: usize, #[case] packets: usize) {
    for seed in 0..40 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut parts: ReportParts<u8> = ReportParts::default();
        let load = loads(&mut rng, upstreams);
        let split = parts.split(0, &load, true, HostTime(1_000));
        assert_eq!(split.len(), packets);
        assert_eq!(split.concat(), load);
        let largest = split.iter().map(|part| packed_size(part)).max();
        assert!(largest <= Some(MAX_PACKED_SIZE), "seed {seed}: {largest:?} bytes");
    }
}

/// Load grows in a burst and shrinks after it: the receiver has the same totals after every round, also in the rounds in
/// which fewer parts are needed than before.
#[test]
fn totals_follow_reports_that_grow_and_shrink() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut parts: ReportParts<u8> = ReportParts::default();
    let mut received: PeerLoad<u8> = PeerLoad::default();
    for round in 0..200 {
        let now = HostTime(1_000 + round * 150);
        let upstreams = [5, 700, 300, 1, 140, 0][rng.usize(..6)];
        let load = loads(&mut rng, upstreams);
        for (part, load) in (0..).zip(parts.split(0, &load, round % 3 > 0, now)) {
            received.apply_report(part, load, now);
        }
        assert_eq!(peer_load::sorted(&received.totals_where(|_| true)), load, "round {round}");
    }
}

/// A third of the packets is lost. Parts that are no longer needed are sent empty in several rounds, so at most a quarter
/// of the receivers count what is left of a burst until it expires.
#[test]
fn a_burst_is_not_counted_for_long_after_lost_packets() {
    let mut stale = 0;
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut parts: ReportParts<u8> = ReportParts::default();
        let mut received: PeerLoad<u8> = PeerLoad::default();
        let burst = loads(&mut rng, 700);
        let quiet = loads(&mut rng, 5);
        for round in 0..6 {
            let now = HostTime(1_000 + round * 150);
            let load = if round < 2 { &burst } else { &quiet };
            for (part, load) in (0..).zip(parts.split(0, load, false, now)) {
                if rng.u8(..3) > 0 {
                    received.apply_report(part, load, now);
                }
            }
        }
        stale += usize::from(received.totals_where(|_| true).len() > 5);
    }
    assert!(stale <= 50, "{stale} of 200 receivers still count the burst after 4 rounds");
}

#[test]
fn destinations_are_apart() {
    let mut rng = fastrand::Rng::with_seed(4);
    let mut parts: ReportParts<u8> = ReportParts::default();
    let (large, small) = (loads(&mut rng, 500), loads(&mut rng, 3));
    assert_eq!(parts.split(0, &large, false, HostTime(1_000)).len(), 4);
    assert_eq!(parts.split(1, &small, false, HostTime(1_000)).len(), 1);
    assert_eq!(parts.split(0, &small, false, HostTime(1_150)).len(), 4, "three parts are cleared");
    parts.forget_silent(HostTime(9_000));
    assert_eq!(parts.split(0, &small, false, HostTime(9_000)).len(), 1);
}
