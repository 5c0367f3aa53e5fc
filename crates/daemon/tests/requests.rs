//! Tests of request targets, of header removal and of the signature of forwarded requests.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use http::header::{HeaderMap, HeaderName, HeaderValue};
use http::{Method, Response, Uri};
use rstest::rstest;
use skylarkdock_daemon::proxy::refusal::{Reason, Refusal};
use skylarkdock_daemon::proxy::request::{Target, refuse_before_read};
use skylarkdock_daemon::proxy::{forward_headers, headers};
use skylarkdock_httppath::body::Body;
use skylarkdock_peer::secret::Secret;

const ROUTER_HEADERS: [&str; 15] = [
    headers::TO,
    headers::DIGEST,
    headers::REQUEST_ID,
    headers::OUTCOME,
    headers::DEADLINE,
    headers::HOP,
    headers::SIGNATURE,
    headers::MINTED,
    headers::CALLER,
    headers::HOLDER,
    headers::SERVICE,
    headers::RANGE,
    headers::KEY,
    headers::TOKEN,
    headers::REFUSED,
];

fn header_map(given: &[(&str, &str)]) -> HeaderMap {
    let mut map = HeaderMap::new();
    for (name, value) in given {
        map.append(name.parse::<HeaderName>().unwrap(), HeaderValue::from_str(value).unwrap());
    }
    map
}

fn names(map: &HeaderMap) -> Vec<&str> {
    let mut names: Vec<_> = map.keys().map(HeaderName::as_str).collect();
    names.sort_unstable();
    names
}

#[rstest]
#[case("/orders/k1", Some(("orders", "k1", "/")))]
#[case("/orders/k1/", Some(("orders", "k1", "/")))]
#[case("/orders/k1/a/b?x=/y?z", Some(("orders", "k1", "/a/b?x=/y?z")))]
#[case("/orders/k1?x=1", Some(("orders", "k1", "/?x=1")))]
#[case("/orders/k1//a", Some(("orders", "k1", "//a")))]
#[case("/orders/K%201/a", Some(("orders", "K%201", "/a")))]
#[case("/orders", None)]
#[case("/orders/", None)]
#[case("/orders//a", None)]
#[case("/Orders/k1", None)]
#[case("//k1", None)]
#[case("/orders?/k1", None)]
#[case("orders/k1", None)]
#[case("*", None)]
#[case("", None)]
fn a_target_consists_of_service_key_and_rest(
    #[case] path: &str,
    #[case] expected: Option<(&str, &str, &str)>,
) {
    let target = Target::parse(path);
    let found = target.as_ref().map(|t| (t.service.as_str(), t.key.as_str(), t.rest.as_str()));
    assert_eq!(found, expected);
}

#[test]
fn hop_by_hop_headers_are_removed() {
    let mut map = header_map(&[
        ("connection", "close, X-One"),
        ("connection", " x-two ,,\u{e9}"),
        ("x-one", "1"),
        ("x-two", "2"),
        ("keep-alive", "timeout=5"),
        ("proxy-connection", "keep-alive"),
        ("te", "trailers"),
        ("trailer", "x"),
        ("transfer-encoding", "chunked"),
        ("upgrade", "h2c"),
        ("expect", "100-continue"),
        ("proxy-authorization", "x"),
        ("proxy-authenticate", "x"),
        ("accept", "*/*"),
        ("x-three", "3"),
        ("x-three", "4"),
    ]);
    headers::strip_hop_by_hop(&mut map);
    assert_eq!(names(&map), ["accept", "x-three"]);
    assert_eq!(map.get_all("x-three").iter().count(), 2);
}

#[test]
fn router_headers_of_a_caller_are_removed() {
    let mut given: Vec<_> = ROUTER_HEADERS.iter().map(|name| (*name, "forged")).collect();
    given.extend(ROUTER_HEADERS.iter().map(|name| (*name, "again")));
    given.extend([("skylarkdock-later", "x"), ("idempotency-key", "x"), ("host", "h")]);
    let mut map = header_map(&given);
    headers::strip_router_headers(&mut map);
    assert_eq!(names(&map), ["host", "idempotency-key"]);
    headers::strip_host(&mut map);
    assert_eq!(names(&map), ["idempotency-key"]);
}

#[test]
fn forwarding_headers_are_removed_from_other_requests() {
    let given: Vec<_> = ROUTER_HEADERS.iter().map(|name| (*name, "forged")).collect();
    let mut map = header_map(&given);
    forward_headers::strip(&mut map);
    for name in
        [headers::HOP, headers::SIGNATURE, headers::REQUEST_ID, headers::MINTED, headers::CALLER]
    {
        assert!(!map.contains_key(name), "{name}");
    }
}

/// Returns the headers and the path of a forwarded request, and the secret that signed it.
fn forwarded() -> (HeaderMap, Uri, Secret) {
    let secret: Secret = "a secret of all hosts".parse().unwrap();
    let uri: Uri = "/orders/k1/a?x=1".parse().unwrap();
    let mut headers = header_map(&[
        (headers::HOP, "host-1"),
        (headers::REQUEST_ID, "019ae7a4-5c00-7000-8000-000000000000"),
        (headers::CALLER, "00000000deadbeef"),
        (headers::TO, "host-2"),
        (headers::DIGEST, &forward_headers::digest(&Method::POST, b"body")),
    ]);
    forward_headers::sign(&mut headers, &uri, &secret);
    (headers, uri, secret)
}

#[test]
fn a_forwarded_request_is_verified_by_its_signature() {
    let (headers, uri, secret) = forwarded();
    assert!(forward_headers::has_valid_signature(&headers, &uri, &secret));
    assert!(!forward_headers::has_valid_signature(
        &headers,
        &"/orders/k2/a?x=1".parse().unwrap(),
        &secret
    ));
    assert!(!forward_headers::has_valid_signature(
        &headers,
        &"/orders/k1/a?x=2".parse().unwrap(),
        &secret
    ));
    let other: Secret = "a secret of the others".parse().unwrap();
    assert!(!forward_headers::has_valid_signature(&headers, &uri, &other));
}

#[rstest]
#[case(headers::HOP, Some("host-2"))]
#[case(headers::HOP, None)]
#[case(headers::REQUEST_ID, Some("019ae7a4-5c00-7000-8000-000000000001"))]
#[case(headers::REQUEST_ID, None)]
#[case(headers::MINTED, Some("1"))]
#[case(headers::TO, Some("host-3"))]
#[case(headers::TO, None)]
#[case(headers::DIGEST, Some("0"))]
#[case(headers::DIGEST, None)]
#[case(headers::CALLER, Some("00000000deadbeee"))]
#[case(headers::CALLER, None)]
#[case(headers::SIGNATURE, Some(""))]
#[case(headers::SIGNATURE, Some("00000000000000000000000000000000"))]
#[case(headers::SIGNATURE, None)]
fn a_changed_header_invalidates_the_signature(
    #[case] name: &'static str,
    #[case] value: Option<&str>,
) {
    let (mut headers, uri, secret) = forwarded();
    match value {
        Some(value) => drop(headers.insert(name, HeaderValue::from_str(value).unwrap())),
        None => drop(headers.remove(name)),
    }
    assert!(!forward_headers::has_valid_signature(&headers, &uri, &secret));
}

#[test]
fn a_forwarded_request_is_bound_to_its_host_method_and_body() {
    let (headers, ..) = forwarded();
    assert!(forward_headers::is_addressed_to(&headers, &"host-2".parse().unwrap()));
    assert!(!forward_headers::is_addressed_to(&headers, &"host-1".parse().unwrap()));
    assert!(forward_headers::matches_digest(&headers, &Method::POST, b"body"));
    assert!(!forward_headers::matches_digest(&headers, &Method::PUT, b"body"));
    assert!(!forward_headers::matches_digest(&headers, &Method::POST, b"bodies"));
    let none = HeaderMap::new();
    assert!(!forward_headers::is_addressed_to(&none, &"host-2".parse().unwrap()));
    assert!(!forward_headers::matches_digest(&none, &Method::POST, b""));
}

#[rstest]
#[case(&[], "not-run")]
#[case(&[("idempotency-key", "x")], "unknown")]
#[case(&[(headers::REQUEST_ID, "x")], "unknown")]
fn a_request_refused_before_read_is_not_run_only_if_it_has_no_id(
    #[case] given: &[(&str, &str)],
    #[case] expected: &str,
) {
    let res: Response<Body> =
        refuse_before_read(&header_map(given), Refusal::not_run(Reason::NoService));
    assert_eq!(res.headers()[headers::OUTCOME], expected);
}
