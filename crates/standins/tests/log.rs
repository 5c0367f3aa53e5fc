//! Tests of the log's process: waiting reads, outages, lost responses and the rate limit.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use http::Method;
use rstest::rstest;
use serde_json::json;
use skylarkdock_standins::client;
use support::{Standin, standin};

fn append(log: &Standin, record: &str) -> client::PendingCall {
    let call = json!({ "record": record }).to_string();
    log.begin(client::request(Method::POST, "/append", call))
}

fn append_count(log: &Standin) -> u64 {
    log.get("/_standin/stats")["appends"].as_u64().unwrap()
}

#[test]
fn records_are_read_as_they_were_appended() {
    let log = standin("log", &[]);
    let res = append(&log, "first \"one\"").wait().unwrap();
    assert_eq!(support::json(&res), json!({ "offset": 1 }));
    append(&log, "second").wait().unwrap();
    let page = log.get("/read?from=1&max=500&wait_ms=0");
    assert_eq!((&page["oldest"], &page["next"]), (&json!(1), &json!(3)));
    assert_eq!(page["records"][0]["record"], "first \"one\"");
    assert_eq!(page["records"][1]["offset"], 2);
    assert!(page["records"][1]["at_ms"].as_u64().unwrap() > 1_700_000_000_000);
}

#[test]
fn waiting_reads_return_after_the_next_append() {
    let log = standin("log", &[]);
    let read = || log.begin(client::request(Method::GET, "/read?from=1&wait_ms=15000", ""));
    let waiting: Vec<_> = (0..40).map(|_| read()).collect();
    append(&log, "news").wait().unwrap();
    for read in waiting {
        let page = support::json(&read.wait().unwrap());
        assert_eq!(page["records"][0]["record"], "news");
    }
}

#[test]
fn a_waiting_read_returns_an_empty_page_after_its_timeout() {
    let log = standin("log", &[]);
    let page = log.get("/read?from=1&wait_ms=20");
    assert_eq!(page, json!({ "oldest": 1, "next": 1, "records": [] }));
}

#[test]
fn retention_is_configured_on_the_command_line() {
    let log = standin("log", &["--retention-records", "1"]);
    append(&log, "a").wait().unwrap();
    append(&log, "b").wait().unwrap();
    let page = log.get("/read?from=1");
    assert_eq!((&page["oldest"], &page["next"]), (&json!(2), &json!(3)));
}

#[test]
fn appends_above_the_rate_limit_are_refused_without_effect() {
    let log = standin("log", &["--appends-per-second", "0"]);
    let res = append(&log, "text").wait().unwrap();
    assert_eq!(res.status().as_u16(), 429);
    assert_eq!(res.headers()["retry-after"], "1");
    assert_eq!(log.get("/_standin/stats")["refused"], 1);
    assert_eq!(log.get("/read?from=1")["next"], 1);
}

#[test]
fn an_append_whose_response_is_lost_takes_effect() {
    let log = standin("log", &[]);
    log.fault(json!({ "lose_next_answers": 1 }));
    assert!(append(&log, "lost").wait().is_err());
    assert!(append(&log, "kept").wait().is_ok());
    let page = log.get("/read?from=1");
    assert_eq!(page["records"][0]["record"], "lost");
    assert_eq!(page["next"], 3);
}

#[test]
fn the_seed_determines_which_responses_are_lost() {
    let log = standin("log", &[]);
    let lost = || -> Vec<bool> {
        log.fault(json!({ "lose_answers": 0.5, "seed": 7 }));
        (0..20).map(|_| append(&log, "text").wait().is_err()).collect()
    };
    let first = lost();
    assert!(first.contains(&true) && first.contains(&false));
    assert_eq!(first, lost());
    assert_eq!(append_count(&log), 40);
}

#[test]
fn calls_during_an_outage_fail_without_effect() {
    let log = standin("log", &[]);
    log.fault(json!({ "outage": true }));
    assert_eq!(append(&log, "text").wait().unwrap().status().as_u16(), 503);
    assert_eq!(log.status(Method::GET, "/read?from=1", ""), 503);
    log.fault(json!({ "outage": true, "outage_mode": "refuse" }));
    assert!(append(&log, "text").wait().is_err());
    log.fault(json!({}));
    assert_eq!(log.get("/read?from=1")["next"], 1);
}

#[test]
fn hanging_calls_resume_when_the_outage_ends() {
    let log = standin("log", &[]);
    log.fault(json!({ "outage": true, "outage_mode": "hang" }));
    let hanging = append(&log, "late");
    assert_eq!(append_count(&log), 0);
    assert!(!hanging.is_finished());
    log.fault(json!({}));
    assert_eq!(support::json(&hanging.wait().unwrap()), json!({ "offset": 1 }));
}

#[test]
fn an_outage_fails_waiting_reads() {
    let log = standin("log", &[]);
    let waiting = log.begin(client::request(Method::GET, "/read?from=1&wait_ms=15000", ""));
    log.fault(json!({ "outage": true }));
    assert_eq!(waiting.wait().unwrap().status().as_u16(), 503);
}

#[rstest]
#[case(r#"{"outages": true}"#)]
#[case(r#"{"lose_answers": 1.5}"#)]
#[case(r#"{"outage_mode": "maybe"}"#)]
#[case("")]
fn invalid_faults_are_refused_without_effect(#[case] faults: &str) {
    let log = standin("log", &[]);
    log.fault(json!({ "latency_ms": 1 }));
    assert_eq!(log.status(Method::PUT, "/_standin/faults", faults), 400);
    assert_eq!(log.get("/_standin/faults")["latency_ms"], 1);
}
