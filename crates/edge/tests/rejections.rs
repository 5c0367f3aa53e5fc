//! Requests that a host rejects before it routes them.

#![allow(clippy::unwrap_used)]

mod support;

use async_io::Timer;
use rstest::rstest;
use skylarkdock_edge::version_notices;
use skylarkdock_freshness::versions::{Claim, Origin};
use skylarkdock_units::times::{HostTime, Millis};
use std::net::UdpSocket;
use std::time::Duration;
use support::LONG;

/// Number of requests that are sent at most until a notice has arrived.
const MAX_REQUESTS: u32 = 300;

const HEAD: &str = "GET /read/x HTTP/1.1\r\nHost: h.example\r\n";

/// Guards against rejections whose cause can't be told from the metrics.
#[rstest]
#[case::for_an_upstream(&format!("{HEAD}Id: a\r\nKey: 1\r\nExpected: i-1\r\n"), 421, "for_upstream")]
#[case::no_host("GET /read/x HTTP/1.1\r\nId: a\r\n", 400, "no_host")]
#[case::no_route("GET /none/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n", 404, "no_route")]
#[case::no_request_id(HEAD, 400, "no_request_id")]
#[case::deadline(&format!("{HEAD}Id: a\r\nKey: 1\r\nDeadline: soon\r\n"), 400, "invalid_deadline")]
#[case::no_key(&format!("{HEAD}Id: a\r\n"), 400, "no_key")]
#[case::invalid_key(&format!("{HEAD}Id: a\r\nKey: 65536\r\n"), 400, "invalid_key")]
fn a_rejection_is_counted_with_its_reason(
    #[case] text: &str,
    #[case] status: u16,
    #[case] reason: &str,
) {
    support::with_host(Millis(0), |host| async move {
        let config = support::config(1, &[("/read/", &[("films", 1)])]);
        host.apply(support::state(&config, &[])).await;
        // Valid at any time, even without an apply time.
        host.status.set_config_proof(HostTime(u64::MAX), 1);
        assert_eq!(host.answer(text).await.status, status);
        let labels = format!("status=\"{status}\",reason=\"{reason}\"");
        let metric = format!("skylarkdock_requests_rejected_total{{{labels}}} 1");
        assert!(host.has_metric(&metric), "{metric}");
    });
}

#[test]
fn a_host_without_a_configuration_refuses_requests_and_counts_them_with_the_reason() {
    support::with_host(LONG, |host| async move {
        let answer = host.answer(&format!("{HEAD}Id: a\r\n")).await;
        assert_eq!((answer.status, answer.headers.get("Retry-After").is_some()), (503, true));
        let metric = "skylarkdock_requests_rejected_total{status=\"503\",reason=\"no_config\"} 1";
        assert!(host.has_metric(metric));
    });
}

/// Guards against a 404 for a route that a newer configuration has, while the traffic thread has not applied it yet. The
/// control thread already has the proof that there is no configuration newer than that one.
#[test]
fn an_added_route_is_not_missing_while_its_configuration_is_not_applied_yet() {
    support::with_host(LONG, |host| async move {
        let first = support::config(1, &[("/read/", &[("orders", 1)])]);
        let second =
            support::config(2, &[("/read/", &[("orders", 1)]), ("/new/", &[("orders", 1)])]);
        host.apply(support::state(&first, &[])).await;
        support::prove_config(&host.status, 1);
        let request = "GET /new/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n";
        assert_eq!(host.answer(request).await.status, 404);
        host.publish(support::state(&second, &[]));
        let answer = host.answer(request).await;
        assert_eq!((answer.status, answer.headers.get("Retry-After").is_some()), (503, true));
        let metric =
            "skylarkdock_requests_rejected_total{status=\"503\",reason=\"stale_config\"} 1";
        assert!(host.has_metric(metric));
    });
}

/// Guards against a 404 or 400 by a configuration that other hosts have replaced: they told this one so, which has not got
/// the newer one yet.
#[rstest]
#[case::no_route("GET /new/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n")]
#[case::no_key(KEYLESS)]
fn a_request_is_not_wrong_by_a_configuration_that_other_hosts_have_replaced(#[case] text: &str) {
    support::with_host(LONG, |host| async move {
        let config = support::config(1, &[("/read/", &[("films", 1)])]);
        host.apply(support::state(&config, &[])).await;
        support::prove_config(&host.status, 1);
        let claim = Claim { origin: Origin(2), version: 2, age: Millis(0) };
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.send_to(&version_notices::encode(&[claim]).unwrap(), host.reports).unwrap();
        let labels = "status=\"503\",reason=\"newer_config_known\"";
        let metric = format!("skylarkdock_requests_rejected_total{{{labels}}} 1");
        let mut status = 0;
        for _ in 0..MAX_REQUESTS {
            status = host.answer(text).await.status;
            if host.has_metric(&metric) {
                break;
            }
            Timer::after(Duration::from_millis(10)).await;
        }
        assert!(host.has_metric(&metric) && status == 503, "{status}");
    });
}

/// Guards against a wrong 404 that can't be told from a request for a route that never existed.
#[test]
fn a_request_for_a_route_that_is_added_or_was_removed_is_counted() {
    support::with_host(LONG, |host| async move {
        let read: (&str, &[(&str, u32)]) = ("/read/", &[("orders", 1)]);
        let first = support::config(1, &[read]);
        let second = support::config(2, &[read, ("/new/", &[("orders", 1)])]);
        let third = support::config(3, &[read]);
        let metric = "skylarkdock_missing_routes_total";
        host.apply(support::state(&first, &[])).await;
        support::prove_config(&host.status, 1);
        for path in ["/new/x", "/none/x"] {
            let request = format!("GET {path} HTTP/1.1\r\nHost: h.example\r\nId: a\r\n");
            assert_eq!(host.answer(&request).await.status, 404);
        }
        assert!(!host.has_metric_with(metric));
        host.apply(support::state(&second, &[])).await;
        host.apply(support::state(&second, &[])).await;
        assert!(host.has_metric(&format!("{metric}{{change=\"added\"}} 1")));
        host.apply(support::state(&third, &[])).await;
        support::prove_config(&host.status, 3);
        let request = "GET /new/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n";
        assert_eq!(host.answer(request).await.status, 404);
        assert!(host.has_metric(&format!("{metric}{{change=\"removed\"}} 1")));
    });
}

const KEYLESS: &str = "GET /read/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n";

/// Guards against a 400 for a request without a key that a part of its route's split can take.
#[test]
fn a_request_without_a_key_goes_to_an_unsharded_part_of_a_split() {
    support::with_host(LONG, |host| async move {
        let split = [("films", 3), ("orders", 1), ("songs", 1), ("files", 1)];
        let config = support::config(1, &[("/read/", &split)]);
        host.apply(support::state(&config, &[])).await;
        for _ in 0..12 {
            // No upstream is registered, so the request is refused once it is routed.
            assert_eq!(host.answer(KEYLESS).await.status, 503);
        }
        let labels = "kind=\"once\",outcome=\"refused\",reason=\"no_upstream\"";
        let metric = format!("skylarkdock_requests_total{{{labels}}} 12");
        assert!(host.has_metric(&metric), "{metric}");
    });
}

/// Guards against a 400 for a request that came without a key because its caller doesn't know yet that its route needs
/// one. The newest configuration is preceded by one more, which changes another route.
#[rstest]
#[case::unsharded_before(LONG, &[("orders", 1)], 503, "key_newly_needed")]
#[case::partly_unsharded_before(LONG, &[("films", 1), ("orders", 1)], 503, "key_newly_needed")]
#[case::only_sharded_with_a_weight_before(LONG, &[("songs", 1), ("orders", 0)], 503, "earlier_config_unknown")]
#[case::sharded_before(LONG, &[("songs", 1)], 503, "earlier_config_unknown")]
#[case::too_long_ago(Millis(0), &[("orders", 1)], 400, "no_key")]
#[case::sharded_too_long_ago(Millis(0), &[("songs", 1)], 400, "no_key")]
fn a_request_without_a_key_is_refused_while_an_earlier_configuration_may_apply(
    #[case] apply_time: Millis,
    #[case] before: &[(&str, u32)],
    #[case] status: u16,
    #[case] reason: &str,
) {
    support::with_host(apply_time, |host| async move {
        let films: &[(&str, u32)] = &[("films", 1)];
        for (version, routes) in [
            (1, vec![("/read/", before)]),
            (2, vec![("/read/", films)]),
            (3, vec![("/read/", films), ("/new/", before)]),
        ] {
            host.apply(support::state(&support::config(version, &routes), &[])).await;
            // Views are published for other reasons, too.
            host.apply(support::state(&support::config(version, &routes), &[])).await;
        }
        // Valid at any time, even without an apply time.
        host.status.set_config_proof(HostTime(u64::MAX), 3);
        let answer = host.answer(KEYLESS).await;
        assert_eq!(answer.status, status);
        assert_eq!(answer.headers.get("Retry-After").is_some(), status == 503);
        let labels = format!("status=\"{status}\",reason=\"{reason}\"");
        let metric = format!("skylarkdock_requests_rejected_total{{{labels}}} 1");
        assert!(host.has_metric(&metric), "{metric}");
    });
}

/// Guards against a 400 for a request that an earlier configuration takes in a part of its split.
#[rstest]
#[case::unsharded(&[("orders", 1)], "/read/x", true)]
#[case::partly_unsharded(&[("films", 1), ("orders", 1)], "/read/x", true)]
#[case::only_sharded_with_a_weight(&[("songs", 1), ("orders", 0)], "/read/x", false)]
#[case::sharded(&[("songs", 1)], "/read/x", false)]
#[case::no_route(&[("orders", 1)], "/none/x", false)]
fn a_configuration_takes_requests_without_a_key_for_unsharded_services(
    #[case] services: &[(&str, u32)],
    #[case] path: &str,
    #[case] expected: bool,
) {
    let config = support::config(1, &[("/read/", services)]);
    assert_eq!(config.takes_without_key("h.example", path), expected);
}

/// Guards against a 400 for a request that needs no key by a newer configuration that the host doesn't apply yet.
#[test]
fn a_request_without_a_key_is_refused_while_a_newer_configuration_may_take_it() {
    support::with_host(Millis(0), |host| async move {
        let config = |version, services| support::config(version, &[("/read/", services)]);
        host.apply(support::state(&config(1, &[("films", 1)]), &[])).await;
        // Valid at any time, even without an apply time.
        host.status.set_config_proof(HostTime(u64::MAX), 1);
        assert_eq!(host.answer(KEYLESS).await.status, 400);
        host.publish(support::state(&config(2, &[("orders", 1)]), &[]));
        assert_eq!(host.answer(KEYLESS).await.status, 503);
        let metric =
            "skylarkdock_requests_rejected_total{status=\"503\",reason=\"stale_config\"} 1";
        assert!(host.has_metric(metric));
    });
}

/// Guards against a 400 for a deadline that a caller computed from its remaining time, or spelled in an unusual way.
#[rstest]
#[case::whole("1500", 503)]
#[case::zero("0", 503)]
#[case::fraction("1499.75", 503)]
#[case::below_one("0.5", 503)]
#[case::negative("-1", 503)]
#[case::without_a_whole_part(".5", 503)]
#[case::without_a_fraction("5.", 503)]
#[case::exponent("1e3", 503)]
#[case::plus_sign("+1500", 503)]
#[case::leading_zeros("0001500", 503)]
#[case::above_64_bits("18446744073709551616", 503)]
#[case::empty("", 503)]
#[case::two("1500\r\nDeadline: 1499", 503)]
#[case::signed_fraction("5.-5", 400)]
#[case::unit("1500ms", 400)]
#[case::infinite("inf", 400)]
#[case::word("soon", 400)]
fn a_deadline_with_a_plain_meaning_is_not_rejected(#[case] deadline: &str, #[case] status: u16) {
    support::with_host(LONG, |host| async move {
        let config = support::config(1, &[("/read/", &[("orders", 1)])]);
        host.apply(support::state(&config, &[])).await;
        // No upstream is registered, so the request is refused once it is routed.
        let answer = host.answer(&format!("{HEAD}Id: a\r\nDeadline: {deadline}\r\n")).await;
        assert_eq!(answer.status, status);
    });
}

/// Guards against a 400 for a key that is spelled in an unusual way, and against a request for a key that it did not name.
#[rstest]
#[case::whole("Key: 7\r\n", 503)]
#[case::leading_zeros("Key: 0000007\r\n", 503)]
#[case::plus_sign("Key: +7\r\n", 503)]
#[case::whole_fraction("Key: 7.0\r\n", 503)]
#[case::the_same_twice("Key: 7\r\nKey: 7\r\n", 503)]
#[case::empty("Key:\r\n", 400)]
#[case::negative("Key: -1\r\n", 400)]
#[case::too_large("Key: 65536\r\n", 400)]
#[case::fraction("Key: 7.5\r\n", 400)]
#[case::two("Key: 7\r\nKey: 8\r\n", 400)]
fn a_key_with_a_plain_meaning_is_not_rejected(#[case] fields: &str, #[case] status: u16) {
    support::with_host(Millis(0), |host| async move {
        let config = support::config(1, &[("/read/", &[("films", 1)])]);
        host.apply(support::state(&config, &[])).await;
        // Valid at any time, even without an apply time.
        host.status.set_config_proof(HostTime(u64::MAX), 1);
        let answer = host.answer(&format!("{HEAD}Id: a\r\nDeadline: 20\r\n{fields}")).await;
        assert_eq!(answer.status, status);
    });
}

/// Guards against a 400 for a request without a plain key that a part of its route's split can take.
#[test]
fn an_empty_key_counts_as_none() {
    support::with_host(LONG, |host| async move {
        let config = support::config(1, &[("/read/", &[("films", 9), ("orders", 1)])]);
        host.apply(support::state(&config, &[])).await;
        support::prove_config(&host.status, 1);
        for _ in 0..10 {
            assert_eq!(host.answer(&format!("{HEAD}Id: a\r\nKey: \r\n")).await.status, 503);
        }
    });
}

/// Guards against answers that can't be told apart: an upstream repeats the id of the request.
#[rstest]
#[case::empty("Id:\r\n", 400)]
#[case::two("Id: a\r\nId: b\r\n", 400)]
#[case::the_same_twice("Id: a\r\nId: a\r\n", 503)]
#[case::white_space("Id: \ta \r\n", 503)]
fn a_request_has_one_id(#[case] fields: &str, #[case] status: u16) {
    support::with_host(LONG, |host| async move {
        let config = support::config(1, &[("/read/", &[("orders", 1)])]);
        host.apply(support::state(&config, &[])).await;
        assert_eq!(host.answer(&format!("{HEAD}{fields}")).await.status, status);
    });
}
