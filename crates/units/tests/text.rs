//! `FromStr` and `Display` of the unit types, times in request ids and ranges of key hashes.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_units::ids::{Epoch, HostId, Member, RangeId};
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::measures::{ByteSize, HostSize};
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::{Millis, WallTime};
use std::fmt::{Debug, Display};
use std::str::FromStr;

fn assert_round_trip<T>(text: &str)
where
    T: FromStr + Display,
    T::Err: Debug,
{
    let value: T = text.parse().unwrap();
    assert_eq!(value.to_string(), text);
}

#[test]
fn displaying_a_parsed_value_gives_the_same_text() {
    assert_round_trip::<HostId>("host-1");
    assert_round_trip::<Member>("host-1#7");
    assert_round_trip::<RangeId>("orders/7");
    assert_round_trip::<Epoch>("42.1");
    assert_round_trip::<KeyHash>("00000000deadbeef");
    assert_round_trip::<ByteSize>("64KiB");
    assert_round_trip::<HostSize>("200m");
    assert_round_trip::<Millis>("250ms");
}

#[rstest]
#[case("")]
#[case("Upper")]
#[case("with space")]
fn malformed_names_are_rejected(#[case] text: &str) {
    assert!(text.parse::<HostId>().is_err());
}

#[test]
fn a_request_id_contains_its_creation_time() {
    let id = RequestId::new(WallTime(1_764_800_000_123), &[7; 10]);
    assert_eq!(id.issued(), WallTime(1_764_800_000_123));
    assert_eq!(id.to_string().parse::<RequestId>().unwrap(), id);
    assert!("6f2c1d9e-3c1f-4a52-9a55-1f0f6a1f2b3c".parse::<RequestId>().is_err());
}

#[test]
fn ranges_divide_the_hash_space_evenly() {
    assert_eq!(KeyHash(0).range(64).0, 0);
    assert_eq!(KeyHash(u64::MAX).range(64).0, 63);
    assert_eq!(KeyHash(u64::MAX / 2 + 1).range(64).0, 32);
}
