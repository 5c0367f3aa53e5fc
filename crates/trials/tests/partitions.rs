//! Zones are cut off from each other and from the platform, or the log is unavailable.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use rstest::rstest;
use skylarkdock_records::service::OnCut;
use skylarkdock_standins::log::faults::{LogFaults, OutageMode};
use skylarkdock_trials::fleet::network::Partition;
use skylarkdock_trials::probes;
use skylarkdock_trials::waiting;
use std::io::{Read, Write};
use std::net::TcpStream;
use support::TrialFleet;

#[rstest]
#[case::hold_ranges(OnCut::Hold)]
#[case::move_ranges(OnCut::Move)]
fn zone_cut_off_from_hosts_and_platform_violates_no_check(#[case] on_cut: OnCut) {
    let settings = support::settings(&format!("cut-{on_cut}")).on_cut(on_cut);
    let mut trial = TrialFleet::start(settings);
    let between = Partition::Between { one: vec![0], other: vec![1, 2, 3] };
    let between = trial.fleet.start_partition(between).unwrap();
    let platform = trial.fleet.start_partition(Partition::Platform { hosts: vec![0] }).unwrap();
    trial.wait_until_served();
    trial.fleet.end_partition(between).unwrap();
    trial.fleet.end_partition(platform).unwrap();
    trial.fleet.wait_until_serving().unwrap();
    trial.fleet.wait_until_held().unwrap();
    trial.wait_until_served();
    trial.wait_for_requests(100);
    trial.finish(false);
}

#[test]
fn zone_whose_messages_are_lost_violates_no_check() {
    let mut trial = TrialFleet::start(support::settings("one-way"));
    let one_way = Partition::OneWay { from: vec![1], to: vec![0, 2, 3] };
    let one_way = trial.fleet.start_partition(one_way).unwrap();
    trial.wait_until_served();
    trial.fleet.end_partition(one_way).unwrap();
    trial.fleet.wait_until_held().unwrap();
    trial.wait_until_served();
    trial.finish(false);
}

#[test]
fn host_killed_during_a_log_outage_is_replaced() {
    let mut trial = TrialFleet::start(support::settings("log-outage"));
    let outage_mode = OutageMode::Refuse;
    let outage = LogFaults { outage: true, outage_mode, ..LogFaults::default() };
    trial.fleet.set_log_faults(&outage).unwrap();
    trial.fleet.kill_host(1).unwrap();
    trial.wait_until_served();
    trial.fleet.set_log_faults(&LogFaults::default()).unwrap();
    trial.fleet.start_host(1).unwrap();
    trial.fleet.wait_until_held().unwrap();
    trial.wait_until_served();
    trial.finish(false);
}

#[test]
fn host_restarted_during_a_log_outage_answers_for_no_range() {
    let mut trial = TrialFleet::start(support::settings("starting-host"));
    let rows = trial.fleet.range_rows(1).unwrap();
    let held_range = rows.into_iter().find(|row| row.held.is_some()).unwrap().range.index;
    let key = &probes::key_per_range(trial.fleet.ranges())[held_range.0 as usize];
    let outage = LogFaults { outage: true, ..LogFaults::default() };
    trial.fleet.set_log_faults(&outage).unwrap();
    trial.fleet.kill_host(1).unwrap();
    trial.fleet.start_host(1).unwrap();
    let host_addr = trial.fleet.addresses(0).unwrap().http;
    waiting::until("the key is served again", || {
        let result = support::send_once(&trial.executor, host_addr, key, false);
        assert_ne!(result.reason(), Some("no-service"));
        Ok(support::is_done(&result))
    })
    .unwrap();
    trial.fleet.set_log_faults(&LogFaults::default()).unwrap();
    trial.fleet.wait_until_held().unwrap();
    trial.wait_until_served();
    trial.finish(false);
}

/// Guards against a 404 for a service that a host may lack because it can't read the log.
#[test]
fn no_service_is_called_absent_during_a_log_outage() {
    let trial = TrialFleet::start(support::settings("absent-service"));
    let host_addr = trial.fleet.addresses(0).unwrap().http;
    let status = || {
        let (mut stream, mut answer) = (TcpStream::connect(host_addr).unwrap(), [0; 12]);
        let request = "GET /absent/k HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).unwrap();
        stream.read_exact(&mut answer).unwrap();
        String::from_utf8_lossy(&answer[9..]).into_owned()
    };
    waiting::until("it is known to be absent", || Ok(status() == "404")).unwrap();
    trial.fleet.set_log_faults(&LogFaults { outage: true, ..LogFaults::default() }).unwrap();
    waiting::until("it may exist", || Ok(status() == "503")).unwrap();
    trial.fleet.set_log_faults(&LogFaults::default()).unwrap();
    waiting::until("it is known to be absent again", || Ok(status() == "404")).unwrap();
    trial.finish(false);
}
