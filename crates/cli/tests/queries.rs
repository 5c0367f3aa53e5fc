//! Commands that show the state of the fleet.

#![allow(clippy::unwrap_used)]

mod fakes;

use fakes::{Fleet, closed_address, run_at, status, write_file};
use rstest::rstest;
use serde_json::{Value, json};
use skylarkdock_cli::exit::Exit;

const REQUEST: &str = "019ae7a4-5c00-7000-8000-000000000000";

fn event(host: usize, seq: u64, wall: u64, cause: Value) -> Value {
    json!({
        "stamp": {"wall": wall, "count": 0}, "host": format!("host-{host}"), "seq": seq,
        "kind": "log_outage", "cause": cause
    })
}

fn events(host: usize, list: Value) -> Value {
    let last = list.as_array().unwrap().last().map_or(json!(0), |event| event["seq"].clone());
    json!({"host": format!("host-{host}"), "incarnation": 7, "oldest": 1, "last": last, "events": list})
}

#[test]
fn records_are_listed_and_one_is_printed_whole() {
    let row = json!({
        "service": "orders", "revision": 42, "by": "ana", "schema": 2, "unreadable_since": null,
        "record": {"service": "orders", "ranges": 64}
    });
    let rows = json!([row]);
    let response = rows.clone();
    let fleet =
        Fleet::start(1, move |_, method, _| (method == "records").then(|| response.clone()));
    let expected =
        "SERVICE  REVISION  SCHEMA  UNREADABLE  BY\norders   42        2       -           ana\n";
    assert_eq!(fleet.run(&["records"]).out, expected);
    assert_eq!(fleet.run(&["records", "--output=json"]).json(), rows);
    let record = fleet.run(&["records", "orders"]);
    assert_eq!(record.json(), row["record"]);
    assert_eq!(record.err, "orders revision 42 by ana\n");
    assert_eq!(fleet.run(&["records", "permits"]).exit, Exit::Failed);
}

#[test]
fn hosts_and_ranges_are_printed_as_tables() {
    let ranges = json!([{
        "range": {"service": "orders", "index": 7}, "assigned": 40, "lease": 41,
        "members": [{"host": "host-1", "incarnation": 7}, {"host": "host-2", "incarnation": 8}],
        "upstream": "orders-1", "hot": [{"key": 5, "upstream": "orders-2"}],
        "held": {"offset": 41, "place": 0}
    }]);
    let response = ranges.clone();
    let fleet = Fleet::start(1, move |_, method, _| (method == "ranges").then(|| response.clone()));
    let hosts = fleet.run(&["hosts"]).out;
    assert!(hosts.starts_with("HOST    STATE  ZONE     REGION"), "{hosts}");
    assert!(hosts.contains("12ms ago") && hosts.contains(&fleet.addrs[0].to_string()));
    assert_eq!(fleet.run(&["hosts", "--output", "json"]).json(), fakes::host_rows(&fleet.addrs));
    let table = fleet.run(&["ranges", "orders"]).out;
    let cells: Vec<&str> = table.lines().last().unwrap().split_whitespace().collect();
    assert_eq!(cells, ["orders/7", "orders-1", "40", "41", "41.0", "1", "host-1,host-2"]);
    assert_eq!(fleet.params("ranges"), [json!({"service": "orders"})]);
    assert_eq!(fleet.run(&["ranges", "--output", "json"]).json(), ranges);
}

#[test]
fn status_queries_all_hosts_that_the_given_host_knows() {
    let fleet = Fleet::start(3, |index, method, _| {
        (method == "status" && index != 1).then(|| status(index, 42))
    });
    let result = run_at(&fleet.addrs[2].to_string(), &["status"]);
    assert_eq!(result.exit, Exit::Unreachable);
    assert_eq!(result.out.lines().count(), 3, "{}", result.out);
    assert!(result.out.contains("host-0  serving  norte-a"), "{}", result.out);
    assert!(result.err.starts_with("no result from host-1: "), "{}", result.err);
    let json = run_at(&fleet.addrs[2].to_string(), &["status", "--output", "json"]).json();
    assert_eq!(json["hosts"], json!([status(0, 42), status(2, 42)]));
    assert_eq!(json["unreachable"][0]["host"], "host-1");
    assert_eq!(run_at(&closed_address().to_string(), &["status"]).exit, Exit::Unreachable);
}

#[test]
fn drain_calls_the_named_host() {
    let fleet = Fleet::start(2, |_, method, _| (method == "drain").then(|| json!({})));
    let result = run_at(&fleet.addrs[0].to_string(), &["drain", "host-1"]);
    assert_eq!((result.exit, result.out.as_str()), (Exit::Done, "host-1 drains\n"));
    let drained =
        fleet.calls.lock().unwrap().iter().any(|(at, name, _)| *at == 1 && name == "drain");
    assert!(drained);
    assert_eq!(
        fleet.run(&["drain", "host-0", "--output", "json"]).json(),
        json!({"draining": "host-0"})
    );
    let result = fleet.run(&["drain", "host-9"]);
    assert_eq!(
        (result.exit, result.err.as_str()),
        (Exit::Failed, "skylarkdock: unknown host host-9\n")
    );
}

#[test]
fn explain_shows_who_serves_a_key() {
    let key = json!({
        "hash": 255, "range": {"service": "orders", "index": 7}, "upstream": "orders-1",
        "holder": {"host": "host-1", "incarnation": 7},
        "members": [{"host": "host-1", "incarnation": 7}], "epoch": {"offset": 41, "place": 0},
        "since": null, "hot": true, "why": [event(0, 3, 1000, Value::Null)]
    });
    let fleet = Fleet::start(1, move |_, method, _| (method == "explain_key").then(|| key.clone()));
    let result = fleet.run(&["explain", "orders", "--", "-k 1"]);
    assert_eq!(fleet.params("explain_key"), [json!({"service": "orders", "key": "-k 1"})]);
    for line in ["range     orders/7", "upstream  orders-1 (hot)", "epoch     41.0", "since     -"]
    {
        assert!(result.out.contains(line), "{line} in {}", result.out);
    }
    assert!(
        result.out.contains("\n  1970-01-01T00:00:01.000Z+0 host-0:3 log-outage"),
        "{}",
        result.out
    );
    let json = fleet.run(&["explain", "orders", "k", "--output", "json"]).json();
    assert_eq!(json["hash"], 255);
}

#[rstest]
#[case(json!({"outcome": "answered", "status": 200, "upstream": "orders-1"}), Exit::Done, "host-1: answered 200 by orders-1")]
#[case(json!({"outcome": "not_run", "reason": "shed"}), Exit::Done, "host-1: not run: shed")]
#[case(json!({"outcome": "unknown", "upstream": "orders-1"}), Exit::Unknown, "host-1: may have been run, upstream orders-1")]
#[case(json!({"outcome": "running", "upstream": null}), Exit::Done, "host-1: waits or runs, upstream -")]
#[case(json!({"outcome": "no_trace"}), Exit::Failed, "no trace on 2 hosts, which does not tell whether it was run")]
fn explain_queries_all_hosts_for_a_request(
    #[case] outcome: Value,
    #[case] exit: Exit,
    #[case] text: &str,
) {
    let fleet = Fleet::start(2, move |index, method, _| {
        let mut response =
            if index == 1 { outcome.clone() } else { json!({"outcome": "no_trace"}) };
        response["host"] = json!(format!("host-{index}"));
        (method == "explain_request").then_some(response)
    });
    let result = fleet.run(&["explain", REQUEST]);
    assert_eq!((result.exit, result.out.trim_end()), (exit, text));
}

#[test]
fn timeline_merges_events_and_reports_hosts_without_a_result() {
    let fleet = Fleet::start(3, |index, method, params| {
        let list = match index {
            0 => json!([event(0, 1, 3000, json!({"host": "host-1", "seq": 2}))]),
            1 => json!([event(1, 1, 1000, Value::Null), event(1, 2, 3000, Value::Null)]),
            _ => return None,
        };
        (method == "events" && params["since_seq"] == 0).then(|| events(index, list))
    });
    let result = fleet.run(&["timeline"]);
    assert_eq!(result.exit, Exit::Unreachable);
    let order: Vec<&str> =
        result.out.lines().map(|line| line.split_whitespace().nth(1).unwrap()).collect();
    assert_eq!(order, ["host-1:1", "host-1:2", "host-0:1"]);
    assert!(result.err.starts_with("no result from host-2: "), "{}", result.err);
    let json = fleet.run(&["timeline", "--output", "json"]).out;
    let first: Value = serde_json::from_str(json.lines().next().unwrap()).unwrap();
    assert_eq!(first["seq"], 1);
    let page = write_file("page.html", "");
    assert_eq!(fleet.run(&["timeline", "--html", &page]).out, "");
    assert!(std::fs::read_to_string(&page).unwrap().contains("<svg"));
}

#[test]
fn timeline_sends_its_filter_to_the_hosts() {
    let fleet = Fleet::start(1, |index, method, _| match method {
        "explain_key" => Some(json!({
            "hash": 255, "range": {"service": "orders", "index": 7}, "upstream": null, "holder": null,
            "members": [], "epoch": null, "since": null, "hot": false, "why": []
        })),
        "events" => Some(events(index, json!([]))),
        _ => None,
    });
    let args = ["timeline", "--service", "orders", "--key", "k", "--topic", "lease", "--from", "5"];
    assert_eq!(fleet.run(&args).exit, Exit::Done);
    let filter = &fleet.params("events")[0]["filter"];
    assert_eq!(filter["range"], json!({"service": "orders", "index": 7}));
    assert_eq!((&filter["topic"], &filter["from"]), (&json!("lease"), &json!(5)));
}

#[test]
fn follow_continues_after_the_last_event_and_after_a_restart() {
    let fleet = Fleet::start(1, |index, method, params| {
        let since = params["since_seq"].as_u64().unwrap_or_default();
        let (incarnation, list) = match since {
            0 => (7, json!([event(0, 1, 1000, Value::Null), event(0, 2, 2000, Value::Null)])),
            2 => (8, json!([])),
            _ => (8, json!([])),
        };
        let mut response = events(index, list);
        response["incarnation"] = json!(incarnation);
        (method == "events").then_some(response)
    });
    let result = fleet.run(&["timeline", "--for", "1ms"]);
    assert_eq!(result.exit, Exit::Done);
    let since: Vec<Value> =
        fleet.params("events").iter().map(|params| params["since_seq"].clone()).collect();
    assert_eq!(since[..3], [json!(0), json!(2), json!(0)]);
}
