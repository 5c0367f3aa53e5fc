//! Targets of requests in absolute form.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_http1::head::RequestHead;

fn head(text: &str) -> RequestHead {
    RequestHead::parse(format!("{text}\r\n\r\n").as_bytes()).unwrap().unwrap().0
}

#[rstest]
#[case("GET /a?b HTTP/1.1\r\nHost: h", "/a?b", Some("h"))]
#[case("GET http://t/a?b HTTP/1.1\r\nHost: h", "/a?b", Some("t"))]
#[case("GET hTTps://t:8/%61 HTTP/1.1\r\nHost: h", "/%61", Some("t:8"))]
#[case("GET http://t HTTP/1.1\r\nHost: h", "/", Some("t"))]
#[case("GET http://t?b HTTP/1.1\r\nHost: h", "/?b", Some("t"))]
#[case("OPTIONS http://t HTTP/1.1\r\nHost: h", "*", Some("t"))]
#[case("OPTIONS http://t?b HTTP/1.1\r\nHost: h", "/?b", Some("t"))]
#[case("OPTIONS * HTTP/1.1\r\nHost: h", "*", Some("h"))]
#[case("GET http://t/a HTTP/1.0", "/a", Some("t"))]
#[case("GET http://t/a HTTP/1.1", "/a", None)]
#[case("GET http://t/a HTTP/1.1\r\nHost: h\r\nHost: h", "/a", None)]
#[case("GET /a HTTP/1.1\r\nHost: h\r\nhost: h", "/a", None)]
#[case("GET /a HTTP/1.1\r\nHost:", "/a", Some(""))]
#[case("GET http:///a HTTP/1.1\r\nHost: h", "http:///a", Some("h"))]
#[case("GET http://u@t/a HTTP/1.1\r\nHost: h", "http://u@t/a", Some("h"))]
#[case("GET ftp://t/a HTTP/1.1\r\nHost: h", "ftp://t/a", Some("h"))]
#[case("GET /a?b=http://c HTTP/1.1\r\nHost: h", "/a?b=http://c", Some("h"))]
fn the_authority_of_a_target_goes_before_the_host_field(
    #[case] text: &str,
    #[case] target: &str,
    #[case] host: Option<&str>,
) {
    let head = head(text).into_origin_form();
    assert_eq!((head.target.as_str(), head.host()), (target, host));
}
