//! Packets survive encoding and decoding unchanged, and the decoders do not panic on arbitrary bytes.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use skylarkdock_peer::hello::Hello;
use skylarkdock_peer::message::{Fetch, Packet, Payload, Records, StatePart};
use skylarkdock_timeline::clock::Stamp;
use skylarkdock_units::ids::Offset;
use skylarkdock_units::times::WallTime;

fn packet(payload: Payload) -> Packet {
    Packet { stamp: Stamp { wall: WallTime(1_764_800_000_000), count: 3 }, payload }
}

fn payload() -> impl Strategy<Value = Payload> {
    let offset = || any::<u64>().prop_map(Offset);
    prop_oneof![
        offset().prop_map(|applied| Payload::Fetch(Fetch { applied })),
        (offset(), prop::collection::vec(".{0,20}", 0..4))
            .prop_map(|(first, texts)| Payload::Records(Records { first, texts })),
        (offset(), ".{0,20}", any::<u32>(), any::<u32>(), ".{0,40}").prop_map(
            |(base, digest, index, count, data)| {
                Payload::StatePart(StatePart { base, digest, index, count, data })
            }
        ),
    ]
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(11), failure_persistence: None, cases: 1024, ..Config::default() })]

    #[test]
    fn a_decoded_packet_equals_the_encoded_one(payload in payload()) {
        let packet = packet(payload);
        let bytes = packet.encode().unwrap();
        prop_assert_eq!(Packet::decode(&bytes).unwrap(), packet);
        prop_assert!(Packet::decode(&[&bytes[..], &[0]].concat()).is_err());
        for len in 0..bytes.len() {
            prop_assert!(Packet::decode(&bytes[..len]).is_err());
        }
    }

    #[test]
    fn decoders_do_not_panic_on_arbitrary_bytes(bytes in prop::collection::vec(any::<u8>(), 0..512)) {
        let _ = Packet::decode(&bytes);
        let _ = Hello::decode(&bytes, &"host-1".parse().unwrap());
    }

    #[test]
    fn the_decoder_does_not_panic_on_corrupted_packets(
        payload in payload(), at in any::<prop::sample::Index>(), byte in any::<u8>(), variant in 0_u8..8,
    ) {
        let mut bytes = packet(payload).encode().unwrap();
        let at = at.index(bytes.len());
        bytes[at] = byte;
        let _ = Packet::decode(&bytes);
        // The byte after the encoded stamp is the variant index of the payload.
        bytes[7] = variant;
        let _ = Packet::decode(&bytes);
    }
}
