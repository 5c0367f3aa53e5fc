//! Parsing of request and response heads, and rejection of ambiguous ones.

use rstest::rstest;
use skylarkdock_http1::body::Framing;
use skylarkdock_http1::head::{HeadError, RequestHead, ResponseHead};

fn request(text: &str) -> Result<Option<(RequestHead, usize)>, HeadError> {
    RequestHead::parse(text.as_bytes())
}

#[test]
fn a_request_head_is_parsed_up_to_the_body() {
    let text = "POST /a/b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    let (head, len) = request(text).unwrap().unwrap();
    assert_eq!(head.method, "POST");
    assert_eq!(head.target, "/a/b?c");
    assert_eq!(head.path(), "/a/b");
    assert_eq!(head.framing, Framing::Length(3));
    assert_eq!(&text[len..], "abc");
    assert!(head.keeps_alive());
}

#[test]
fn an_incomplete_request_head_is_no_error() {
    assert_eq!(request("GET / HTTP/1.1\r\nHost: h\r\n").unwrap(), None);
}

#[rstest]
#[case::two_lengths("Content-Length: 3\r\nContent-Length: 4\r\n", HeadError::AmbiguousLength)]
#[case::length_and_chunks(
    "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
    HeadError::AmbiguousLength
)]
#[case::signed_length("Content-Length: +3\r\n", HeadError::AmbiguousLength)]
#[case::empty_length("Content-Length: \r\n", HeadError::AmbiguousLength)]
#[case::huge_length("Content-Length: 99999999999999999999\r\n", HeadError::AmbiguousLength)]
#[case::other_coding("Transfer-Encoding: gzip, chunked\r\n", HeadError::UnsupportedCoding)]
#[case::two_codings(
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    HeadError::UnsupportedCoding
)]
#[case::space_before_colon("Content-Length : 3\r\n", HeadError::Malformed)]
#[case::folded_line("X-A: 1\r\n 2\r\n", HeadError::Malformed)]
fn a_request_that_allows_smuggling_is_rejected(#[case] fields: &str, #[case] error: HeadError) {
    let text = format!("POST / HTTP/1.1\r\nHost: h\r\n{fields}\r\n");
    assert_eq!(request(&text), Err(error));
}

#[test]
fn repeated_equal_content_lengths_are_accepted() {
    let text = "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\n";
    assert_eq!(request(text).unwrap().unwrap().0.framing, Framing::Length(3));
}

#[test]
fn hop_by_hop_fields_are_removed() {
    let text = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Own\r\nX-Own: 1\r\nKeep-Alive: timeout=3\r\nX-Other: 2\r\n\r\n";
    let mut headers = request(text).unwrap().unwrap().0.headers;
    headers.remove_hop_by_hop();
    let names: Vec<&str> = headers.0.iter().map(|header| header.name.as_str()).collect();
    assert_eq!(names, ["Host", "X-Other"]);
}

#[rstest]
#[case::length("Content-Length: 5\r\n", false, Framing::Length(5), true)]
#[case::chunks("Transfer-Encoding: chunked\r\n", false, Framing::Chunked, true)]
#[case::until_close("", false, Framing::UntilClose, false)]
#[case::connection_close(
    "Content-Length: 5\r\nConnection: close\r\n",
    false,
    Framing::Length(5),
    false
)]
#[case::is_head_request("Content-Length: 5\r\n", true, Framing::Length(0), true)]
fn response_framing_follows_from_its_header_fields(
    #[case] fields: &str,
    #[case] is_head_request: bool,
    #[case] framing: Framing,
    #[case] keeps_alive: bool,
) {
    let text = format!("HTTP/1.1 200 OK\r\n{fields}\r\n");
    let (head, _) = ResponseHead::parse(text.as_bytes(), is_head_request).unwrap().unwrap();
    assert_eq!((head.framing, head.keeps_alive), (framing, keeps_alive));
}

#[rstest]
#[case(204)]
#[case(304)]
fn a_status_without_a_body_ignores_content_length(#[case] status: u16) {
    let text = format!("HTTP/1.1 {status} X\r\nContent-Length: 5\r\n\r\n");
    let (head, _) = ResponseHead::parse(text.as_bytes(), false).unwrap().unwrap();
    assert_eq!(head.framing, Framing::Length(0));
}

/// Guards against rejecting a head whose size is allowed for the number of its fields.
#[rstest]
#[case::as_many_as_fit_the_first_table(96)]
#[case::one_more(97)]
#[case::more_than_the_next_table(769)]
#[case::many(20_000)]
fn the_number_of_header_fields_of_a_request_is_not_limited(#[case] count: usize) {
    let text = format!("GET / HTTP/1.1\r\n{}\r\n", "n:\n".repeat(count));
    let (head, len) = request(&text).unwrap().unwrap();
    assert_eq!((head.headers.0.len(), len), (count, text.len()));
    let unended = text.strip_suffix("\r\n").unwrap();
    assert_eq!(request(unended).unwrap(), None);
}

/// The sender of an earlier version knows no chunks, so its body would end where it does not (RFC 9112, 6.1).
#[rstest]
#[case::chunked("Transfer-Encoding: chunked")]
#[case::chunked_and_a_length("Transfer-Encoding: chunked\r\nContent-Length: 2")]
fn a_response_of_an_earlier_version_is_not_chunked(#[case] fields: &str) {
    let text = format!("HTTP/1.0 200 OK\r\n{fields}\r\n\r\n");
    assert_eq!(ResponseHead::parse(text.as_bytes(), false), Err(HeadError::AmbiguousLength));
}
