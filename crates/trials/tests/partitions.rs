//! Zones cut off from each other and from the platform, and the log away.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use rstest::rstest;
use skylarkdock_records::service::OnCut;
use skylarkdock_standins::log::faults::{LogFaults, OutageMode};
use skylarkdock_trials::fleet::network::Partition;
use skylarkdock_trials::probes;
use skylarkdock_trials::waiting;
use support::Bench;

#[rstest]
#[case::hold(OnCut::Hold)]
#[case::moves(OnCut::Move)]
fn a_zone_that_is_cut_off_does_no_harm(#[case] on_cut: OnCut) {
    let settings = support::settings(&format!("cut-{on_cut}")).on_cut(on_cut);
    let mut bench = Bench::start(settings);
    let between = Partition::Between { one: vec![0], other: vec![1, 2, 3] };
    let between = bench.fleet.start_partition(between).unwrap();
    let platform = bench.fleet.start_partition(Partition::Platform { hosts: vec![0] }).unwrap();
    bench.await_served();
    bench.fleet.end_partition(between).unwrap();
    bench.fleet.end_partition(platform).unwrap();
    bench.fleet.wait_until_serving().unwrap();
    bench.fleet.wait_until_held().unwrap();
    bench.await_served();
    bench.await_requests(100);
    bench.finish(false);
}

#[test]
fn a_zone_that_is_not_heard_does_no_harm() {
    let mut bench = Bench::start(support::settings("one-way"));
    let one_way = Partition::OneWay { from: vec![1], to: vec![0, 2, 3] };
    let one_way = bench.fleet.start_partition(one_way).unwrap();
    bench.await_served();
    bench.fleet.end_partition(one_way).unwrap();
    bench.fleet.wait_until_held().unwrap();
    bench.await_served();
    bench.finish(false);
}

#[test]
fn a_host_lost_while_the_log_is_away_is_replaced() {
    let mut bench = Bench::start(support::settings("log-away"));
    let outage = OutageMode::Refuse;
    let outage = LogFaults { outage: true, outage_mode: outage, ..LogFaults::default() };
    bench.fleet.set_log_faults(&outage).unwrap();
    bench.fleet.kill_host(1).unwrap();
    bench.await_served();
    bench.fleet.set_log_faults(&LogFaults::default()).unwrap();
    bench.fleet.start_host(1).unwrap();
    bench.fleet.wait_until_held().unwrap();
    bench.await_served();
    bench.finish(false);
}

#[test]
fn a_host_that_can_not_read_the_log_yet_answers_for_no_range() {
    let mut bench = Bench::start(support::settings("starting-host"));
    let held = bench.fleet.range_rows(1).unwrap();
    let held = held.into_iter().find(|row| row.held.is_some()).unwrap().range.index;
    let key = &probes::key_per_range(bench.fleet.ranges())[held.0 as usize];
    let outage = LogFaults { outage: true, ..LogFaults::default() };
    bench.fleet.set_log_faults(&outage).unwrap();
    bench.fleet.kill_host(1).unwrap();
    bench.fleet.start_host(1).unwrap();
    let host_addr = bench.fleet.addresses(0).unwrap().http;
    waiting::until("the key is served again", || {
        let result = support::send_once(&bench.executor, host_addr, key, false);
        assert_ne!(result.reason(), Some("no-service"));
        Ok(support::is_done(&result))
    })
    .unwrap();
    bench.fleet.set_log_faults(&LogFaults::default()).unwrap();
    bench.fleet.wait_until_held().unwrap();
    bench.await_served();
    bench.finish(false);
}
