//! Handshake, frames and the shared secret: only the next frame of the peer on the same connection is accepted.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use rstest::rstest;
use skylarkdock_peer::PeerError;
use skylarkdock_peer::frame::{
    FrameEncoder, FrameVerifier, HEADER_BYTES, Header, MAX_PAYLOAD_BYTES,
};
use skylarkdock_peer::hello::{Hello, MAX_HELLO_BYTES, PROTOCOL_VERSION, Role, derive_frame_codec};
use skylarkdock_peer::secret::Secret;

const SECRET: &str = "a secret of all hosts";

fn hello(from: &str, to: &str, nonce: u8) -> Hello {
    Hello::new(format!("{from}#1").parse().unwrap(), to.parse().unwrap(), [nonce; 16])
}

/// Returns the frame encoder and verifier of both ends of a connection.
fn connect(secrets: [&str; 2], nonces: [u8; 2]) -> [(FrameEncoder, FrameVerifier); 2] {
    let initiator_hello = hello("host-1", "host-2", nonces[0]).encode().unwrap();
    let responder_hello = hello("host-2", "host-1", nonces[1]).encode().unwrap();
    let [first, second] = secrets.map(|secret| secret.parse::<Secret>().unwrap());
    [
        derive_frame_codec(&first, &initiator_hello, &responder_hello, Role::Initiator),
        derive_frame_codec(&second, &initiator_hello, &responder_hello, Role::Responder),
    ]
}

fn verify(verifier: &mut FrameVerifier, frame: &[u8]) -> Result<Vec<u8>, PeerError> {
    let (header, payload) = frame.split_first_chunk::<HEADER_BYTES>().unwrap();
    let header = Header::parse(header)?;
    verifier.verify(&header, payload).map(|()| payload.to_vec())
}

#[test]
fn frames_in_order_are_accepted_in_both_directions() {
    let [mut initiator, mut responder] = connect([SECRET; 2], [1, 2]);
    for payload in [&b"first"[..], b"", b"first", &[7; 100_000]] {
        let (to_responder, to_initiator) =
            (initiator.0.encode(payload).unwrap(), responder.0.encode(payload).unwrap());
        assert_eq!(verify(&mut responder.1, &to_responder).unwrap(), payload);
        assert_eq!(verify(&mut initiator.1, &to_initiator).unwrap(), payload);
        assert_ne!(to_responder, to_initiator);
    }
}

#[rstest]
#[case::wrong_secret([SECRET, "a secret of another fleet"], [1, 2], [1, 2])]
#[case::other_connection_of_the_initiator([SECRET; 2], [1, 2], [3, 2])]
#[case::other_connection_of_the_responder([SECRET; 2], [1, 2], [1, 3])]
fn frames_of_another_secret_or_connection_are_rejected(
    #[case] secrets: [&str; 2],
    #[case] encoder_nonces: [u8; 2],
    #[case] verifier_nonces: [u8; 2],
) {
    let [mut initiator, _] = connect(secrets, encoder_nonces);
    let [_, mut responder] = connect(secrets, verifier_nonces);
    let frame = initiator.0.encode(b"payload").unwrap();
    assert_eq!(verify(&mut responder.1, &frame), Err(PeerError::Unauthenticated));
}

#[test]
fn flipped_bits_are_rejected_and_the_unchanged_frame_is_then_accepted() {
    let [mut initiator, mut responder] = connect([SECRET; 2], [1, 2]);
    let frame = initiator.0.encode(b"payload").unwrap();
    for bit in 4 * 8..frame.len() * 8 {
        let mut changed = frame.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        assert_eq!(
            verify(&mut responder.1, &changed),
            Err(PeerError::Unauthenticated),
            "bit {bit}"
        );
    }
    assert_eq!(verify(&mut responder.1, &frame).unwrap(), b"payload");
}

#[rstest]
#[case::replayed(&[0, 0])]
#[case::reordered(&[1])]
#[case::skipped(&[0, 2])]
fn replayed_and_reordered_frames_are_rejected(#[case] order: &[usize]) {
    let [mut initiator, mut responder] = connect([SECRET; 2], [1, 2]);
    let frames: Vec<_> = (0..3).map(|_| initiator.0.encode(b"same").unwrap()).collect();
    let results: Vec<_> =
        order.iter().map(|index| verify(&mut responder.1, &frames[*index])).collect();
    assert_eq!(results.last().unwrap(), &Err(PeerError::Unauthenticated));
    assert!(results[..results.len() - 1].iter().all(Result::is_ok));
}

#[test]
fn a_frame_reflected_to_its_sender_is_rejected() {
    let [mut initiator, _] = connect([SECRET; 2], [1, 1]);
    let frame = initiator.0.encode(b"payload").unwrap();
    assert_eq!(verify(&mut initiator.1, &frame), Err(PeerError::Unauthenticated));
}

#[test]
fn a_truncated_payload_is_rejected() {
    let [mut initiator, mut responder] = connect([SECRET; 2], [1, 2]);
    let frame = initiator.0.encode(b"payload").unwrap();
    for len in HEADER_BYTES..frame.len() {
        assert_eq!(verify(&mut responder.1, &frame[..len]), Err(PeerError::Unauthenticated));
    }
}

#[test]
fn payload_length_is_limited_when_encoding_and_parsing() {
    let [mut initiator, mut responder] = connect([SECRET; 2], [1, 2]);
    let too_long = PeerError::TooLong { len: MAX_PAYLOAD_BYTES + 1, max: MAX_PAYLOAD_BYTES };
    let oversized = vec![0; MAX_PAYLOAD_BYTES + 1];
    assert_eq!(initiator.0.encode(&oversized), Err(too_long.clone()));
    let frame = initiator.0.encode(&oversized[1..]).unwrap();
    assert!(verify(&mut responder.1, &frame).is_ok());
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&(MAX_PAYLOAD_BYTES as u32 + 1).to_be_bytes());
    assert_eq!(Header::parse(&header), Err(too_long));
}

#[test]
fn a_hello_with_another_host_or_protocol_version_is_rejected() {
    let sent = hello("host-1", "host-2", 1);
    let bytes = sent.encode().unwrap();
    assert_eq!(Hello::decode(&bytes, &"host-2".parse().unwrap()), Ok(sent.clone()));
    let addressed = "host-2".parse().unwrap();
    assert_eq!(
        Hello::decode(&bytes, &"host-3".parse().unwrap()),
        Err(PeerError::WrongHost { addressed })
    );
    let other = Hello { protocol: PROTOCOL_VERSION + 1, ..sent }.encode().unwrap();
    let version =
        PeerError::UnsupportedVersion { found: PROTOCOL_VERSION + 1, supported: PROTOCOL_VERSION };
    assert_eq!(Hello::decode(&other, &"host-2".parse().unwrap()), Err(version));
    for len in 0..bytes.len() {
        assert!(Hello::decode(&bytes[..len], &"host-2".parse().unwrap()).is_err());
    }
    let name = "x".repeat(63);
    let longest = Hello { protocol: PROTOCOL_VERSION, ..hello(&name, &name, 255) };
    assert!(longest.encode().unwrap().len() <= MAX_HELLO_BYTES);
}

#[test]
fn a_secret_is_redacted_in_debug_output_and_has_a_minimum_length() {
    let secret: Secret = SECRET.parse().unwrap();
    assert_eq!(format!("{secret:?} {secret:#?}"), "Secret(..) Secret(..)");
    let short = "fifteen bytes..".parse::<Secret>().unwrap_err();
    assert_eq!(short.to_string(), "secret too short: got 15 bytes, need at least 16");
    assert!(
        format!("  {SECRET}\n")
            .parse::<Secret>()
            .unwrap()
            .verify(&[b"x"], &secret.tag(&[b"x"]).to_string())
    );
}

#[rstest]
#[case::same(&[&b"ab"[..], b"c"], SECRET, true)]
#[case::parts_divided_elsewhere(&[&b"a"[..], b"bc"], SECRET, false)]
#[case::missing_part(&[&b"ab"[..]], SECRET, false)]
#[case::other_secret(&[&b"ab"[..], b"c"], "a secret of another fleet", false)]
fn a_tag_is_valid_only_for_its_parts_and_secret(
    #[case] parts: &[&[u8]],
    #[case] tagged_with: &str,
    #[case] valid: bool,
) {
    let secret: Secret = SECRET.parse().unwrap();
    let tag = tagged_with.parse::<Secret>().unwrap().tag(parts).to_string();
    assert_eq!(secret.verify(&[b"ab", b"c"], &tag), valid);
    assert!(!secret.verify(&[b"ab", b"c"], &tag[..30]));
    assert!(!secret.verify(&[b"ab", b"c"], &"é".repeat(16)));
}

#[test]
fn a_tag_has_only_one_text_form() {
    let secret: Secret = SECRET.parse().unwrap();
    let tag = (0_u8..).map(|n| secret.tag(&[&[n]]).to_string()).zip(0_u8..);
    let (tag, n) = tag.into_iter().find(|(tag, _)| tag.starts_with('0')).unwrap();
    assert!(secret.verify(&[&[n]], &tag));
    assert!(!secret.verify(&[&[n]], &format!("+{}", &tag[1..])));
}
