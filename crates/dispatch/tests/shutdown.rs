//! What a host that was told to stop still sends, and when it exits.

use rstest::rstest;
use skylarkdock_dispatch::routes::Idempotency::{self, Idempotent, Once};
use skylarkdock_dispatch::shutdown::{RequestTimes, Shutdown};
use skylarkdock_units::times::{HostTime, Millis};

const TOLD_AT: HostTime = HostTime(1_000_000);
/// Longer than any grace period here.
const LONG: Millis = Millis(60_000);

fn request(idempotency: Idempotency, objective: u64, arrived: HostTime) -> RequestTimes {
    RequestTimes { idempotency, arrived, objective: Millis(objective), deadline: arrived + LONG }
}

/// Returns how long after the signal the last request arrives that is sent at once.
fn last_arrival(grace: Millis, idempotency: Idempotency, objective: u64, expected: u64) -> u64 {
    let shutdown = Shutdown::new(TOLD_AT, grace);
    let is_sent = |after: &u64| {
        let arrived = TOLD_AT + Millis(*after);
        let req = request(idempotency, objective, arrived);
        shutdown.may_send(&req, Millis(expected), arrived)
    };
    (0..grace.0).rfind(is_sent).unwrap_or_default()
}

/// Guards against refusing callers that the load balancer still sends, although their requests would be answered, and
/// against sending those that a slow answer cuts.
#[rstest]
#[case::short_reads(Idempotent, 300, 90, 2_879, 4_799)]
#[case::short_orders(Once, 400, 120, 2_879, 4_799)]
#[case::reads(Idempotent, 600, 220, 2_879, 4_799)]
#[case::orders(Once, 800, 290, 2_879, 4_799)]
#[case::long_reads(Idempotent, 2_500, 880, 1_979, 2_459)]
#[case::long_orders(Once, 2_500, 880, 0, 2_459)]
#[case::very_long_reads(Idempotent, 6_000, 2_500, 0, 0)]
fn requests_are_sent_until(
    #[case] idempotency: Idempotency,
    #[case] objective: u64,
    #[case] expected: u64,
    #[case] at_6_s: u64,
    #[case] at_10_s: u64,
) {
    assert_eq!(last_arrival(Millis(6_000), idempotency, objective, expected), at_6_s);
    assert_eq!(last_arrival(Millis(10_000), idempotency, objective, expected), at_10_s);
}

/// Its caller has an answer before the host ends, whatever the upstream does.
#[rstest]
fn a_request_whose_time_ends_before_the_exit_is_sent(
    #[values(Idempotent, Once)] idempotency: Idempotency,
) {
    let shutdown = Shutdown::new(TOLD_AT, Millis(6_000));
    let arrived = TOLD_AT + Millis(1_000);
    let deadline = shutdown.final_answers_at();
    let req = RequestTimes { deadline, ..request(idempotency, 10_000, arrived) };
    assert!(shutdown.may_send(&req, Millis(10_000), arrived));
    assert!(!shutdown.may_send(&req, Millis(10_000), deadline));
    let longer = RequestTimes { deadline: deadline + Millis(1), ..req };
    assert!(!shutdown.may_send(&longer, Millis(10_000), arrived));
}

/// Guards against a request that waits, or is to be repeated, and is sent in the last second.
#[test]
fn an_early_request_is_not_sent_late() {
    let shutdown = Shutdown::new(TOLD_AT, Millis(10_000));
    for idempotency in [Idempotent, Once] {
        let req = request(idempotency, 500, TOLD_AT);
        let latest = shutdown.latest_send(&req, Millis(200));
        assert_eq!(latest + Millis(1_600), shutdown.final_answers_at());
        assert!(shutdown.may_send(&req, Millis(200), HostTime(latest.0 - 1)));
        assert!(!shutdown.may_send(&req, Millis(200), latest));
    }
}

/// Answers that are written at the exit are lost.
#[rstest]
fn final_answers_come_before_the_exit_and_that_before_the_end_of_the_grace_period(
    #[values(3_000, 6_000, 10_000)] grace: u64,
) {
    let shutdown = Shutdown::new(TOLD_AT, Millis(grace));
    assert!(shutdown.final_answers_at() < shutdown.exit_at());
    assert!(shutdown.exit_at() < TOLD_AT + Millis(grace));
    // A request that may still be answered is not given up before the last sixth of the grace period.
    assert!(shutdown.final_answers_at() >= TOLD_AT + Millis(grace * 5 / 6));
}

#[test]
fn a_host_exits_once_it_is_idle_and_the_load_balancer_has_noticed() {
    let shutdown = Shutdown::new(TOLD_AT, Millis(6_000));
    let at = |ms: u64| TOLD_AT + Millis(ms);
    assert!(!shutdown.may_exit(TOLD_AT, at(2_399)));
    assert!(shutdown.may_exit(TOLD_AT, at(2_400)));
    assert!(!shutdown.may_exit(at(2_300), at(2_400)));
    assert!(!shutdown.may_exit(at(5_699), at(5_699)));
    assert!(shutdown.may_exit(at(5_700), at(5_700)));
}
