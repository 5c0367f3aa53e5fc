//! Tests of the upstream's process: grants, slots, cancellation, draining and faults.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use bytes::Bytes;
use http::{Method, Request, Response};
use serde_json::{Value, json};
use skylarkdock_httppath::body::Body;
use skylarkdock_standins::client::{self, PendingCall};
use skylarkdock_standins::clock::host_now;
use skylarkdock_standins::process::Process;
use support::{Standin, WAIT_TIMEOUT, eventually, standin};

const HOUR_MS: &str = "3600000";
const UPSTREAM_ARGS: &[&str] = &["--service", "orders", "--id", "orders-1"];

fn upstream(args: &[&str]) -> Standin {
    standin("upstream", &[UPSTREAM_ARGS, args].concat())
}

fn upstream_without_checks(args: &[&str]) -> Standin {
    upstream(&[&["--checks-orders", "false"], args].concat())
}

fn request(id: &str, key: &str, content: impl Into<Bytes>) -> Request<Body> {
    let mut req = client::request(Method::POST, "/any/path", content);
    let headers = [
        ("skylarkdock-service", "orders"),
        ("skylarkdock-range", "7"),
        ("skylarkdock-key", key),
        ("skylarkdock-token", "42.0"),
        ("skylarkdock-request-id", id),
        ("skylarkdock-deadline-ms", "3600000"),
    ];
    for (name, value) in headers {
        req.headers_mut().insert(name, value.parse().unwrap());
    }
    req
}

fn grant(upstream: &Standin, token: &str, expiry: u64) -> Value {
    let grants = json!([{ "range": 7, "token": token }]);
    let body = json!({ "service": "orders", "grants": grants, "until_ms": expiry, "withdraw": [] });
    upstream.put("/_upstream/grant", body)
}

fn clock_now(upstream: &Standin) -> u64 {
    upstream.get("/_upstream/clock")["now_ms"].as_u64().unwrap()
}

fn refusal(res: &Response<Bytes>) -> (u16, &str) {
    (res.status().as_u16(), res.headers()["skylarkdock-refused"].to_str().unwrap())
}

fn send_request(upstream: &Standin, id: &str) -> Response<Bytes> {
    upstream.send(request(id, "key-1", "")).unwrap()
}

/// Sends a request and waits until it is running.
fn start_request(upstream: &Standin, id: &str) -> PendingCall {
    let pending = upstream.begin(request(id, "key-1", ""));
    eventually(|| running_request_ids(upstream).contains(&id.to_owned()).then_some(()));
    pending
}

fn running_request_ids(upstream: &Standin) -> Vec<String> {
    let page = upstream.get("/_standin/runs?from=1");
    let running = page["running"].as_array().unwrap();
    running.iter().map(|run| run["request_id"].as_str().unwrap().to_owned()).collect()
}

fn wait_for_end(upstream: &Standin, id: &str) -> Value {
    eventually(|| {
        let page = upstream.get("/_standin/runs?from=1");
        let runs = page["runs"].as_array().unwrap();
        runs.iter().find(|run| run["request_id"] == id).cloned()
    })
}

fn exit_code(mut process: Process) -> Option<i32> {
    process.wait(WAIT_TIMEOUT).unwrap().code()
}

#[test]
fn a_response_names_the_upstream_the_request_and_the_run_count() {
    let upstream = upstream_without_checks(&["--answer-bytes", "300"]);
    send_request(&upstream, "request-1");
    let res = upstream.send(request("request-1", "key-1", "12345")).unwrap();
    assert_eq!(res.status().as_u16(), 200);
    let header = |name| res.headers()[name].to_str().unwrap().to_owned();
    assert_eq!(header("upstream-id"), "orders-1");
    assert_eq!(header("upstream-key"), "key-1");
    assert_eq!(header("upstream-request-id"), "request-1");
    assert_eq!(header("upstream-run"), "2");
    let content = support::json(&res);
    assert_eq!((&content["service"], &content["run"]), (&json!("orders"), &json!(2)));
    assert_eq!((res.body().len(), &content["request_bytes"]), (300, &json!(5)));
}

#[test]
fn a_head_request_completes_without_a_response_body() {
    let upstream = upstream_without_checks(&[]);
    let mut req = request("a", "key-1", "");
    *req.method_mut() = Method::HEAD;
    assert_eq!(upstream.send(req).unwrap().status().as_u16(), 200);
    assert_eq!(wait_for_end(&upstream, "a")["outcome"], "completed");
}

#[test]
fn a_grant_expires_by_the_upstreams_clock() {
    let upstream = upstream(&[]);
    assert_eq!(refusal(&send_request(&upstream, "a")), (409, "grant"));
    let now = clock_now(&upstream);
    let response = grant(&upstream, "42.0", now);
    assert_eq!(response["refused"], json!([]));
    assert!(response["now_ms"].as_u64().unwrap() >= now);
    assert_eq!(refusal(&send_request(&upstream, "a")), (409, "grant"));
    grant(&upstream, "42.0", now + 3_600_000);
    assert_eq!(send_request(&upstream, "a").status().as_u16(), 200);
}

#[test]
fn a_running_request_is_cancelled_when_its_grant_expires() {
    let upstream = upstream(&["--work-ms", HOUR_MS]);
    let expiry = clock_now(&upstream) + 2_000;
    grant(&upstream, "42.0", expiry);
    let pending = upstream.begin(request("a", "key-1", ""));
    assert!(pending.wait().is_err());
    let run = wait_for_end(&upstream, "a");
    assert_eq!((&run["outcome"], &run["end_ms"]), (&json!("cancelled"), &json!(expiry)));
    let interval = &upstream.get("/_standin/owners")["intervals"][0];
    assert_eq!(interval["end_ms"], expiry);
}

#[test]
fn a_request_takes_no_effect_if_its_grant_expired_during_suspension() {
    let upstream = upstream(&["--work-ms", "1500"]);
    let expiry = clock_now(&upstream) + 2_000;
    grant(&upstream, "42.0", expiry);
    let pending = start_request(&upstream, "a");
    upstream.process.suspend().unwrap();
    eventually(|| (host_now().0 > expiry).then_some(()));
    upstream.process.resume().unwrap();
    assert!(pending.wait().is_err());
    let run = wait_for_end(&upstream, "a");
    assert_eq!((&run["outcome"], &run["end_ms"]), (&json!("cancelled"), &json!(expiry)));
}

#[test]
fn outdated_tokens_are_refused() {
    let upstream = upstream(&[]);
    let expiry = clock_now(&upstream) + 3_600_000;
    grant(&upstream, "44.0", expiry);
    assert_eq!(refusal(&send_request(&upstream, "a")), (409, "token"));
    let response = grant(&upstream, "42.0", expiry);
    assert_eq!(response["refused"], json!([{ "range": 7, "token": "44.0" }]));
}

#[test]
fn a_withdrawal_is_confirmed_only_when_no_request_is_running() {
    let upstream = upstream(&["--work-ms", HOUR_MS]);
    grant(&upstream, "42.0", clock_now(&upstream) + 3_600_000);
    let pending = start_request(&upstream, "a");
    let body = json!({ "service": "orders", "withdraw": [{ "range": 7, "token": "42.0" }] });
    let withdraw = || {
        let req = client::request(Method::PUT, "/_upstream/grant", body.to_string());
        upstream.begin(req)
    };
    let res = withdraw().wait().unwrap();
    assert_eq!((res.status().as_u16(), support::json(&res)), (409, json!({ "running": [7] })));
    drop(pending);
    wait_for_end(&upstream, "a");
    assert_eq!(withdraw().wait().unwrap().status().as_u16(), 200);
    assert_eq!(refusal(&send_request(&upstream, "b")), (409, "grant"));
}

#[test]
fn requests_for_another_service_are_refused() {
    let upstream = upstream(&[]);
    grant(&upstream, "42.0", clock_now(&upstream) + 3_600_000);
    let mut req = request("a", "key-1", "");
    req.headers_mut().insert("skylarkdock-service", "stock".parse().unwrap());
    assert_eq!(refusal(&upstream.send(req).unwrap()), (409, "grant"));
}

#[test]
fn an_upstream_without_checks_has_no_grant_call() {
    let upstream = upstream_without_checks(&[]);
    assert_eq!(upstream.status(Method::PUT, "/_upstream/grant", "{}"), 404);
    assert_eq!(send_request(&upstream, "a").status().as_u16(), 200);
}

#[test]
fn a_request_past_its_deadline_is_refused() {
    let upstream = upstream_without_checks(&[]);
    let mut req = request("a", "key-1", "");
    req.headers_mut().insert("skylarkdock-deadline-ms", "0".parse().unwrap());
    assert_eq!(refusal(&upstream.send(req).unwrap()), (504, "deadline"));
}

#[test]
fn requests_without_a_free_slot_are_shed_and_health_reports_the_load() {
    let upstream = upstream_without_checks(&["--slots", "2", "--work-ms", HOUR_MS]);
    let _first = start_request(&upstream, "a");
    let _second = start_request(&upstream, "b");
    assert_eq!(refusal(&send_request(&upstream, "c")), (503, "shed"));
    let expected = json!({"healthy": true, "draining": false, "slots": 2, "busy": 2, "load": 1.0});
    assert_eq!(upstream.get("/_upstream/health"), expected);
    upstream.fault(json!({ "lie_healthy": false, "lie_load": 0.1 }));
    let health = upstream.get("/_upstream/health");
    assert_eq!((&health["healthy"], &health["load"]), (&json!(false), &json!(0.1)));
}

#[test]
fn closing_the_connection_cancels_the_request() {
    let upstream = upstream_without_checks(&["--work-ms", HOUR_MS]);
    drop(start_request(&upstream, "a"));
    let run = wait_for_end(&upstream, "a");
    assert_eq!((&run["outcome"], &run["range"]), (&json!("cancelled"), &json!(7)));
    assert_eq!(run["token"], "42.0");
    assert!(running_request_ids(&upstream).is_empty());
    let owners = upstream.get("/_standin/owners");
    let interval = &owners["intervals"][0];
    assert_eq!((&interval["key"], &interval["token"]), (&json!("key-1"), &json!("42.0")));
    assert_eq!(interval["end_ms"], run["end_ms"]);
}

#[test]
fn a_drain_completes_running_requests() {
    let upstream = upstream_without_checks(&["--work-ms", "300", "--answer-bytes", "4000000"]);
    let pending = start_request(&upstream, "a");
    upstream.process.terminate().unwrap();
    let res = pending.wait().unwrap();
    assert_eq!((res.status().as_u16(), res.body().len()), (200, 4_000_000));
    assert_eq!(exit_code(upstream.process), Some(0));
}

#[test]
fn a_draining_upstream_refuses_new_requests() {
    let upstream = upstream_without_checks(&["--work-ms", HOUR_MS]);
    let _pending = start_request(&upstream, "a");
    upstream.put("/_upstream/drain", json!({}));
    let res = send_request(&upstream, "b");
    assert_eq!(refusal(&res), (503, "drain"));
    assert_eq!(res.headers()["connection"], "close");
    assert_eq!(upstream.get("/_upstream/health")["draining"], true);
}

#[test]
fn frozen_requests_and_health_calls_resume_when_the_freeze_ends() {
    let upstream = upstream_without_checks(&[]);
    upstream.fault(json!({ "freeze": true }));
    let pending = upstream.begin(request("a", "key-1", ""));
    let health = upstream.begin(client::request(Method::GET, "/_upstream/health", ""));
    assert!(running_request_ids(&upstream).is_empty());
    assert!(!pending.is_finished() && !health.is_finished());
    upstream.fault(json!({}));
    assert_eq!(pending.wait().unwrap().status().as_u16(), 200);
    assert_eq!(health.wait().unwrap().status().as_u16(), 200);
}

#[test]
fn a_suspended_process_resumes_running_requests() {
    let upstream = upstream_without_checks(&["--work-ms", "50"]);
    let pending = start_request(&upstream, "a");
    upstream.process.suspend().unwrap();
    upstream.process.resume().unwrap();
    assert_eq!(pending.wait().unwrap().status().as_u16(), 200);
}

#[test]
fn a_run_with_a_truncated_response_is_completed() {
    let upstream = upstream_without_checks(&["--answer-bytes", "200000"]);
    upstream.fault(json!({ "truncate_next": 1 }));
    assert!(upstream.send(request("a", "key-1", "")).is_err());
    assert_eq!(wait_for_end(&upstream, "a")["outcome"], "completed");
    let res = send_request(&upstream, "b");
    assert_eq!((res.body().len(), res.headers().contains_key("content-length")), (200_000, false));
}

#[test]
fn a_request_that_contains_the_crash_text_ends_the_process() {
    let upstream = upstream_without_checks(&[]);
    upstream.fault(json!({ "crash_on": "needle" }));
    let mut content = "x".repeat(1 << 20);
    assert!(upstream.send(request("a", "key-1", content.clone())).is_ok());
    content.push_str("needle");
    assert!(upstream.send(request("b", "key-1", content)).is_err());
    assert_eq!(exit_code(upstream.process), Some(134));
}

#[test]
fn faults_fail_a_share_of_requests_or_shed_all() {
    let upstream = upstream_without_checks(&[]);
    upstream.fault(json!({ "error_share": 1.0 }));
    assert_eq!(send_request(&upstream, "a").status().as_u16(), 500);
    assert_eq!(wait_for_end(&upstream, "a")["outcome"], "completed");
    upstream.fault(json!({ "shed": true }));
    assert_eq!(refusal(&send_request(&upstream, "b")), (503, "shed"));
    assert_eq!(upstream.status(Method::PUT, "/_standin/faults", r#"{"frozen": true}"#), 400);
}

#[test]
fn connections_above_the_limit_are_reset() {
    let args = ["--connections", "1", "--work-ms", HOUR_MS, "--control", support::ANY_PORT];
    let upstream = upstream_without_checks(&args);
    let control = upstream.process.address_with_label("control").unwrap();
    let pending = upstream.begin(request("a", "key-1", ""));
    let busy = || upstream.client.get::<Value>(control, "/_standin/stats").unwrap()["busy"] == 1;
    eventually(|| busy().then_some(()));
    assert!(upstream.send(request("b", "key-1", "")).is_err());
    drop(pending);
    eventually(|| upstream.send(client::request(Method::GET, "/_upstream/health", "")).ok());
}
