//! Hosts serve all ranges, and requests survive the kill, suspension or planned stop of a host.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use skylarkdock_httppath::executor::Executor;
use skylarkdock_trials::fleet::Fleet;
use skylarkdock_trials::{probes, waiting};
use skylarkdock_units::times::Millis;
use std::thread;
use support::TrialFleet;

/// Processing time of several grant lifetimes.
const LONG_PROCESSING_TIME_MS: Millis = Millis(2_000);

#[test]
fn each_host_serves_each_range() {
    let trial = TrialFleet::start(support::settings("each-host"));
    for host_addr in trial.fleet.http_addresses() {
        for key in probes::key_per_range(trial.fleet.ranges()) {
            for once_only in [false, true] {
                let result = support::send_once(&trial.executor, host_addr, &key, once_only);
                assert!(support::is_done(&result), "{host_addr} {key} {result:?}");
            }
        }
    }
    trial.finish(true);
}

#[test]
fn killed_host_is_replaced_without_repeated_runs() {
    let mut trial = TrialFleet::start(support::settings("killed-host"));
    trial.fleet.kill_host(1).unwrap();
    trial.wait_until_served();
    trial.fleet.start_host(1).unwrap();
    trial.fleet.wait_until_held().unwrap();
    trial.wait_for_requests(100);
    trial.finish(false);
}

#[test]
fn resumed_host_violates_no_check() {
    let mut trial = TrialFleet::start(support::settings("suspended-host"));
    trial.fleet.suspend_host(2).unwrap();
    trial.wait_until_served();
    trial.wait_for_requests(100);
    trial.fleet.resume_host(2).unwrap();
    trial.wait_for_requests(100);
    trial.fleet.wait_until_held().unwrap();
    trial.finish(false);
}

#[test]
fn planned_stop_of_a_host_interrupts_no_request() {
    let mut trial = TrialFleet::start(support::settings("stopped-host"));
    trial.fleet.terminate_host(0).unwrap();
    trial.fleet.wait_for_host_exit(0).unwrap();
    trial.wait_until_served();
    trial.fleet.start_host(0).unwrap();
    trial.fleet.update_host_list().unwrap();
    trial.fleet.wait_until_held().unwrap();
    trial.wait_for_requests(100);
    trial.finish(true);
}

#[test]
fn requests_that_run_long_complete_during_a_planned_stop_of_a_host() {
    let _fleet_lock = support::lock_fleet();
    let settings = support::settings("long-requests").processing_time(LONG_PROCESSING_TIME_MS);
    let mut fleet = Fleet::start_serving(settings).unwrap();
    let executor = Executor::start("callers", 2).unwrap();
    let host_addr = fleet.http_addresses()[0];
    let keys = probes::key_per_range(fleet.ranges());
    let send = |key: String| {
        let executor = executor.clone();
        thread::spawn(move || support::send_once(&executor, host_addr, &key, true))
    };
    let callers: Vec<_> = keys.into_iter().map(send).collect();
    waiting::until("each upstream is running a request", || {
        let running = fleet
            .running_upstreams()
            .into_iter()
            .map(|index| fleet.upstream_running_requests(index));
        Ok(running.collect::<Result<Vec<_>, _>>()?.into_iter().all(|count| count > 0))
    })
    .unwrap();
    fleet.terminate_host(3).unwrap();
    for caller in callers {
        let result = caller.join().unwrap();
        assert!(support::is_done(&result), "{result:?}");
    }
    fleet.wait_for_host_exit(3).unwrap();
}
