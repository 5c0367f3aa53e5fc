//! Upstreams that leave, freeze and crash.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_standins::upstream::faults::UpstreamFaults;
use skylarkdock_trials::history::AttemptResult;
use skylarkdock_trials::waiting;
use support::Bench;

const COPIES: usize = 4;
const MOST_CRASHED: usize = 2;

#[test]
fn a_leaving_upstream_loses_its_ranges_and_cuts_nothing() {
    let mut bench = Bench::start(support::settings("leaving-upstream"));
    bench.fleet.drain_upstream(1).unwrap();
    let id = bench.fleet.upstream_ids()[1].clone();
    waiting::until("no range belongs to the leaving upstream", || {
        let rows = bench.fleet.range_rows(0)?;
        Ok(rows.iter().all(|row| row.upstream.as_ref() != Some(&id)))
    })
    .unwrap();
    waiting::until("it is idle", || Ok(bench.fleet.upstream_running_requests(1)? == 0)).unwrap();
    bench.fleet.kill_upstream(1).unwrap();
    bench.await_served();
    bench.await_requests(100);
    bench.finish(true);
}

#[test]
fn a_suspended_upstream_that_goes_on_does_no_harm() {
    let mut bench = Bench::start(support::settings("suspended-upstream"));
    bench.fleet.suspend_upstream(2).unwrap();
    bench.await_served();
    bench.await_requests(100);
    bench.fleet.resume_upstream(2).unwrap();
    bench.await_requests(100);
    bench.await_served();
    bench.finish(false);
}

#[test]
fn a_killed_upstream_is_replaced_and_nothing_runs_twice() {
    let mut bench = Bench::start(support::settings("killed-upstream"));
    bench.fleet.kill_upstream(3).unwrap();
    bench.await_served();
    bench.fleet.start_upstream(3).unwrap();
    bench.await_requests(100);
    bench.finish(false);
}

#[test]
fn a_request_that_crashes_upstreams_takes_few_with_it_and_is_never_called_unrun() {
    let bench = Bench::start(support::settings("crashing-request"));
    let faults = UpstreamFaults { crash_on: Some("poison".to_owned()), ..Default::default() };
    for index in bench.fleet.running_upstreams() {
        bench.fleet.set_upstream_faults(index, &faults).unwrap();
    }
    let before = bench.fleet.running_upstreams().len();
    let entries = bench.fleet.http_addresses();
    let send = |copy: usize| {
        support::send_once(&bench.executor, entries[copy % entries.len()], "poison", false)
    };
    let AttemptResult::Answer(first) = send(0) else { panic!("the first copy was not answered") };
    assert_eq!(first.outcome, Some(Outcome::Unknown));
    for copy in 1..COPIES {
        let answer = send(copy);
        assert!(!support::is_done(&answer), "{answer:?}");
    }
    let alive = bench.fleet.running_upstreams();
    let answering =
        alive.iter().filter(|index| bench.fleet.upstream_running_requests(**index).is_ok());
    assert!(before - answering.count() <= MOST_CRASHED);
    // What the crashed upstreams ran is gone with them, so the histories are not checked.
    bench.await_served();
}
