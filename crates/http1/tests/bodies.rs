//! Incremental decoding of message bodies whose bytes arrive in pieces of different lengths.

use rstest::rstest;
use skylarkdock_http1::body::{Decoder, Framing};

/// Decodes `wire` in pieces of `piece_len` bytes. Returns the body, the bytes that follow it, and whether it is complete.
fn decode(framing: Framing, wire: &[u8], piece_len: usize) -> Option<(Vec<u8>, Vec<u8>, bool)> {
    let mut decoder = Decoder::new(framing);
    let (mut input, mut body) = (Vec::new(), Vec::new());
    for piece in wire.chunks(piece_len) {
        input.extend_from_slice(piece);
        let consumed = decoder.decode(&input, &mut body).ok()?;
        input.drain(..consumed);
    }
    Some((body, input, decoder.is_done()))
}

#[rstest]
fn chunk_data_is_concatenated_without_chunk_framing(#[values(1, 2, 3, 7, 100)] piece_len: usize) {
    let wire = b"3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nT: 1\r\n\r\nnext";
    let (body, rest, is_done) = decode(Framing::Chunked, wire, piece_len).unwrap();
    assert_eq!(body, b"abc0123456789");
    assert_eq!(rest, b"next");
    assert!(is_done);
}

#[rstest]
fn a_body_with_a_length_ends_after_that_many_bytes(#[values(1, 2, 5, 100)] piece_len: usize) {
    let (body, rest, is_done) = decode(Framing::Length(4), b"abcdnext", piece_len).unwrap();
    assert_eq!((body.as_slice(), rest.as_slice(), is_done), (&b"abcd"[..], &b"next"[..], true));
}

#[rstest]
#[case::no_size(b"\r\nabc\r\n")]
#[case::not_hex(b"xyz\r\n")]
#[case::signed(b"+3\r\nabc\r\n")]
#[case::size_too_large(b"fffffffffffffffff\r\n")]
#[case::data_longer_than_chunk_size(b"3\r\nabcd\r\n")]
#[case::bare_line_feed(b"3\nabc\r\n")]
fn malformed_chunks_are_rejected(#[case] wire: &[u8]) {
    assert_eq!(decode(Framing::Chunked, wire, 100), None);
}

/// The line that ends a body may be missing, so that another message follows in place of its trailers.
#[rstest]
#[case::another_message(b"0\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")]
#[case::no_colon(b"0\r\nName\r\n\r\n")]
#[case::no_name(b"0\r\n: x\r\n\r\n")]
#[case::blank_in_the_name(b"0\r\nOdd Name: x\r\n\r\n")]
#[case::blank_behind_the_name(b"0\r\nName : x\r\n\r\n")]
#[case::control_byte_in_the_name(b"0\r\nNa\x01me: x\r\n\r\n")]
#[case::control_byte_in_the_value(b"0\r\nName: \0\r\n\r\n")]
#[case::folded(b"0\r\nName: x\r\n folded\r\n\r\n")]
fn trailers_that_are_no_fields_are_rejected(#[case] wire: &[u8]) {
    assert_eq!(decode(Framing::Chunked, wire, 100), None);
}

#[rstest]
#[case::none(b"0\r\n\r\n")]
#[case::one(b"0\r\nName: x\r\n\r\n")]
#[case::several(b"0\r\nName:x\r\nOther-Name: a\tb: \xe4\r\nx!#$%&'*+-.^_`|~9:\r\n\r\n")]
fn trailers_are_skipped(#[case] wire: &[u8], #[values(1, 2, 100)] piece_len: usize) {
    let decoded = decode(Framing::Chunked, wire, piece_len).unwrap();
    assert_eq!(decoded, (Vec::new(), Vec::new(), true));
}

#[test]
fn a_truncated_body_is_not_complete() {
    let (_, _, is_done) = decode(Framing::Chunked, b"5\r\nabc", 100).unwrap();
    assert!(!is_done);
    let mut decoder = Decoder::new(Framing::Length(5));
    decoder.decode(b"abc", &mut Vec::new()).unwrap();
    assert!(!decoder.is_complete_at_close());
    assert!(Decoder::new(Framing::UntilClose).is_complete_at_close());
}
