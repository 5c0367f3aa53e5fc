//! Notices of configuration versions between hosts of this version, of the one before and of later ones.

use serde::Deserialize;
use skylarkdock_edge::load_reports::{self, NameHash, Report, Scope};
use skylarkdock_edge::version_notices;
use skylarkdock_freshness::versions::{Claim, MAX_TOLD, Origin};
use skylarkdock_units::times::Millis;

/// Load report as the version before reads it, for which it takes each datagram without a tag that it knows.
#[derive(Debug, Deserialize)]
#[expect(dead_code, reason = "only whether it can be read matters")]
struct EarlierReport {
    host: u32,
    scope: u8,
    part: u8,
    load: Vec<(u32, u32)>,
    crashes: Vec<(u32, Vec<u64>, u32)>,
}

/// First bytes of the messages that the version before knows: packed reports, trials, digests of crashes and permits.
const EARLIER_TAGS: [[u8; 5]; 4] = [
    [0xff, 0xff, 0xff, 0xff, 0x7d],
    [0xff, 0xff, 0xff, 0xff, 0x7e],
    [0xff, 0xff, 0xff, 0xff, 0x7f],
    [0xff; 5],
];

/// Bytes of a notice: host 70,000 has version 300 that is 1,400 ms old, host 7 has version 12 that is 0 ms old.
const BYTES: [u8; 16] = [
    0xff, 0xff, 0xff, 0xff, 0x7c, 0x02, 0xf0, 0xa2, 0x04, 0xac, 0x02, 0xf8, 0x0a, 0x07, 0x0c, 0x00,
];

fn claims() -> Vec<Claim> {
    vec![
        Claim { origin: Origin(70_000), version: 300, age: Millis(1_400) },
        Claim { origin: Origin(7), version: 12, age: Millis(0) },
    ]
}

fn encode(claims: &[Claim]) -> Vec<u8> {
    version_notices::encode(claims).unwrap_or_else(|e| panic!("{e}"))
}

/// Guards against a changed format, which hosts of this version would not read.
#[test]
fn notices_keep_their_format() {
    assert_eq!(encode(&claims()), BYTES);
    assert!(version_notices::is_notice(&BYTES));
    assert_eq!(version_notices::decode(&BYTES).unwrap_or_else(|e| panic!("{e}")), claims());
}

/// Guards against a notice that a host of the version before takes for load or for another message.
#[test]
fn the_version_before_ignores_notices() {
    assert!(EARLIER_TAGS.iter().all(|tag| !BYTES.starts_with(tag)));
    assert!(postcard::from_bytes::<EarlierReport>(&BYTES).is_err());
    assert!(load_reports::decode(&BYTES).is_err());
}

/// Guards against load that this version takes for a notice.
#[test]
fn load_reports_are_no_notices() {
    for host in [0, 7, u32::MAX] {
        for is_packed in [false, true] {
            let (scope, load) = (Scope::Own, vec![(70_000, 300)]);
            let host = NameHash(host);
            let report = Report { host, scope, part: 0, load, crashes: Vec::new() };
            let bytes = load_reports::encode(report, is_packed).unwrap_or_else(|e| panic!("{e}"));
            assert!(!version_notices::is_notice(&bytes), "{bytes:?}");
        }
    }
}

/// Guards against a fleet in which hosts of a later version, whose notices have more fields, are not heard.
#[test]
fn fields_that_later_versions_append_are_skipped() {
    let mut bytes = BYTES.to_vec();
    bytes.extend([1, 2, 3]);
    assert_eq!(version_notices::decode(&bytes).unwrap_or_else(|e| panic!("{e}")), claims());
}

/// Damaged datagrams are errors or have other claims, never too many, and never end the process.
#[test]
fn damaged_notices_are_refused_or_read() {
    let mut rng = fastrand::Rng::with_seed(1);
    for _ in 0..20_000 {
        let many: Vec<Claim> = claims().into_iter().cycle().take(rng.usize(0..20)).collect();
        let mut bytes = encode(&many);
        bytes.truncate(rng.usize(..=bytes.len()));
        if let Some(byte) = bytes.get_mut(rng.usize(..40)) {
            *byte = rng.u8(..);
        }
        if let Ok(claims) = version_notices::decode(&bytes) {
            assert!(claims.len() <= MAX_TOLD);
        }
    }
}
