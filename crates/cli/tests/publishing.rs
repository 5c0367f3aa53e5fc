//! Publishing, checking, retiring and settling records.

#![allow(clippy::unwrap_used)]

mod fakes;

use fakes::{Fleet, closed_address, dropping_address, run_at, status, write_file};
use rstest::rstest;
use serde_json::{Value, json};
use skylarkdock_cli::exit::Exit;

const ID: &str = "6f2c1d9e-3c1f-4a52-9a55-1f0f6a1f2b3c";

fn fleet_with_verdict(value: Value) -> Fleet {
    Fleet::start(1, move |_, method, _| {
        matches!(method, "publish" | "retire" | "settle").then(|| value.clone())
    })
}

#[test]
fn publish_sends_the_record_with_its_basis_and_author() {
    let fleet = fleet_with_verdict(json!({"verdict": "accepted", "offset": 42}));
    let record = write_file("publish.json", r#"{"service": "orders"}"#);
    let result = fleet.run(&["publish", &record, "--basis", "41", "--id", ID]);
    assert_eq!((result.exit, result.out.as_str()), (Exit::Done, "accepted at offset 42\n"));
    let expected = json!({"record": {"service": "orders"}, "basis": 41, "by": "ana", "id": ID, "wait_ms": 5000});
    assert_eq!(fleet.params("publish"), [expected]);
    let result = fleet.run(&["publish", &record, "--create", "--by", "eva", "--output", "json"]);
    assert_eq!(result.json(), json!({"verdict": "accepted", "offset": 42}));
    let second = &fleet.params("publish")[1];
    assert_eq!((&second["basis"], &second["by"]), (&json!(0), &json!("eva")));
    assert_ne!(second["id"], ID);
}

#[rstest]
#[case(json!({"reason": "conflict", "revision": 9, "by": "eva"}), "revision 9 by eva is in force")]
#[case(json!({"reason": "invalid", "faults": [{"field": "ranges", "problem": "is 0"}]}), "\n  ranges: is 0")]
#[case(json!({"reason": "unsupported_schema", "host": "host-3"}), "host-3 can't read it")]
#[case(json!({"reason": "not_found"}), "no record in force")]
fn a_refusal_is_printed_with_its_reason(#[case] reason: Value, #[case] text: &str) {
    let mut value = reason;
    value["verdict"] = json!("refused");
    let fleet = fleet_with_verdict(value.clone());
    let result = fleet.run(&["retire", "orders", "--basis", "8"]);
    assert_eq!(result.exit, Exit::Failed);
    assert!(result.out.starts_with("refused: ") && result.out.contains(text), "{}", result.out);
    let result = fleet.run(&["retire", "orders", "--basis", "8", "--output", "json"]);
    assert_eq!((result.exit, result.json()), (Exit::Failed, value));
}

#[test]
fn an_unknown_outcome_is_reported_with_the_settle_command() {
    let fleet = fleet_with_verdict(json!({"verdict": "unknown", "id": ID}));
    let record = write_file("unknown.json", "{}");
    for args in [&["publish", &record, "--id", ID][..], &["settle", ID]] {
        let result = fleet.run(args);
        assert_eq!((result.exit, result.out.as_str()), (Exit::Unknown, "unknown\n"));
        assert!(result.err.contains(&format!("skylarkdock settle {ID}")), "{}", result.err);
    }
}

#[test]
fn after_a_lost_response_the_record_is_settled_and_not_submitted_again() {
    let fleet = fleet_with_verdict(json!({"verdict": "accepted", "offset": 42}));
    let record = write_file("lost.json", "{}");
    let hosts = format!("{},{}", dropping_address(), fleet.addrs[0]);
    let result = run_at(&hosts, &["publish", &record, "--id", ID]);
    assert_eq!((result.exit, result.out.as_str()), (Exit::Done, "accepted at offset 42\n"));
    assert!(fleet.params("publish").is_empty());
    assert_eq!(fleet.params("settle"), [json!({"id": ID})]);
    let result = run_at(&dropping_address().to_string(), &["publish", &record]);
    assert_eq!(result.exit, Exit::Unknown, "{}", result.err);
}

#[test]
fn after_an_error_of_a_stopping_host_the_record_is_settled() {
    let fleet = Fleet::start(1, |_, method, _| {
        let stopping = json!({"error": {"code": -32000, "message": "the host is stopping"}});
        (method == "publish").then_some(stopping)
    });
    let result = fleet.run(&["publish", &write_file("stopping.json", "{}")]);
    assert_eq!(result.exit, Exit::Unknown);
    assert_eq!(fleet.params("settle").len(), 1);
}

#[test]
fn an_unreachable_host_is_skipped() {
    let fleet = fleet_with_verdict(json!({"verdict": "accepted", "offset": 42}));
    let record = write_file("skipped.json", "{}");
    let hosts = format!("{},{}", closed_address(), fleet.addrs[0]);
    assert_eq!(run_at(&hosts, &["publish", &record]).exit, Exit::Done);
    assert_eq!(fleet.params("publish").len(), 1);
    let closed = closed_address().to_string();
    for args in [&["publish", &record][..], &["settle", ID], &["check", &record]] {
        let result = run_at(&closed, args);
        assert_eq!(result.exit, Exit::Unreachable, "{}", result.err);
        assert!(result.err.contains(&closed), "{}", result.err);
    }
}

#[test]
fn wait_counts_hosts_and_lists_those_without_the_record() {
    let applied = [42, 43, 41];
    let fleet = Fleet::start(3, move |index, method, _| match method {
        "publish" => Some(json!({"verdict": "accepted", "offset": 42})),
        "status" => Some(status(index, applied[index])),
        _ => None,
    });
    let record = write_file("wait.json", "{}");
    let args = ["publish", &record, "--wait-limit", "0ms"];
    let result = fleet.run(&args);
    assert_eq!(result.exit, Exit::Failed);
    let expected = "accepted at offset 42\nin force on 2 of 3 hosts\nnot yet in force on host-2\n";
    assert_eq!(result.out, expected);
    let closed = closed_address();
    let hosts = format!("{},{closed}", fleet.addrs[0]);
    let result = run_at(&hosts, &[&args[..], &["--output", "json"]].concat());
    assert_eq!(result.exit, Exit::Unreachable);
    let json = result.json();
    assert_eq!((&json["in_force"], &json["hosts"]), (&json!(2), &json!(4)));
    assert_eq!((&json["offset"], &json["behind"]), (&json!(42), &json!(["host-2"])));
    assert_eq!(json["unreachable"][0]["host"], closed.to_string());
}

#[test]
fn wait_ends_when_the_record_is_in_force_on_all_hosts() {
    let polls = std::sync::atomic::AtomicU64::new(0);
    let fleet = Fleet::start(1, move |index, method, _| match method {
        "retire" => Some(json!({"verdict": "accepted", "offset": 42})),
        "status" => {
            Some(status(index, 40 + polls.fetch_add(1, std::sync::atomic::Ordering::Relaxed)))
        }
        _ => None,
    });
    let result = fleet.run(&["retire", "orders", "--basis", "40", "--wait"]);
    assert_eq!((result.exit, fleet.params("status").len()), (Exit::Done, 3));
    assert!(result.out.ends_with("in force on 1 of 1 hosts\n"), "{}", result.out);
}

#[test]
fn check_lists_every_fault() {
    let faults = json!({"faults": [{"field": "ranges", "problem": "is 0"}, {"field": "upstreams[1].address", "problem": "is no address"}]});
    let response = faults.clone();
    let fleet = Fleet::start(1, move |_, method, params| {
        let valid = params["record"]["ranges"] == 64;
        (method == "check").then(|| if valid { json!({"faults": []}) } else { response.clone() })
    });
    let invalid = write_file("check-bad.json", r#"{"ranges": 0}"#);
    let result = fleet.run(&["check", &invalid]);
    let expected = "2 faults\n  ranges: is 0\n  upstreams[1].address: is no address\n";
    assert_eq!((result.exit, result.out.as_str()), (Exit::Failed, expected));
    assert_eq!(fleet.run(&["check", &invalid, "--output", "json"]).json(), faults);
    let result = fleet.run(&["check", &write_file("check-good.json", r#"{"ranges": 64}"#)]);
    assert_eq!((result.exit, result.out.as_str()), (Exit::Done, "no faults\n"));
    let result = fleet.run(&["check", &write_file("check-text.json", "{")]);
    assert_eq!(result.exit, Exit::Failed);
    assert!(result.err.contains("is not valid JSON"), "{}", result.err);
    assert_eq!(fleet.run(&["check", "/nonexistent.json"]).exit, Exit::Failed);
}
