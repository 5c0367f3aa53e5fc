//! Refusals of a host that knows of a newer configuration than it has.

#![allow(clippy::unwrap_used)]

mod support;

use async_io::Timer;
use skylarkdock_edge::version_notices;
use skylarkdock_freshness::versions::{Claim, Origin};
use skylarkdock_units::times::Millis;
use std::net::UdpSocket;
use std::time::Duration;
use support::Host;

const REQUEST: &str = "GET /read/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n";
/// Time within which a configuration has to be in force.
const APPLY_TIME: Millis = Millis(2_000);
/// Age of a version that the host should have had for long.
const LONG_AGO: Millis = Millis(60_000);
/// Number of requests that are sent at most until something is seen.
const MAX_REQUESTS: u32 = 6_000;

/// Sends claims of two hosts that they have a version.
fn send_notice(host: &Host, version: u64) {
    let claims = [2, 3].map(|origin| Claim { origin: Origin(origin), version, age: LONG_AGO });
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.send_to(&version_notices::encode(&claims).unwrap(), host.reports).unwrap();
}

/// Sends requests until the metrics contain a line that has the given text.
async fn wait_for(host: &Host, text: &str, name: &str) {
    for _ in 0..MAX_REQUESTS {
        if host.has_metric(&format!("{name} {text}")) {
            return;
        }
        host.answer(REQUEST).await;
        Timer::after(Duration::from_millis(10)).await;
    }
    panic!("{name} is never {text}");
}

/// Guards against refusals whose cause can't be told from the metrics, and against a host that goes on to refuse requests
/// with the newer configuration, or serves by the former one as its proof is young.
#[test]
fn a_host_refuses_requests_from_the_notice_of_a_newer_version_until_it_has_it() {
    support::with_host(APPLY_TIME, |host| async move {
        let config = |version| support::config(version, &[("/read/", &[("orders", 1)])]);
        host.apply(support::state(&config(1), &[])).await;
        support::prove_config(&host.status, 1);
        send_notice(&host, 2);
        wait_for(&host, "1", "skylarkdock_config_outdated").await;
        let answer = host.answer(REQUEST).await;
        assert_eq!((answer.status, answer.headers.get("Retry-After").is_some()), (503, true));
        assert!(host.status.is_config_outdated());
        let labels = "status=\"503\",reason=\"config_outdated\"";
        assert!(host.has_metric_with(&format!("skylarkdock_requests_rejected_total{{{labels}}}")));
        host.apply(support::state(&config(2), &[])).await;
        wait_for(&host, "0", "skylarkdock_config_outdated").await;
        assert!(!host.status.is_config_outdated());
        // No upstream is registered, so the request is refused once it is routed.
        let labels = "kind=\"once\",outcome=\"refused\",reason=\"no_upstream\"";
        host.answer(REQUEST).await;
        assert!(host.has_metric_with(&format!("skylarkdock_requests_total{{{labels}}}")));
    });
}

/// Guards against refusals that last until a version arrives that does not exist: the store had none after the host had
/// heard of it.
#[test]
fn a_host_serves_again_once_a_read_of_the_store_shows_no_newer_version() {
    support::with_host(APPLY_TIME, |host| async move {
        let config = support::config(1, &[("/read/", &[("orders", 1)])]);
        host.apply(support::state(&config, &[])).await;
        support::prove_config(&host.status, 1);
        send_notice(&host, u64::MAX);
        wait_for(&host, "1", "skylarkdock_config_outdated").await;
        support::prove_config(&host.status, 1);
        wait_for(&host, "0", "skylarkdock_config_outdated").await;
        send_notice(&host, u64::MAX);
        Timer::after(Duration::from_millis(300)).await;
        assert!(!host.status.is_config_outdated());
    });
}
