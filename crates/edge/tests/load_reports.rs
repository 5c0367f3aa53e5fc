//! Load reports between hosts of this version and of the one before, which knows only the first form.

use rstest::rstest;
use serde::{Deserialize, Serialize};
use skylarkdock_edge::load_reports::{self, CrashReport, NameHash, Report, Scope};

/// Report as the version before writes and reads it.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct EarlierReport {
    host: u32,
    scope: u8,
    part: u8,
    load: Vec<(u32, u32)>,
    crashes: Vec<(u32, Vec<u64>, u32)>,
}

/// Bytes of a report of the version before: host 7, scope `Member`, part 1, load 300 at upstream 70,000 and one crash.
const EARLIER_BYTES: [u8; 14] =
    [0x07, 0x01, 0x01, 0x01, 0xf0, 0xa2, 0x04, 0xac, 0x02, 0x01, 0x05, 0x01, 0x09, 0x02];

fn report() -> Report {
    let crash = CrashReport { upstream: 5, in_flight: vec![9], load: 2 };
    let load = vec![(70_000, 300), (4_000_000_000, 3)];
    Report { host: NameHash(7), scope: Scope::Member, part: 1, load, crashes: vec![crash] }
}

#[rstest]
fn a_report_of_this_version_is_read_whole(#[values(false, true)] is_packed: bool) {
    let bytes = load_reports::encode(report(), is_packed).unwrap_or_else(|e| panic!("{e}"));
    let (decoded, reads_packed) = load_reports::decode(&bytes).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(decoded, report());
    assert!(reads_packed);
}

#[test]
fn the_version_before_reads_the_first_form() {
    let bytes = load_reports::encode(report(), false).unwrap_or_else(|e| panic!("{e}"));
    let earlier: EarlierReport = postcard::from_bytes(&bytes).unwrap_or_else(|e| panic!("{e}"));
    assert_eq!(earlier.load, report().load);
    assert_eq!(earlier.crashes, [(5, vec![9], 2)]);
}

#[test]
fn a_report_of_the_version_before_is_read() {
    let decoded = load_reports::decode(&EARLIER_BYTES);
    let (decoded, reads_packed) = decoded.unwrap_or_else(|e| panic!("{e}"));
    assert_eq!((decoded.host, decoded.scope, decoded.part), (NameHash(7), Scope::Member, 1));
    assert_eq!(decoded.load, [(70_000, 300)]);
    assert_eq!(decoded.crashes.len(), 1);
    assert!(!reads_packed, "its sender must get no packed loads");
}

/// The version before can't take a packed report for another one.
#[test]
fn the_version_before_refuses_a_packed_report() {
    let bytes = load_reports::encode(report(), true).unwrap_or_else(|e| panic!("{e}"));
    assert!(postcard::from_bytes::<EarlierReport>(&bytes).is_err());
}

/// Damaged datagrams are errors, and never end the process.
#[test]
fn damaged_reports_are_refused_or_read() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..20_000 {
        let is_packed = rng.bool();
        let mut bytes = load_reports::encode(report(), is_packed).unwrap_or_else(|e| panic!("{e}"));
        bytes.truncate(rng.usize(..=bytes.len()));
        if let Some(byte) = bytes.get_mut(rng.usize(..40)) {
            *byte = rng.u8(..);
        }
        let _ = load_reports::decode(&bytes);
    }
}
