//! Hosts that serve, are lost, and stop.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use skylarkdock_httppath::executor::Executor;
use skylarkdock_trials::fleet::Fleet;
use skylarkdock_trials::{probes, waiting};
use skylarkdock_units::times::Millis;
use std::thread;
use support::Bench;

/// Several times as long as a grant lasts.
const LONG_WORK_MS: Millis = Millis(2_000);

#[test]
fn each_host_serves_each_range() {
    let bench = Bench::start(support::settings("each-host"));
    for host_addr in bench.fleet.http_addresses() {
        for key in probes::key_per_range(bench.fleet.ranges()) {
            for once_only in [false, true] {
                let result = support::send_once(&bench.executor, host_addr, &key, once_only);
                assert!(support::is_done(&result), "{host_addr} {key} {result:?}");
            }
        }
    }
    bench.finish(true);
}

#[test]
fn a_killed_host_is_replaced_and_nothing_runs_twice() {
    let mut bench = Bench::start(support::settings("killed-host"));
    bench.fleet.kill_host(1).unwrap();
    bench.await_served();
    bench.fleet.start_host(1).unwrap();
    bench.fleet.wait_until_held().unwrap();
    bench.await_requests(100);
    bench.finish(false);
}

#[test]
fn a_suspended_host_that_goes_on_does_no_harm() {
    let mut bench = Bench::start(support::settings("suspended-host"));
    bench.fleet.suspend_host(2).unwrap();
    bench.await_served();
    bench.await_requests(100);
    bench.fleet.resume_host(2).unwrap();
    bench.await_requests(100);
    bench.fleet.wait_until_held().unwrap();
    bench.finish(false);
}

#[test]
fn a_host_that_stops_cuts_nothing() {
    let mut bench = Bench::start(support::settings("stopped-host"));
    bench.fleet.terminate_host(0).unwrap();
    bench.fleet.wait_for_host_exit(0).unwrap();
    bench.await_served();
    bench.fleet.start_host(0).unwrap();
    bench.fleet.update_host_list().unwrap();
    bench.fleet.wait_until_held().unwrap();
    bench.await_requests(100);
    bench.finish(true);
}

#[test]
fn requests_that_run_long_outlast_the_stop_of_any_member() {
    let _alone = support::alone();
    let settings = support::settings("long-requests").processing_time(LONG_WORK_MS);
    let mut fleet = Fleet::start_serving(settings).unwrap();
    let executor = Executor::start("callers", 2).unwrap();
    let host_addr = fleet.http_addresses()[0];
    let keys = probes::key_per_range(fleet.ranges());
    let send = |key: String| {
        let executor = executor.clone();
        thread::spawn(move || support::send_once(&executor, host_addr, &key, true))
    };
    let callers: Vec<_> = keys.into_iter().map(send).collect();
    waiting::until("each upstream is at work", || {
        let busy = fleet
            .running_upstreams()
            .into_iter()
            .map(|index| fleet.upstream_running_requests(index));
        Ok(busy.collect::<Result<Vec<_>, _>>()?.into_iter().all(|count| count > 0))
    })
    .unwrap();
    fleet.terminate_host(3).unwrap();
    for caller in callers {
        let result = caller.join().unwrap();
        assert!(support::is_done(&result), "{result:?}");
    }
    fleet.wait_for_host_exit(3).unwrap();
}
