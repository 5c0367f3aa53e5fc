//! Decoding of bodies, in pieces of any size.

use rstest::rstest;
use skylarkdock_http1::body::{Decoder, Framing};

/// Feeds a body piece by piece and returns it with what follows it.
fn decode(framing: Framing, wire: &[u8], piece: usize) -> Option<(Vec<u8>, Vec<u8>, bool)> {
    let mut decoder = Decoder::new(framing);
    let (mut input, mut body) = (Vec::new(), Vec::new());
    for part in wire.chunks(piece) {
        input.extend_from_slice(part);
        let used = decoder.decode(&input, &mut body).ok()?;
        input.drain(..used);
    }
    Some((body, input, decoder.is_done()))
}

#[rstest]
fn chunks_are_joined(#[values(1, 2, 3, 7, 100)] piece: usize) {
    let wire = b"3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\nT: 1\r\n\r\nnext";
    let (body, rest, is_done) = decode(Framing::Chunked, wire, piece).unwrap();
    assert_eq!(body, b"abc0123456789");
    assert_eq!(rest, b"next");
    assert!(is_done);
}

#[rstest]
fn a_length_ends_the_body(#[values(1, 2, 5, 100)] piece: usize) {
    let (body, rest, is_done) = decode(Framing::Length(4), b"abcdnext", piece).unwrap();
    assert_eq!((body.as_slice(), rest.as_slice(), is_done), (&b"abcd"[..], &b"next"[..], true));
}

#[rstest]
#[case::no_size(b"\r\nabc\r\n")]
#[case::not_hex(b"xyz\r\n")]
#[case::signed(b"+3\r\nabc\r\n")]
#[case::too_long(b"fffffffffffffffff\r\n")]
#[case::data_longer_than_told(b"3\r\nabcd\r\n")]
#[case::bare_line_feed(b"3\nabc\r\n")]
fn broken_chunks_are_refused(#[case] wire: &[u8]) {
    assert_eq!(decode(Framing::Chunked, wire, 100), None);
}

#[test]
fn a_body_that_is_cut_off_is_not_complete() {
    let (_, _, is_done) = decode(Framing::Chunked, b"5\r\nabc", 100).unwrap();
    assert!(!is_done);
    let mut decoder = Decoder::new(Framing::Length(5));
    decoder.decode(b"abc", &mut Vec::new()).unwrap();
    assert!(!decoder.ends_with_connection());
    assert!(Decoder::new(Framing::UntilClose).ends_with_connection());
}
