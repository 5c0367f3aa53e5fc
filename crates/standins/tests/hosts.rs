//! Tests of the host list's process: the list returned to each host, and its faults.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use http::Method;
use serde_json::{Value, json};
use std::fs;
use support::{Standin, standin};

const HOUR_MS: u64 = 3_600_000;

fn host(id: &str) -> Value {
    json!({
        "id": id, "zone": "norte-a", "region": "bajio-norte",
        "peer": "127.0.0.1:7102", "http": "127.0.0.1:8102", "leaving": false,
    })
}

fn set_list(hosts: &Standin, list: &[Value]) {
    hosts.put("/_standin/hosts", json!({ "hosts": list }));
}

fn listed_ids(hosts: &Standin) -> Vec<String> {
    let response = hosts.get("/hosts?from=host-1");
    let list = response["hosts"].as_array().unwrap();
    list.iter().map(|host| host["id"].as_str().unwrap().to_owned()).collect()
}

#[test]
fn the_addresses_of_a_host_depend_on_the_requester() {
    let hosts = standin("hosts", &[]);
    let mut host_2 = host("host-2");
    host_2["via"] = json!({ "host-1": { "peer": "127.0.0.1:1", "http": "127.0.0.1:2" } });
    set_list(&hosts, &[host_2]);
    let mut expected = host("host-2");
    assert_eq!(hosts.get("/hosts?from=host-3"), json!({ "hosts": [expected] }));
    expected["peer"] = json!("127.0.0.1:1");
    expected["http"] = json!("127.0.0.1:2");
    assert_eq!(hosts.get("/hosts?from=host-1"), json!({ "hosts": [expected] }));
}

#[test]
fn the_initial_list_is_read_from_a_file() {
    let path = format!("{}/hosts-{}.json", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    fs::write(&path, json!({ "hosts": [host("host-9")] }).to_string()).unwrap();
    let hosts = standin("hosts", &["--file", &path]);
    assert_eq!(listed_ids(&hosts), ["host-9"]);
    fs::remove_file(&path).unwrap();
}

#[test]
fn a_change_is_visible_only_after_the_lag() {
    let hosts = standin("hosts", &[]);
    set_list(&hosts, &[host("host-1")]);
    hosts.fault(json!({ "lag_ms": HOUR_MS }));
    set_list(&hosts, &[host("host-2")]);
    assert_eq!(listed_ids(&hosts), ["host-1"]);
    assert_eq!(hosts.get("/_standin/hosts")["hosts"][0]["id"], "host-2");
    hosts.fault(json!({}));
    assert_eq!(listed_ids(&hosts), ["host-2"]);
}

#[test]
fn ghosts_are_listed_and_hidden_hosts_are_omitted() {
    let hosts = standin("hosts", &[]);
    set_list(&hosts, &[host("host-1"), host("host-2")]);
    hosts.fault(json!({ "ghosts": [host("host-7"), host("host-1")], "hide": ["host-2"] }));
    assert_eq!(listed_ids(&hosts), ["host-1", "host-7"]);
    hosts.fault(json!({}));
    assert_eq!(listed_ids(&hosts), ["host-1", "host-2"]);
}

#[test]
fn an_outage_returns_503() {
    let hosts = standin("hosts", &[]);
    hosts.fault(json!({ "outage": true }));
    assert_eq!(hosts.status(Method::GET, "/hosts?from=host-1", ""), 503);
}

#[test]
fn invalid_lists_and_faults_are_refused() {
    let hosts = standin("hosts", &[]);
    let twice = json!({ "hosts": [host("host-1"), host("host-1")] }).to_string();
    assert_eq!(hosts.status(Method::PUT, "/_standin/hosts", &twice), 400);
    assert_eq!(hosts.status(Method::PUT, "/_standin/hosts", r#"{"hosts": [{}]}"#), 400);
    assert_eq!(hosts.status(Method::PUT, "/_standin/faults", r#"{"lag": 1}"#), 400);
    assert_eq!(hosts.status(Method::GET, "/hosts?from=HOST", ""), 400);
    assert_eq!(listed_ids(&hosts).len(), 0);
}
