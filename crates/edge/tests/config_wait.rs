//! Requests that arrive while a host fetches the configuration that it lacks.

#![allow(clippy::unwrap_used)]

mod support;

use async_io::Timer;
use futures_lite::future;
use skylarkdock_edge::version_notices;
use skylarkdock_edge::view::Config;
use skylarkdock_freshness::versions::{Claim, Origin};
use skylarkdock_units::times::Millis;
use std::net::UdpSocket;
use std::sync::Arc;
use std::time::Duration;
use support::Host;

const REQUEST: &str = "GET /read/x HTTP/1.1\r\nHost: h.example\r\nId: a\r\n";
/// Time within which a configuration has to be in force.
const APPLY_TIME: Millis = Millis(2_000);
/// Age of a version that the host should have had for long.
const LONG_AGO: Millis = Millis(60_000);
/// Number of versions that are tried, as the machine may be too busy for the short wait of a request.
const MAX_VERSIONS: u64 = 40;
const REFUSED: &str =
    "skylarkdock_requests_rejected_total{status=\"503\",reason=\"config_outdated\"}";

/// Tells the host that two others have had a version for long, until it refuses requests, and takes the claims as the control
/// thread does.
async fn tell(host: &Host, version: u64) {
    let claims = [2, 3].map(|origin| Claim { origin: Origin(origin), version, age: LONG_AGO });
    let bytes = version_notices::encode(&claims).unwrap();
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    while !host.status.version_claims().is_fetching() || !host.status.is_config_outdated() {
        socket.send_to(&bytes, host.reports).unwrap();
        Timer::after(Duration::from_millis(10)).await;
    }
    assert!(!host.status.version_claims().take().is_empty());
    assert!(host.status.version_claims().is_fetching());
    host.status.version_claims().on_fetch_end();
    assert!(!host.status.version_claims().is_fetching());
}

fn config(version: u64) -> Arc<Config> {
    support::config(version, &[("/read/", &[("orders", 1)])])
}

/// Guards against refusals of the requests that wait at a host which has been suspended and gets its configuration at once.
#[test]
fn a_request_waits_for_a_configuration_that_is_being_fetched() {
    support::with_host(APPLY_TIME, |host| async move {
        host.apply(support::state(&config(1), &[])).await;
        support::prove_config(&host.status, 1);
        let handled = "skylarkdock_config_waits_total{outcome=\"handled\"}";
        for version in 2..MAX_VERSIONS {
            tell(&host, version).await;
            host.status.version_claims().on_fetch();
            let request = host.answer(REQUEST);
            let fetch = host.apply(support::state(&config(version), &[]));
            future::zip(request, fetch).await;
            assert!(!host.status.version_claims().is_fetching());
            if host.has_metric_with(handled) {
                return;
            }
        }
        panic!("each request was refused");
    });
}

/// Guards against refusals that come late although nothing is awaited.
#[test]
fn a_request_is_refused_once_the_fetch_has_failed() {
    support::with_host(APPLY_TIME, |host| async move {
        host.apply(support::state(&config(1), &[])).await;
        support::prove_config(&host.status, 1);
        tell(&host, 2).await;
        // No fetch is under way.
        assert_eq!(host.answer(REQUEST).await.status, 503);
        assert!(!host.has_metric_with("skylarkdock_config_waits_total"));
        host.status.version_claims().on_fetch();
        let failure = async {
            future::yield_now().await;
            host.status.version_claims().on_fetch_end();
        };
        let (answer, ()) = future::zip(host.answer(REQUEST), failure).await;
        assert_eq!(answer.status, 503);
        assert!(host.has_metric_with(REFUSED));
        // One that has no time left does not wait.
        host.status.version_claims().on_fetch();
        for deadline in ["300", "300.5", "-1"] {
            let urgent = format!("{REQUEST}Deadline: {deadline}\r\n");
            assert_eq!(host.answer(&urgent).await.status, 503);
        }
        assert!(host.has_metric("skylarkdock_config_waits_total{outcome=\"refused\"} 1"));
    });
}
