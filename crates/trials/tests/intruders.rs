//! Hosts reject a peer with another fleet's secret, malformed bytes and malformed records, and keep running.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use http::Method;
use skylarkdock_admin::hosts::HostState;
use skylarkdock_standins::client;
use skylarkdock_trials::fleet::Fleet;
use skylarkdock_trials::waiting;
use skylarkdock_units::ids::Offset;
use std::io::Write;
use std::net::TcpStream;
use support::TrialFleet;

const REFUSED_PEERS_METRIC: &str = "skylarkdock_peer_refused_total";
const SPARE_HOST: usize = 4;

/// Returns the number of peer connections that a host has refused, from its metrics.
fn refused_peers(fleet: &Fleet, host: usize) -> f64 {
    let addr = fleet.addresses(host).unwrap().http;
    let req = client::request(Method::GET, "/metrics", "");
    let res = fleet.client().begin(addr, req).wait().unwrap();
    let text = String::from_utf8(res.body().to_vec()).unwrap();
    let line = text.lines().find(|line| line.starts_with(REFUSED_PEERS_METRIC));
    line.map_or(0.0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}

#[test]
fn host_with_another_secret_is_refused() {
    let trial = TrialFleet::start(support::settings("another-secret").spare_hosts(1));
    let launch = trial.fleet.launch_host(SPARE_HOST, "secret-of-another-fleet").unwrap();
    let mut intruder = launch.start().unwrap();
    waiting::until("a host refuses the intruder", || Ok(refused_peers(&trial.fleet, 0) > 0.0))
        .unwrap();
    trial.wait_for_requests(100);
    let id = trial.fleet.host_id(SPARE_HOST);
    for host in trial.fleet.running_hosts() {
        let rows = trial.fleet.host_rows(host).unwrap();
        let is_live = |state| state == HostState::Live;
        assert!(!rows.iter().any(|row| row.member.host == *id && is_live(row.state)));
        let ranges = trial.fleet.range_rows(host).unwrap();
        let members = ranges.iter().flat_map(|row| &row.members);
        assert!(members.into_iter().all(|member| member.host != *id));
    }
    assert!(intruder.ended().unwrap().is_none());
    drop(intruder);
    trial.finish(true);
}

#[test]
fn host_survives_malformed_bytes() {
    let mut trial = TrialFleet::start(support::settings("malformed-bytes"));
    let peer = trial.fleet.addresses(0).unwrap().peer;
    let mut rng = fastrand::Rng::with_seed(7);
    let random_bytes: Vec<u8> = (0..70_000).map(|_| rng.u8(..)).collect();
    let mut invalid_frame = vec![0, 40];
    invalid_frame.extend_from_slice(&random_bytes[..40]);
    for bytes in
        [&[][..], &[0xff, 0xff], &[0, 0], &invalid_frame, b"GET / HTTP/1.1\r\n\r\n", &random_bytes]
    {
        let mut stream = TcpStream::connect(peer).unwrap();
        // The host may close the connection before it has read all bytes.
        let _ = stream.write_all(bytes);
    }
    waiting::until("the host refuses the malformed connections", || {
        Ok(refused_peers(&trial.fleet, 0) >= 3.0)
    })
    .unwrap();
    assert!(!trial.fleet.host_has_exited(0).unwrap());
    trial.wait_until_served();
    trial.finish(true);
}

#[test]
fn hosts_survive_malformed_records() {
    let mut trial = TrialFleet::start(support::settings("malformed-records"));
    let deeply_nested = "[".repeat(100_000);
    let invalid_record =
        r#"{"id":"6f2c1d9e-3c1f-4a52-9a55-1f0f6a1f2b3c","by":"x","at":-1,"body":{}}"#;
    let mut last_offset = Offset(0);
    for record in
        ["", "no JSON", "null", "[]", "{}", invalid_record, &deeply_nested, "\u{0}\u{fffd}"]
    {
        last_offset = Offset(trial.fleet.append_to_log(record).unwrap());
    }
    for host in trial.fleet.running_hosts() {
        trial.fleet.wait_until_applied(host, last_offset).unwrap();
        assert!(!trial.fleet.host_has_exited(host).unwrap());
    }
    assert!(trial.fleet.publish_through(2, 9_000).unwrap() > last_offset);
    trial.wait_until_served();
    trial.finish(true);
}
