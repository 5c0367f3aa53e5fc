//! Admission of requests and the history of runs, in this process and with simulated time.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use rstest::rstest;
use skylarkdock_standins::upstream::admission::{
    AdmissionController, AdmissionSettings, IncomingRequest, RefusalReason,
};
use skylarkdock_standins::upstream::grants::{FencedRange, GrantRequest};
use skylarkdock_standins::upstream::runs::{Outcome, RequestInfo};
use skylarkdock_units::ids::RangeIndex;
use skylarkdock_units::times::{HostTime, Millis};

const NOW: HostTime = HostTime(1000);

fn controller(slots: usize) -> AdmissionController {
    AdmissionController::new(AdmissionSettings { slots, checks_orders: true, keep_runs: 3 })
}

fn fenced_range(range: u32, token: &str) -> FencedRange {
    FencedRange { range: RangeIndex(range), token: token.parse().unwrap() }
}

fn grant_request(grants: &[FencedRange], withdraw: &[FencedRange], until: u64) -> GrantRequest {
    GrantRequest {
        service: "orders".parse().unwrap(),
        grants: grants.to_vec(),
        until_ms: HostTime(until),
        withdraw: withdraw.to_vec(),
    }
}

fn incoming_request(id: &str, range: u32, token: &str) -> IncomingRequest {
    let work = RequestInfo {
        request_id: id.to_owned(),
        key: "key-1".to_owned(),
        range: Some(RangeIndex(range)),
        token: Some(token.parse().unwrap()),
    };
    IncomingRequest { work, deadline: None }
}

#[test]
fn only_ranges_with_a_valid_grant_are_served() {
    let mut controller = controller(6);
    controller.apply(NOW, &grant_request(&[fenced_range(7, "42.0")], &[], 2000));
    assert!(controller.start(HostTime(1999), incoming_request("a", 7, "42.0")).is_ok());
    assert_eq!(
        controller.start(HostTime(2000), incoming_request("a", 7, "42.0")).unwrap_err(),
        RefusalReason::Grant
    );
    assert_eq!(
        controller.start(NOW, incoming_request("a", 8, "42.0")).unwrap_err(),
        RefusalReason::Grant
    );
}

#[test]
fn a_newer_token_fences_the_older_one() {
    let mut controller = controller(6);
    controller.apply(NOW, &grant_request(&[fenced_range(7, "42.0")], &[], 2000));
    controller.apply(NOW, &grant_request(&[fenced_range(7, "42.1")], &[], 2000));
    assert_eq!(
        controller.start(NOW, incoming_request("a", 7, "42.0")).unwrap_err(),
        RefusalReason::Token
    );
    assert!(controller.start(NOW, incoming_request("a", 7, "42.1")).is_ok());
    assert_eq!(
        controller.apply(NOW, &grant_request(&[fenced_range(7, "42.0")], &[], 3000)),
        [fenced_range(7, "42.1")]
    );
    // A request's token raises the highest token seen, even if no grant covers the request.
    assert_eq!(
        controller.start(NOW, incoming_request("a", 7, "50.0")).unwrap_err(),
        RefusalReason::Grant
    );
    assert_eq!(
        controller.start(NOW, incoming_request("a", 7, "42.1")).unwrap_err(),
        RefusalReason::Token
    );
}

#[test]
fn a_renewal_that_arrives_late_does_not_shorten_the_grant() {
    let mut controller = controller(6);
    controller.apply(NOW, &grant_request(&[fenced_range(7, "42.0")], &[], 3000));
    controller.apply(NOW, &grant_request(&[fenced_range(7, "42.0")], &[], 2000));
    assert!(controller.start(HostTime(2500), incoming_request("a", 7, "42.0")).is_ok());
}

#[test]
fn a_withdrawal_ends_the_grant_and_reports_ranges_with_running_requests() {
    let mut controller = controller(6);
    controller
        .apply(NOW, &grant_request(&[fenced_range(7, "42.0"), fenced_range(8, "42.0")], &[], 2000));
    let (run, _) = controller.start(NOW, incoming_request("a", 7, "42.0")).unwrap();
    let withdrawal = grant_request(&[], &[fenced_range(7, "42.0"), fenced_range(8, "42.0")], 0);
    controller.apply(NOW, &withdrawal);
    assert_eq!(controller.still_running(&withdrawal), [RangeIndex(7)]);
    assert_eq!(
        controller.start(NOW, incoming_request("b", 7, "42.0")).unwrap_err(),
        RefusalReason::Grant
    );
    controller.end(NOW, run, Outcome::Completed);
    assert!(controller.still_running(&withdrawal).is_empty());
}

#[test]
fn an_older_owner_does_not_withdraw_a_newer_grant() {
    let mut controller = controller(6);
    controller.apply(NOW, &grant_request(&[fenced_range(7, "44.0")], &[], 2000));
    let (_, run) = controller.start(NOW, incoming_request("a", 7, "44.0")).unwrap();
    let withdrawal = grant_request(&[], &[fenced_range(7, "42.0")], 0);
    controller.apply(NOW, &withdrawal);
    assert_eq!(run, 1);
    assert!(controller.still_running(&withdrawal).is_empty());
    assert!(controller.start(NOW, incoming_request("b", 7, "44.0")).is_ok());
}

#[test]
fn requests_without_a_free_slot_are_shed() {
    let mut controller = controller(1);
    controller.apply(NOW, &grant_request(&[fenced_range(7, "42.0")], &[], 2000));
    let (run, _) = controller.start(NOW, incoming_request("a", 7, "42.0")).unwrap();
    assert_eq!(
        controller.start(NOW, incoming_request("b", 7, "42.0")).unwrap_err(),
        RefusalReason::Shed
    );
    controller.end(NOW, run, Outcome::Cancelled);
    assert!(controller.start(NOW, incoming_request("b", 7, "42.0")).is_ok());
    assert_eq!(controller.refused().shed, 1);
}

#[rstest]
#[case::passed(999, Some(RefusalReason::Deadline))]
#[case::now(1000, Some(RefusalReason::Deadline))]
#[case::ahead(1001, None)]
fn a_request_past_its_deadline_is_refused(
    #[case] deadline: u64,
    #[case] refused: Option<RefusalReason>,
) {
    let mut controller = controller(6);
    controller.apply(NOW, &grant_request(&[fenced_range(7, "42.0")], &[], 2000));
    let mut request = incoming_request("a", 7, "42.0");
    request.deadline = Some(HostTime(deadline));
    assert_eq!(controller.start(NOW, request).err(), refused);
}

#[test]
fn a_draining_upstream_is_drained_when_no_request_is_running() {
    let mut controller = controller(6);
    controller.apply(NOW, &grant_request(&[fenced_range(7, "42.0")], &[], 2000));
    let (run, _) = controller.start(NOW, incoming_request("a", 7, "42.0")).unwrap();
    controller.drain(NOW);
    assert_eq!(
        controller.start(NOW, incoming_request("b", 7, "42.0")).unwrap_err(),
        RefusalReason::Drain
    );
    assert!(!controller.is_drained());
    controller.end(NOW, run, Outcome::Completed);
    assert!(controller.is_drained());
}

#[test]
fn the_reported_status_is_delayed_by_the_lag() {
    let mut controller = controller(6);
    controller.apply(NOW, &grant_request(&[fenced_range(7, "42.0")], &[], 9000));
    controller.set_faults(NOW, Millis(100), false);
    controller.start(HostTime(1000), incoming_request("a", 7, "42.0")).unwrap();
    controller.start(HostTime(1050), incoming_request("b", 7, "42.0")).unwrap();
    let busy: Vec<usize> =
        [1099, 1100, 1149, 1150].map(|at| controller.status(HostTime(at)).busy).to_vec();
    assert_eq!(busy, [0, 1, 1, 2]);
}

#[test]
fn runs_are_counted_per_request_id_and_retained_up_to_a_limit() {
    let mut controller = controller(6);
    controller.apply(NOW, &grant_request(&[fenced_range(7, "42.0")], &[], 9000));
    for at in 1001..=1005 {
        let (run, count) =
            controller.start(HostTime(at), incoming_request("a", 7, "42.0")).unwrap();
        assert_eq!(count, at - 1000);
        controller.end(HostTime(at), run, Outcome::Completed);
    }
    let page = controller.runs().page(1, 10);
    let retained: Vec<u64> = page.runs.iter().map(|run| run.seq).collect();
    assert_eq!((page.oldest, page.next, retained), (3, 6, vec![3, 4, 5]));
    assert_eq!(controller.runs().page(4, 1).next, 5);
    assert_eq!(controller.runs().page(6, 10).next, 6);
}

#[test]
fn an_interval_covers_overlapping_requests_of_a_key() {
    let mut controller = controller(6);
    controller.apply(NOW, &grant_request(&[fenced_range(7, "42.0")], &[], 9000));
    let mut start =
        |at| controller.start(HostTime(at), incoming_request("a", 7, "42.0")).unwrap().0;
    let (first, second) = (start(1000), start(1010));
    controller.end(HostTime(1020), first, Outcome::Completed);
    controller.end(HostTime(1030), second, Outcome::Cancelled);
    controller.start(HostTime(1050), incoming_request("c", 7, "42.0")).unwrap();
    let intervals = controller.runs().intervals();
    let bounds: Vec<_> =
        intervals.iter().map(|interval| (interval.start_ms.0, interval.end_ms)).collect();
    assert_eq!(bounds, [(1000, Some(HostTime(1030))), (1050, None)]);
}

#[test]
fn a_run_is_cancelled_when_its_grant_expires() {
    let mut controller = controller(2);
    controller.apply(NOW, &grant_request(&[fenced_range(7, "42.0")], &[], 2000));
    let (run, _) = controller.start(NOW, incoming_request("a", 7, "42.0")).unwrap();
    controller.apply(NOW, &grant_request(&[fenced_range(7, "42.0")], &[], 3000));
    controller.apply(NOW, &grant_request(&[], &[fenced_range(7, "42.0")], 0));
    controller.cancel_expired(HostTime(2999));
    assert_eq!(controller.runs().running_count(), 1);
    assert!(!controller.end(HostTime(3500), run, Outcome::Completed));
    let page = controller.runs().page(1, 10);
    let ended = &page.runs[0];
    assert_eq!((ended.end_ms, ended.outcome), (HostTime(3000), Outcome::Cancelled));
}
