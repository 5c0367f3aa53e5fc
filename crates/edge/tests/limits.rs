//! Requests that are larger than a host's limits.

#![allow(clippy::unwrap_used)]

mod support;

use async_io::Async;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use rstest::rstest;
use skylarkdock_edge::serve::Limits;
use skylarkdock_edge::view::Config;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::{HostTime, Millis};
use std::net::TcpStream;
use std::sync::Arc;
use support::{Host, LONG};

const LONG_BODY: &str = "POST /read/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 900\r\n\r\n";
const LONG_CHUNK: &str = "POST /read/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\n\
    6e\r\n0123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789\
    0123456789\r\n";
const LONG_HEAD: &str = "GET /read/x HTTP/1.1\r\nHost: h.example\r\nName: \
    0123456789012345678901234567890123456789012345678901234567890123456789\r\n\r\n";
const UNENDED_HEAD: &str = "GET /read/x HTTP/1.1\r\nHost: h.example\r\nName: \
    0123456789012345678901234567890123456789012345678901234567890123456789";

/// Returns a configuration whose heads and bodies may have `bytes` each.
fn config(version: u64, bytes: u64) -> Arc<Config> {
    let limits = Limits { head: ByteSize(bytes), body: ByteSize(bytes), ..Limits::default() };
    let config = support::config(version, &[("/read/", &[("orders", 1)])]);
    Arc::new(Config { limits, ..Config::clone(&config) })
}

/// Sends a request on a connection of its own, and returns all that is answered until the host closes it.
async fn answer(host: &Host, text: &str) -> String {
    let mut stream = Async::<TcpStream>::connect(host.callers).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    answer
}

/// Returns whether an answer refuses the request, so that its caller may send it again, and closes the connection.
fn is_refusal(answer: &str) -> bool {
    let parts = ["HTTP/1.1 503 ", "\r\nRetry-After: ", "\r\nConnection: close\r\n"];
    parts.iter().all(|part| answer.contains(part))
}

/// Guards against a 413 or 431 by limits that no configuration has.
#[rstest]
#[case::body("POST /read/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 99999999999\r\n\r\n")]
#[case::head(&format!("GET /read/x HTTP/1.1\r\nHost: h.example\r\nName: {}\r\n\r\n", "x".repeat(70_000)))]
fn a_host_without_a_configuration_refuses_what_its_own_limits_do_not_allow(#[case] text: &str) {
    support::with_host(LONG, |host| async move {
        let answer = answer(&host, text).await;
        assert!(is_refusal(&answer), "{answer}");
    });
}

/// Guards against a 413 or 431 by limits that a newer configuration may have raised.
#[rstest]
#[case::body(LONG_BODY)]
#[case::chunk(LONG_CHUNK)]
#[case::head(LONG_HEAD)]
#[case::unended_head(UNENDED_HEAD)]
fn a_request_is_refused_by_limits_that_are_not_proven(#[case] text: &str) {
    support::with_host(LONG, |host| async move {
        host.apply(support::state(&config(1, 100), &[])).await;
        let answer = answer(&host, text).await;
        assert!(is_refusal(&answer), "{answer}");
        host.status.set_config_proof(HostTime(u64::MAX), 2);
        let answer = self::answer(&host, text).await;
        assert!(is_refusal(&answer), "{answer}");
    });
}

/// Guards against a 413 or 431 for a caller that does not know the lowered limits yet.
#[rstest]
#[case::body(LONG_BODY)]
#[case::chunk(LONG_CHUNK)]
#[case::head(LONG_HEAD)]
#[case::unended_head(UNENDED_HEAD)]
fn a_request_is_refused_by_limits_that_were_lowered_not_long_ago(#[case] text: &str) {
    support::with_host(LONG, |host| async move {
        host.apply(support::state(&config(1, 1_000), &[])).await;
        host.apply(support::state(&config(2, 100), &[])).await;
        support::prove_config(&host.status, 2);
        let answer = answer(&host, text).await;
        assert!(is_refusal(&answer), "{answer}");
    });
}

#[rstest]
#[case::body(LONG_BODY, "413", "body_too_long")]
#[case::chunk(LONG_CHUNK, "413", "body_too_long")]
#[case::head(LONG_HEAD, "431", "head_too_long")]
#[case::unended_head(UNENDED_HEAD, "431", "head_too_long")]
fn a_request_is_rejected_by_limits_that_are_proven(
    #[case] text: &str,
    #[case] status: &str,
    #[case] reason: &str,
) {
    support::with_host(Millis(0), |host| async move {
        host.apply(support::state(&config(1, 1_000), &[])).await;
        host.apply(support::state(&config(2, 100), &[])).await;
        // Valid at any time, even without an apply time.
        host.status.set_config_proof(HostTime(u64::MAX), 2);
        let answer = answer(&host, text).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {status} ")), "{answer}");
        let labels = format!("status=\"{status}\",reason=\"{reason}\"");
        assert!(host.has_metric(&format!("skylarkdock_requests_rejected_total{{{labels}}} 1")));
    });
}

/// Guards against a 431 for the number of fields, which no configuration limits, and against a head that is never read to
/// its end, as it is longer than what is read ahead.
#[rstest]
#[case::many_fields("Name: x\r\n", 200)]
#[case::shortest_fields("n:\n", 60_000)]
#[case::long_field(&format!("Name: {}\r\n", "x".repeat(150_000)), 1)]
fn a_head_within_its_size_is_accepted(#[case] fields: &str, #[case] count: usize) {
    support::with_host(Millis(0), |host| async move {
        host.apply(support::state(&config(1, 200_000), &[])).await;
        host.status.set_config_proof(HostTime(u64::MAX), 1);
        let fields = fields.repeat(count);
        let text =
            format!("GET /none/x HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n{fields}\r\n");
        let answer = answer(&host, &text).await;
        // The head was read, and the request is routed.
        assert!(answer.starts_with("HTTP/1.1 404 "), "{answer}");
    });
}
