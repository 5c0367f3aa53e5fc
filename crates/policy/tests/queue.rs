//! Order, capacity, deadlines and fairness of the request queue.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use skylarkdock_policy::queue::{CallerId, Job, Offer, Priority, Queue, RefusalReason, Slots};
use skylarkdock_policy::service_time::ServiceTime;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeSet;

const SEED: u64 = 11;
const NO_FREE_SLOT: Slots = Slots { limit: 2, free: 0 };

fn config() -> Config {
    Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() }
}

fn queue(max: usize) -> Queue<u32> {
    Queue::new(max, ServiceTime::from_mean(Millis(10)))
}

fn job(caller: u64, priority: Priority, deadline: u64, item: u32) -> Job<u32> {
    Job { caller: CallerId(caller), priority, deadline: HostTime(deadline), item }
}

fn dequeue_all(queue: &mut Queue<u32>) -> Vec<u32> {
    std::iter::from_fn(|| queue.next(HostTime(0)).job).map(|job| job.item).collect()
}

#[test]
fn urgent_classes_go_first_and_callers_take_turns() {
    let mut queue = queue(10);
    let offers = [(1, Priority::Bulk), (1, Priority::Interactive), (1, Priority::Interactive)];
    let others = [(2, Priority::Interactive), (3, Priority::Critical)];
    for (item, (caller, class)) in (0..).zip(offers.into_iter().chain(others)) {
        queue.offer(job(caller, class, 1000, item), NO_FREE_SLOT, HostTime(0));
    }
    assert_eq!(dequeue_all(&mut queue), [4, 1, 3, 2, 0]);
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut queue = queue(10);
    for item in 0..4 {
        queue.offer(job(1, Priority::Interactive, 1000, item), NO_FREE_SLOT, HostTime(0));
    }
    let too_late = queue.offer(job(1, Priority::Interactive, 34, 9), NO_FREE_SLOT, HostTime(0));
    let Offer::Refused(refused) = too_late else { panic!("{too_late:?}") };
    assert_eq!((refused.reason, refused.retry_after), (RefusalReason::Deadline, Millis(25)));
    let in_time = queue.offer(job(1, Priority::Interactive, 35, 9), NO_FREE_SLOT, HostTime(0));
    assert!(matches!(in_time, Offer::Queued { .. }));
    let urgent = queue.offer(job(1, Priority::Critical, 15, 9), NO_FREE_SLOT, HostTime(0));
    assert!(matches!(urgent, Offer::Queued { .. }));
}

#[test]
fn a_full_queue_sheds_the_lowest_class() {
    let mut queue = queue(2);
    queue.offer(job(1, Priority::Bulk, 1000, 0), NO_FREE_SLOT, HostTime(0));
    queue.offer(job(1, Priority::Interactive, 1000, 1), NO_FREE_SLOT, HostTime(0));
    let offer = queue.offer(job(2, Priority::Critical, 1000, 2), NO_FREE_SLOT, HostTime(0));
    let Offer::Queued { shed: Some(shed), .. } = offer else { panic!("{offer:?}") };
    assert_eq!((shed.job.item, shed.reason), (0, RefusalReason::Shed));
    let bulk = queue.offer(job(1, Priority::Bulk, 1000, 3), NO_FREE_SLOT, HostTime(0));
    assert!(matches!(bulk, Offer::Refused(refused) if refused.reason == RefusalReason::Full));
}

#[test]
fn a_full_queue_sheds_requests_of_the_caller_with_the_most_waiting() {
    let mut queue = queue(4);
    for item in 0..4 {
        queue.offer(job(1, Priority::Interactive, 1000, item), NO_FREE_SLOT, HostTime(0));
    }
    for (caller, item) in [(2, 5), (3, 6)] {
        let offer =
            queue.offer(job(caller, Priority::Interactive, 1000, item), NO_FREE_SLOT, HostTime(0));
        assert!(matches!(offer, Offer::Queued { shed: Some(_), .. }));
    }
    assert_eq!(dequeue_all(&mut queue), [0, 5, 6, 1]);
}

#[test]
fn requests_that_a_slower_upstream_cannot_finish_in_time_are_not_started() {
    let mut queue = queue(4);
    queue.offer(job(1, Priority::Critical, 100, 0), NO_FREE_SLOT, HostTime(0));
    queue.offer(job(1, Priority::Critical, 9000, 1), NO_FREE_SLOT, HostTime(0));
    (0..50).for_each(|_| queue.observe(Millis(500)));
    let next = queue.next(HostTime(1));
    assert_eq!(next.job.map(|job| job.item), Some(1));
    assert_eq!(next.refused[0].job.item, 0);
}

#[test]
fn a_free_slot_is_used_even_if_the_mean_exceeds_the_deadline() {
    let mut queue = Queue::new(4, ServiceTime::from_mean(Millis(60_000)));
    let free = Slots { limit: 2, free: 1 };
    let offer = queue.offer(job(1, Priority::Bulk, 100, 0), free, HostTime(0));
    assert!(matches!(offer, Offer::Start(_)));
}

#[derive(Debug, Clone)]
enum Step {
    Offer { caller: u64, class: usize, time_left_ms: u64 },
    Next,
    Cancel,
    Wait(u64),
    Observe(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let offer = (0..4_u64, 0..3_usize, 0..300_u64);
    prop_oneof![
        4 => offer
            .prop_map(|(caller, class, time_left_ms)| Step::Offer { caller, class, time_left_ms }),
        2 => Just(Step::Next),
        1 => Just(Step::Cancel),
        1 => (0..60_u64).prop_map(Step::Wait),
        1 => (0..80_u64).prop_map(Step::Observe),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// Every request is started, refused or cancelled exactly once. None starts after its deadline, and none is overdue
    /// after [`Queue::next`].
    #[test]
    fn every_request_ends_once_and_starts_in_time(steps in prop::collection::vec(step(), 0..300)) {
        let mut queue = queue(8);
        let mut now = HostTime(0);
        let mut outstanding = BTreeSet::new();
        let mut last_ticket = None;
        for (item, step) in (0..).zip(steps) {
            match step {
                Step::Offer { caller, class, time_left_ms } => {
                    outstanding.insert(item);
                    let offered = job(caller, Priority::ALL[class], now.0 + time_left_ms, item);
                    match queue.offer(offered, NO_FREE_SLOT, now) {
                        Offer::Start(_) => prop_assert!(false, "no slot is free"),
                        Offer::Refused(refused) => prop_assert!(outstanding.remove(&refused.job.item)),
                        Offer::Queued { ticket, shed } => {
                            last_ticket = Some(ticket);
                            if let Some(refused) = shed {
                                prop_assert!(refused.job.priority >= Priority::ALL[class]);
                                prop_assert!(outstanding.remove(&refused.job.item));
                            }
                        }
                    }
                }
                Step::Next => {
                    let next = queue.next(now);
                    for refused in next.refused {
                        prop_assert!(outstanding.remove(&refused.job.item));
                    }
                    if let Some(job) = next.job {
                        prop_assert!(now < job.deadline);
                        prop_assert!(outstanding.remove(&job.item));
                    }
                    prop_assert!(queue.next_sweep().is_none_or(|at| at > now));
                }
                Step::Cancel => {
                    let job = last_ticket.take().and_then(|ticket| queue.cancel(ticket));
                    if let Some(job) = job {
                        prop_assert!(outstanding.remove(&job.item));
                    }
                }
                Step::Wait(span) => now = now + Millis(span),
                Step::Observe(held) => queue.observe(Millis(held)),
            }
            prop_assert_eq!(queue.len(), outstanding.len());
            prop_assert!(queue.len() <= 8);
            let waiting: usize = Priority::ALL.iter().map(|class| queue.waiting_in_class(*class)).sum();
            prop_assert_eq!(waiting, queue.len());
        }
    }

    /// While every caller has requests waiting, the numbers of their started requests differ by at most one.
    #[test]
    fn starts_are_shared_evenly(counts in prop::collection::vec(5..20_usize, 2..6), picks in 2..25_usize) {
        let mut queue = queue(200);
        for (caller, count) in (0..).zip(&counts) {
            for _ in 0..*count {
                queue.offer(job(caller, Priority::Bulk, 100_000, 0), NO_FREE_SLOT, HostTime(0));
            }
        }
        let mut starts = vec![0_usize; counts.len()];
        for _ in 0..picks.min(5 * counts.len()) {
            let job = queue.next(HostTime(0)).job.unwrap();
            starts[usize::try_from(job.caller.0).unwrap()] += 1;
        }
        let (least, most) = (starts.iter().min().unwrap(), starts.iter().max().unwrap());
        prop_assert!(most - least <= 1);
    }
}
