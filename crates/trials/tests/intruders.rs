//! Hosts with another secret, malformed bytes and malformed records.

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
use support::Bench;

const REFUSED: &str = "skylarkdock_peer_refused_total";
const SPARE: usize = 4;

/// Returns how many peers a host has refused.
fn refused(fleet: &Fleet, host: usize) -> f64 {
    let addr = fleet.addresses(host).unwrap().http;
    let req = client::request(Method::GET, "/metrics", "");
    let res = fleet.client().begin(addr, req).wait().unwrap();
    let text = String::from_utf8(res.body().to_vec()).unwrap();
    let line = text.lines().find(|line| line.starts_with(REFUSED));
    line.map_or(0.0, |line| line.rsplit(' ').next().unwrap().parse().unwrap())
}

#[test]
fn a_host_with_another_secret_is_refused() {
    let bench = Bench::start(support::settings("another-secret").spare_hosts(1));
    let launch = bench.fleet.launch_host(SPARE, "secret-of-another-fleet").unwrap();
    let mut intruder = launch.start().unwrap();
    waiting::until("a host refuses it", || Ok(refused(&bench.fleet, 0) > 0.0)).unwrap();
    bench.await_requests(100);
    let id = bench.fleet.host_id(SPARE);
    for host in bench.fleet.running_hosts() {
        let rows = bench.fleet.host_rows(host).unwrap();
        let live = |state| state == HostState::Live;
        assert!(!rows.iter().any(|row| row.member.host == *id && live(row.state)));
        let ranges = bench.fleet.range_rows(host).unwrap();
        let members = ranges.iter().flat_map(|row| &row.members);
        assert!(members.into_iter().all(|member| member.host != *id));
    }
    assert!(intruder.ended().unwrap().is_none());
    drop(intruder);
    bench.finish(true);
}

#[test]
fn malformed_bytes_leave_a_host_up() {
    let mut bench = Bench::start(support::settings("malformed-bytes"));
    let peer = bench.fleet.addresses(0).unwrap().peer;
    let mut rng = fastrand::Rng::with_seed(7);
    let noise: Vec<u8> = (0..70_000).map(|_| rng.u8(..)).collect();
    let mut short = vec![0, 40];
    short.extend_from_slice(&noise[..40]);
    for bytes in [&[][..], &[0xff, 0xff], &[0, 0], &short, b"GET / HTTP/1.1\r\n\r\n", &noise] {
        let mut stream = TcpStream::connect(peer).unwrap();
        // The host may close before it has read all.
        let _ = stream.write_all(bytes);
    }
    waiting::until("the host refuses them", || Ok(refused(&bench.fleet, 0) >= 3.0)).unwrap();
    assert!(!bench.fleet.host_has_exited(0).unwrap());
    bench.await_served();
    bench.finish(true);
}

#[test]
fn malformed_records_leave_all_hosts_up() {
    let mut bench = Bench::start(support::settings("malformed-records"));
    let huge = "[".repeat(100_000);
    let wrong = r#"{"id":"6f2c1d9e-3c1f-4a52-9a55-1f0f6a1f2b3c","by":"x","at":-1,"body":{}}"#;
    let mut last = Offset(0);
    for record in ["", "no JSON", "null", "[]", "{}", wrong, &huge, "\u{0}\u{fffd}"] {
        last = Offset(bench.fleet.append_to_log(record).unwrap());
    }
    for host in bench.fleet.running_hosts() {
        bench.fleet.wait_until_applied(host, last).unwrap();
        assert!(!bench.fleet.host_has_exited(host).unwrap());
    }
    assert!(bench.fleet.publish_through(2, 9_000).unwrap() > last);
    bench.await_served();
    bench.finish(true);
}
