//! An upstream as a process: grants, slots, cancellation, draining and its faults.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use bytes::Bytes;
use http::{Method, Request, Response};
use serde_json::{Value, json};
use skylarkdock_httppath::body::Body;
use skylarkdock_standins::client::{self, PendingCall};
use skylarkdock_standins::clock::host_now;
use skylarkdock_standins::process::Process;
use support::{LIMIT, Standin, eventually, standin};

const HOUR_MS: &str = "3600000";
const NAMED: &[&str] = &["--service", "orders", "--id", "orders-1"];

fn upstream(args: &[&str]) -> Standin {
    standin("upstream", &[NAMED, args].concat())
}

fn unchecked(args: &[&str]) -> Standin {
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

fn grant(upstream: &Standin, token: &str, until: u64) -> Value {
    let grants = json!([{ "range": 7, "token": token }]);
    let order = json!({ "service": "orders", "grants": grants, "until_ms": until, "withdraw": [] });
    upstream.put("/_upstream/grant", order)
}

fn clock(upstream: &Standin) -> u64 {
    upstream.get("/_upstream/clock")["now_ms"].as_u64().unwrap()
}

fn refused(res: &Response<Bytes>) -> (u16, &str) {
    (res.status().as_u16(), res.headers()["skylarkdock-refused"].to_str().unwrap())
}

fn run(upstream: &Standin, id: &str) -> Response<Bytes> {
    upstream.send(request(id, "key-1", "")).unwrap()
}

/// Starts a request and waits until it runs.
fn begin(upstream: &Standin, id: &str) -> PendingCall {
    let pending = upstream.begin(request(id, "key-1", ""));
    eventually(|| running(upstream).contains(&id.to_owned()).then_some(()));
    pending
}

fn running(upstream: &Standin) -> Vec<String> {
    let page = upstream.get("/_standin/runs?from=1");
    let running = page["running"].as_array().unwrap();
    running.iter().map(|run| run["request_id"].as_str().unwrap().to_owned()).collect()
}

fn ended(upstream: &Standin, id: &str) -> Value {
    eventually(|| {
        let page = upstream.get("/_standin/runs?from=1");
        let runs = page["runs"].as_array().unwrap();
        runs.iter().find(|run| run["request_id"] == id).cloned()
    })
}

fn exit_code(mut process: Process) -> Option<i32> {
    process.wait(LIMIT).unwrap().code()
}

#[test]
fn an_answer_tells_who_ran_what_and_how_often() {
    let upstream = unchecked(&["--answer-bytes", "300"]);
    run(&upstream, "request-1");
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
fn a_request_without_a_body_in_its_answer_is_complete() {
    let upstream = unchecked(&[]);
    let mut req = request("a", "key-1", "");
    *req.method_mut() = Method::HEAD;
    assert_eq!(upstream.send(req).unwrap().status().as_u16(), 200);
    assert_eq!(ended(&upstream, "a")["outcome"], "completed");
}

#[test]
fn a_grant_lapses_by_the_upstreams_clock() {
    let upstream = upstream(&[]);
    assert_eq!(refused(&run(&upstream, "a")), (409, "grant"));
    let now = clock(&upstream);
    let answer = grant(&upstream, "42.0", now);
    assert_eq!(answer["refused"], json!([]));
    assert!(answer["now_ms"].as_u64().unwrap() >= now);
    assert_eq!(refused(&run(&upstream, "a")), (409, "grant"));
    grant(&upstream, "42.0", now + 3_600_000);
    assert_eq!(run(&upstream, "a").status().as_u16(), 200);
}

#[test]
fn a_request_is_abandoned_when_its_grant_lapses() {
    let upstream = upstream(&["--work-ms", HOUR_MS]);
    let until = clock(&upstream) + 2_000;
    grant(&upstream, "42.0", until);
    let pending = upstream.begin(request("a", "key-1", ""));
    assert!(pending.wait().is_err());
    let run = ended(&upstream, "a");
    assert_eq!((&run["outcome"], &run["end_ms"]), (&json!("cancelled"), &json!(until)));
    let interval = &upstream.get("/_standin/owners")["intervals"][0];
    assert_eq!(interval["end_ms"], until);
}

#[test]
fn a_suspended_upstream_checks_the_grant_before_a_request_takes_effect() {
    let upstream = upstream(&["--work-ms", "1500"]);
    let until = clock(&upstream) + 2_000;
    grant(&upstream, "42.0", until);
    let pending = begin(&upstream, "a");
    upstream.process.suspend().unwrap();
    eventually(|| (host_now().0 > until).then_some(()));
    upstream.process.resume().unwrap();
    assert!(pending.wait().is_err());
    let run = ended(&upstream, "a");
    assert_eq!((&run["outcome"], &run["end_ms"]), (&json!("cancelled"), &json!(until)));
}

#[test]
fn older_tokens_are_refused() {
    let upstream = upstream(&[]);
    let until = clock(&upstream) + 3_600_000;
    grant(&upstream, "44.0", until);
    assert_eq!(refused(&run(&upstream, "a")), (409, "token"));
    let answer = grant(&upstream, "42.0", until);
    assert_eq!(answer["refused"], json!([{ "range": 7, "token": "44.0" }]));
}

#[test]
fn a_withdrawal_is_answered_only_when_nothing_runs() {
    let upstream = upstream(&["--work-ms", HOUR_MS]);
    grant(&upstream, "42.0", clock(&upstream) + 3_600_000);
    let pending = begin(&upstream, "a");
    let order = json!({ "service": "orders", "withdraw": [{ "range": 7, "token": "42.0" }] });
    let withdraw = || {
        let req = client::request(Method::PUT, "/_upstream/grant", order.to_string());
        upstream.begin(req)
    };
    let res = withdraw().wait().unwrap();
    assert_eq!((res.status().as_u16(), support::json(&res)), (409, json!({ "running": [7] })));
    drop(pending);
    ended(&upstream, "a");
    assert_eq!(withdraw().wait().unwrap().status().as_u16(), 200);
    assert_eq!(refused(&run(&upstream, "b")), (409, "grant"));
}

#[test]
fn requests_for_another_service_are_not_run() {
    let upstream = upstream(&[]);
    grant(&upstream, "42.0", clock(&upstream) + 3_600_000);
    let mut req = request("a", "key-1", "");
    req.headers_mut().insert("skylarkdock-service", "stock".parse().unwrap());
    assert_eq!(refused(&upstream.send(req).unwrap()), (409, "grant"));
}

#[test]
fn an_upstream_that_checks_no_orders_has_no_grants() {
    let upstream = unchecked(&[]);
    assert_eq!(upstream.status(Method::PUT, "/_upstream/grant", "{}"), 404);
    assert_eq!(run(&upstream, "a").status().as_u16(), 200);
}

#[test]
fn a_request_past_its_deadline_is_refused() {
    let upstream = unchecked(&[]);
    let mut req = request("a", "key-1", "");
    req.headers_mut().insert("skylarkdock-deadline-ms", "0".parse().unwrap());
    assert_eq!(refused(&upstream.send(req).unwrap()), (504, "deadline"));
}

#[test]
fn requests_above_the_slots_are_shed_and_health_tells_the_load() {
    let upstream = unchecked(&["--slots", "2", "--work-ms", HOUR_MS]);
    let _first = begin(&upstream, "a");
    let _second = begin(&upstream, "b");
    assert_eq!(refused(&run(&upstream, "c")), (503, "shed"));
    let full = json!({"healthy": true, "draining": false, "slots": 2, "busy": 2, "load": 1.0});
    assert_eq!(upstream.get("/_upstream/health"), full);
    upstream.fault(json!({ "lie_healthy": false, "lie_load": 0.1 }));
    let health = upstream.get("/_upstream/health");
    assert_eq!((&health["healthy"], &health["load"]), (&json!(false), &json!(0.1)));
}

#[test]
fn a_closed_connection_cancels_its_request() {
    let upstream = unchecked(&["--work-ms", HOUR_MS]);
    drop(begin(&upstream, "a"));
    let run = ended(&upstream, "a");
    assert_eq!((&run["outcome"], &run["range"]), (&json!("cancelled"), &json!(7)));
    assert_eq!(run["token"], "42.0");
    assert!(running(&upstream).is_empty());
    let owners = upstream.get("/_standin/owners");
    let interval = &owners["intervals"][0];
    assert_eq!((&interval["key"], &interval["token"]), (&json!("key-1"), &json!("42.0")));
    assert_eq!(interval["end_ms"], run["end_ms"]);
}

#[test]
fn a_drain_cuts_nothing() {
    let upstream = unchecked(&["--work-ms", "300", "--answer-bytes", "4000000"]);
    let pending = begin(&upstream, "a");
    upstream.process.terminate().unwrap();
    let res = pending.wait().unwrap();
    assert_eq!((res.status().as_u16(), res.body().len()), (200, 4_000_000));
    assert_eq!(exit_code(upstream.process), Some(0));
}

#[test]
fn a_leaving_upstream_refuses_new_requests() {
    let upstream = unchecked(&["--work-ms", HOUR_MS]);
    let _pending = begin(&upstream, "a");
    upstream.put("/_upstream/drain", json!({}));
    let res = run(&upstream, "b");
    assert_eq!(refused(&res), (503, "drain"));
    assert_eq!(res.headers()["connection"], "close");
    assert_eq!(upstream.get("/_upstream/health")["draining"], true);
}

#[test]
fn frozen_requests_and_control_calls_go_on_afterwards() {
    let upstream = unchecked(&[]);
    upstream.fault(json!({ "freeze": true }));
    let work = upstream.begin(request("a", "key-1", ""));
    let health = upstream.begin(client::request(Method::GET, "/_upstream/health", ""));
    assert!(running(&upstream).is_empty());
    assert!(!work.is_finished() && !health.is_finished());
    upstream.fault(json!({}));
    assert_eq!(work.wait().unwrap().status().as_u16(), 200);
    assert_eq!(health.wait().unwrap().status().as_u16(), 200);
}

#[test]
fn a_suspended_process_goes_on_afterwards() {
    let upstream = unchecked(&["--work-ms", "50"]);
    let pending = begin(&upstream, "a");
    upstream.process.suspend().unwrap();
    upstream.process.resume().unwrap();
    assert_eq!(pending.wait().unwrap().status().as_u16(), 200);
}

#[test]
fn an_answer_is_cut_short_and_its_run_is_complete() {
    let upstream = unchecked(&["--answer-bytes", "200000"]);
    upstream.fault(json!({ "truncate_next": 1 }));
    assert!(upstream.send(request("a", "key-1", "")).is_err());
    assert_eq!(ended(&upstream, "a")["outcome"], "completed");
    let res = run(&upstream, "b");
    assert_eq!((res.body().len(), res.headers().contains_key("content-length")), (200_000, false));
}

#[test]
fn a_request_can_crash_its_upstream() {
    let upstream = unchecked(&[]);
    upstream.fault(json!({ "crash_on": "needle" }));
    let mut content = "x".repeat(1 << 20);
    assert!(upstream.send(request("a", "key-1", content.clone())).is_ok());
    content.push_str("needle");
    assert!(upstream.send(request("b", "key-1", content)).is_err());
    assert_eq!(exit_code(upstream.process), Some(134));
}

#[test]
fn a_share_of_requests_fails_and_all_can_be_shed() {
    let upstream = unchecked(&[]);
    upstream.fault(json!({ "error_share": 1.0 }));
    assert_eq!(run(&upstream, "a").status().as_u16(), 500);
    assert_eq!(ended(&upstream, "a")["outcome"], "completed");
    upstream.fault(json!({ "shed": true }));
    assert_eq!(refused(&run(&upstream, "b")), (503, "shed"));
    assert_eq!(upstream.status(Method::PUT, "/_standin/faults", r#"{"frozen": true}"#), 400);
}

#[test]
fn connections_above_the_limit_are_reset() {
    let args = ["--connections", "1", "--work-ms", HOUR_MS, "--control", support::ANY];
    let upstream = unchecked(&args);
    let control = upstream.process.address_labeled("control").unwrap();
    let pending = upstream.begin(request("a", "key-1", ""));
    let busy = || upstream.client.get::<Value>(control, "/_standin/stats").unwrap()["busy"] == 1;
    eventually(|| busy().then_some(()));
    assert!(upstream.send(request("b", "key-1", "")).is_err());
    drop(pending);
    eventually(|| upstream.send(client::request(Method::GET, "/_upstream/health", "")).ok());
}
