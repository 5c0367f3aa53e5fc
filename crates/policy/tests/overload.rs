//! Goodput under overload in virtual time, with the queue's policy and with a plain FIFO.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use fastrand::Rng;
use rstest::rstest;
use skylarkdock_policy::queue::{CallerId, Job, Offer, Priority, Queue, Slots};
use skylarkdock_policy::service_time::ServiceTime;
use skylarkdock_policy::slots::{Limiter, LimiterBuilder, Slot};
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::{BTreeMap, VecDeque};

const SEED: u64 = 5;
const SPAN_MS: u64 = 600_000;
const MEAN_MS: f64 = 40.0;
const DEADLINE_MS: u64 = 800;
const CALLERS: u64 = 12;
const QUEUE_LEN: usize = 64;
const LOADS: [f64; 4] = [0.8, 1.0, 2.0, 4.0];

/// Draws a service time around the mean.
type Draw = fn(&mut Rng) -> f64;

fn exponential(rng: &mut Rng) -> f64 {
    -MEAN_MS * (1.0 - rng.f64()).ln()
}

fn uniform(rng: &mut Rng) -> f64 {
    MEAN_MS * (0.5 + rng.f64())
}

/// One in twenty requests takes ten times as long as the others.
fn two_kinds(rng: &mut Rng) -> f64 {
    let short = MEAN_MS / 1.45;
    if rng.u32(0..20) == 0 { 10.0 * short } else { short }
}

struct Request {
    service: Millis,
}

struct Running {
    job: Job<Request>,
    slot: Slot,
    started: HostTime,
}

enum Waiting {
    Policy(Box<Queue<Request>>),
    Fifo(VecDeque<Job<Request>>),
}

#[derive(Debug, Default, Clone, Copy)]
struct Tally {
    offered: u64,
    in_time: u64,
    in_time_critical: u64,
    offered_critical: u64,
    late: u64,
    refused: u64,
    useful_ms: u64,
}

struct Simulation {
    waiting: Waiting,
    limiter: Limiter,
    running: BTreeMap<(HostTime, u64), Running>,
    started: u64,
    tally: Tally,
}

impl Simulation {
    fn new(waiting: Waiting, slots: u32) -> Self {
        let mut limiter = LimiterBuilder::new().slots(slots).ramp(Millis(1)).build();
        limiter.healthy(HostTime(0));
        let (running, tally) = (BTreeMap::new(), Tally::default());
        Self { waiting, limiter, running, started: 0, tally }
    }

    fn arrive(&mut self, job: Job<Request>, now: HostTime) {
        self.tally.offered += 1;
        self.tally.offered_critical += u64::from(job.priority == Priority::Critical);
        let slots = Slots { limit: self.limiter.limit(now), free: self.limiter.free(now) };
        match &mut self.waiting {
            Waiting::Policy(queue) => match queue.offer(job, slots, now) {
                Offer::Start(job) => self.start(job, now),
                Offer::Queued { shed, .. } => self.tally.refused += u64::from(shed.is_some()),
                Offer::Refused(_) => self.tally.refused += 1,
            },
            Waiting::Fifo(jobs) => {
                jobs.push_back(job);
                self.fill(now);
            }
        }
    }

    fn start(&mut self, job: Job<Request>, now: HostTime) {
        let slot = self.limiter.acquire(now).unwrap();
        self.started += 1;
        let ends = now + job.item.service;
        self.running.insert((ends, self.started), Running { job, slot, started: now });
    }

    fn fill(&mut self, now: HostTime) {
        while self.limiter.free(now) > 0 {
            let job = match &mut self.waiting {
                Waiting::Policy(queue) => {
                    let next = queue.next(now);
                    self.tally.refused += u64::try_from(next.refused.len()).unwrap();
                    next.job
                }
                Waiting::Fifo(jobs) => jobs.pop_front(),
            };
            let Some(job) = job else { return };
            self.start(job, now);
        }
    }

    fn finish_until(&mut self, end: HostTime) {
        while let Some(entry) = self.running.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((now, _), run) = entry.remove_entry();
            self.limiter.release(run.slot);
            let held = now.since(run.started);
            if let Waiting::Policy(queue) = &mut self.waiting {
                queue.observe(held);
            }
            if now <= run.job.deadline {
                self.tally.in_time += 1;
                self.tally.in_time_critical += u64::from(run.job.priority == Priority::Critical);
                self.tally.useful_ms += held.0;
            } else {
                self.tally.late += 1;
            }
            self.fill(now);
        }
    }
}

fn simulate(waiting: Waiting, slots: u32, load: f64, draw: Draw) -> Tally {
    let mut rng = Rng::with_seed(SEED);
    let mut simulation = Simulation::new(waiting, slots);
    let gap_ms = MEAN_MS / (f64::from(slots) * load);
    let mut at_ms = 0.0;
    while at_ms < f64::from(u32::try_from(SPAN_MS).unwrap()) {
        let now = HostTime(whole(at_ms));
        simulation.finish_until(now);
        let class = [0, 0, 1, 1, 1, 1, 1, 2, 2, 2][rng.usize(0..10)];
        let job = Job {
            caller: CallerId(rng.u64(0..CALLERS)),
            priority: Priority::ALL[class],
            deadline: now + Millis(DEADLINE_MS),
            item: Request { service: Millis(whole(draw(&mut rng)).max(1)) },
        };
        simulation.arrive(job, now);
        at_ms -= gap_ms * (1.0 - rng.f64()).ln();
    }
    simulation.tally
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn whole(millis: f64) -> u64 {
    millis.round() as u64
}

fn percent(part: u64, whole: u64) -> u64 {
    100 * part / whole.max(1)
}

#[rstest]
#[case("exponential", exponential)]
#[case("uniform", uniform)]
#[case("two kinds", two_kinds)]
fn goodput_holds_under_overload(#[case] name: &str, #[case] draw: Draw) {
    for slots in [2, 6] {
        let capacity_ms = SPAN_MS * u64::from(slots);
        println!("{name}, {slots} slots");
        println!("load  useful time: queue  fifo | in time: queue  fifo | critical: queue  fifo");
        for load in LOADS {
            let queue = Waiting::Policy(Box::new(Queue::new(QUEUE_LEN, ServiceTime::default())));
            let ours = simulate(queue, slots, load, draw);
            let fifo = simulate(Waiting::Fifo(VecDeque::new()), slots, load, draw);
            let useful = |tally: Tally| percent(tally.useful_ms, capacity_ms);
            let in_time = |tally: Tally| percent(tally.in_time, tally.offered);
            let critical = |tally: Tally| percent(tally.in_time_critical, tally.offered_critical);
            println!(
                "{load:>4}  {:>17}%  {:>3}% | {:>13}%  {:>3}% | {:>14}%  {:>3}%   late {} of {}",
                useful(ours),
                useful(fifo),
                in_time(ours),
                in_time(fifo),
                critical(ours),
                critical(fifo),
                ours.late,
                ours.late + ours.in_time,
            );
            if load >= 2.0 {
                assert!(useful(ours) >= 95, "{name}, {slots} slots, load {load}: {ours:?}");
                assert!(useful(fifo) < 50, "the baseline does not collapse: {fifo:?}");
            }
        }
    }
}
