//! Upstreams are drained, suspended, killed, or crashed by a request.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use skylarkdock_outcomes::outcome::Outcome;
use skylarkdock_standins::upstream::faults::UpstreamFaults;
use skylarkdock_trials::history::AttemptResult;
use skylarkdock_trials::waiting;
use std::process::ExitStatus;
use support::TrialFleet;

const SENT_COPIES: usize = 4;
const MAX_CRASHED_UPSTREAMS: usize = 2;
/// Exit status of a stand-in upstream that a request crashed.
const CRASH_EXIT_CODE: i32 = 134;

#[test]
fn draining_upstream_loses_its_ranges_without_interrupting_requests() {
    let mut trial = TrialFleet::start(support::settings("leaving-upstream"));
    trial.fleet.drain_upstream(1).unwrap();
    let id = trial.fleet.upstream_ids()[1].clone();
    waiting::until("no range belongs to the draining upstream", || {
        let rows = trial.fleet.range_rows(0)?;
        Ok(rows.iter().all(|row| row.upstream.as_ref() != Some(&id)))
    })
    .unwrap();
    waiting::until("the draining upstream is idle", || {
        Ok(trial.fleet.upstream_running_requests(1)? == 0)
    })
    .unwrap();
    trial.fleet.kill_upstream(1).unwrap();
    trial.wait_until_served();
    trial.wait_for_requests(100);
    trial.finish(true);
}

#[test]
fn resumed_upstream_violates_no_check() {
    let mut trial = TrialFleet::start(support::settings("suspended-upstream"));
    trial.fleet.suspend_upstream(2).unwrap();
    trial.wait_until_served();
    trial.wait_for_requests(100);
    trial.fleet.resume_upstream(2).unwrap();
    trial.wait_for_requests(100);
    trial.wait_until_served();
    trial.finish(false);
}

#[test]
fn killed_upstream_is_replaced_without_repeated_runs() {
    let mut trial = TrialFleet::start(support::settings("killed-upstream"));
    trial.fleet.kill_upstream(3).unwrap();
    trial.wait_until_served();
    trial.fleet.start_upstream(3).unwrap();
    trial.wait_for_requests(100);
    trial.finish(false);
}

#[test]
fn a_request_that_crashes_upstreams_ends_few_and_is_reported_unknown() {
    let mut trial = TrialFleet::start(support::settings("crashing-request"));
    let faults = UpstreamFaults { crash_on: Some("poison".to_owned()), ..Default::default() };
    for index in trial.fleet.running_upstreams() {
        trial.fleet.set_upstream_faults(index, &faults).unwrap();
    }
    let entries = trial.fleet.http_addresses();
    let send = |copy: usize| {
        support::send_once(&trial.executor, entries[copy % entries.len()], "poison", false)
    };
    let AttemptResult::Answer(first) = send(0) else { panic!("the first copy was not answered") };
    assert_eq!(first.outcome, Some(Outcome::Unknown));
    for copy in 1..SENT_COPIES {
        let answer = send(copy);
        assert!(!support::is_done(&answer), "{answer:?}");
    }
    // An upstream that does not answer in time may be busy only, so the processes show which have crashed.
    let mut ended: Vec<ExitStatus> = Vec::new();
    for index in trial.fleet.running_upstreams() {
        if let Some(status) = trial.fleet.upstream_exit_status(index).unwrap() {
            ended.push(status);
            continue;
        }
        waiting::until("an upstream that has not ended answers", || {
            Ok(trial.fleet.upstream_running_requests(index).is_ok())
        })
        .unwrap();
    }
    assert!((1..=MAX_CRASHED_UPSTREAMS).contains(&ended.len()), "{ended:?}");
    assert!(ended.iter().all(|status| status.code() == Some(CRASH_EXIT_CODE)), "{ended:?}");
    // The run histories of crashed upstreams are lost, so the histories are not checked.
    trial.wait_until_served();
}
