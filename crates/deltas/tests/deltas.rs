//! Records relative to earlier versions of them.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_deltas::{
    ContentHash, DeltaError, MAX_SIZE, compress, decode, decompress, encode, is_compressed,
};

/// Returns a record like a configuration: a version, and routes with names that don't repeat.
fn record(version: u32, routes: u64) -> Vec<u8> {
    let mut text = format!("{{\"version\":\"r{version}\",\"routes\":[");
    for n in 0..routes {
        let name = n.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        text += &format!(
            "{{\"name\":\"r-{name:x}\",\"host\":\"h{}.example\",\"prefix\":\"/{:x}/\",\"kind\":\"idempotent\",\
             \"timeout\":\"3s\",\"objective\":\"500ms\",\"priority\":2,\"service\":\"s{}\",\"attempts\":2}},",
            name % 90,
            name.rotate_left(17),
            n % 4
        );
    }
    (text + "]}").into_bytes()
}

/// Changes one route in the middle of a record.
fn changed(record: &[u8]) -> Vec<u8> {
    let mut changed = record.to_vec();
    let middle = changed.len() / 2;
    changed.splice(middle..middle + 3, b"another service".iter().copied());
    changed
}

#[rstest]
#[case(1_400, 1_000)]
#[case(5_000, 1_000)]
fn a_change_of_one_route_takes_few_bytes(#[case] routes: u64, #[case] most: usize) {
    let (old, new) = (record(1, routes), changed(&record(2, routes)));
    let bytes = encode(&new, &old).unwrap();
    assert!(bytes.len() <= most, "{} of {}", bytes.len(), new.len());
    assert_eq!(decode(&bytes, &old, ContentHash::of(&new)).unwrap(), new);
}

#[rstest]
fn a_record_without_a_base_is_compressed(#[values(0, 19, 1_400, 5_000)] routes: u64) {
    let new = record(1, routes);
    let bytes = encode(&new, &[]).unwrap();
    assert!(bytes.len() <= new.len() / 4 + 100, "{} of {}", bytes.len(), new.len());
    assert_eq!(decode(&bytes, &[], ContentHash::of(&new)).unwrap(), new);
}

/// A host that applied a difference to another base would use a configuration that nobody published.
#[test]
fn a_difference_to_another_base_is_refused() {
    let (old, new) = (record(1, 100), record(2, 120));
    let bytes = encode(&new, &old).unwrap();
    for base in [record(1, 99), Vec::new(), new.clone()] {
        assert!(decode(&bytes, &base, ContentHash::of(&new)).is_err());
    }
}

#[test]
fn damaged_bytes_are_refused() {
    let (old, new) = (record(1, 50), record(2, 60));
    let bytes = encode(&new, &old).unwrap();
    let hash = ContentHash::of(&new);
    for index in 0..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[index] ^= 0x55;
        assert!(
            decode(&damaged, &old, hash).is_err() || decode(&damaged, &old, hash).unwrap() == new
        );
        assert!(decode(&bytes[..index], &old, hash).is_err());
    }
}

#[test]
fn a_message_is_compressed_and_told_from_text() {
    let message = record(1, 300);
    let bytes = compress(&message).unwrap();
    assert!(is_compressed(&bytes) && !is_compressed(&message) && bytes.len() < message.len() / 2);
    assert_eq!(decompress(&bytes).unwrap(), message);
}

/// A few bytes must not make a host allocate any amount of memory.
#[test]
fn what_decodes_to_too_much_is_refused() {
    let message = vec![b'x'; MAX_SIZE + 1];
    let bytes = compress(&message).unwrap();
    assert!(bytes.len() < 10_000);
    assert!(matches!(decompress(&bytes), Err(DeltaError::TooLarge)));
    assert!(matches!(decode(&bytes, &[], ContentHash::of(&message)), Err(DeltaError::TooLarge)));
}
