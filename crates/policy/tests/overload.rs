//! Simulation of goodput under overload in virtual time, with the request queue and with a FIFO queue as the baseline.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use fastrand::Rng;
use rstest::rstest;
use skylarkdock_policy::queue::{CallerId, Job, Offer, Priority, Queue, Slots};
use skylarkdock_policy::service_time::ServiceTime;
use skylarkdock_policy::slots::{Limiter, LimiterBuilder, Slot};
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::{BTreeMap, VecDeque};

const SEED: u64 = 5;
const DURATION_MS: u64 = 600_000;
const MEAN_SERVICE_MS: f64 = 40.0;
const DEADLINE_MS: u64 = 800;
const CALLERS: u64 = 12;
const QUEUE_LEN: usize = 64;
const LOADS: [f64; 4] = [0.8, 1.0, 2.0, 4.0];

/// Samples a service time in milliseconds whose mean is `MEAN_SERVICE_MS`.
type ServiceTimeSampler = fn(&mut Rng) -> f64;

fn exponential(rng: &mut Rng) -> f64 {
    -MEAN_SERVICE_MS * (1.0 - rng.f64()).ln()
}

fn uniform(rng: &mut Rng) -> f64 {
    MEAN_SERVICE_MS * (0.5 + rng.f64())
}

/// One in twenty requests takes ten times as long as the others.
fn bimodal(rng: &mut Rng) -> f64 {
    let short = MEAN_SERVICE_MS / 1.45;
    if rng.u32(0..20) == 0 { 10.0 * short } else { short }
}

struct Request {
    service_time: Millis,
}

struct Running {
    job: Job<Request>,
    slot: Slot,
    started: HostTime,
}

enum Discipline {
    Policy(Box<Queue<Request>>),
    Fifo(VecDeque<Job<Request>>),
}

#[derive(Debug, Default, Clone, Copy)]
struct Counts {
    offered: u64,
    in_time: u64,
    in_time_critical: u64,
    offered_critical: u64,
    late: u64,
    refused: u64,
    useful_ms: u64,
}

struct Simulation {
    discipline: Discipline,
    limiter: Limiter,
    running: BTreeMap<(HostTime, u64), Running>,
    started: u64,
    counts: Counts,
}

impl Simulation {
    fn new(discipline: Discipline, slots: u32) -> Self {
        let mut limiter = LimiterBuilder::new().slots(slots).ramp(Millis(1)).build();
        limiter.mark_healthy(HostTime(0));
        let (running, counts) = (BTreeMap::new(), Counts::default());
        Self { discipline, limiter, running, started: 0, counts }
    }

    fn arrive(&mut self, job: Job<Request>, now: HostTime) {
        self.counts.offered += 1;
        self.counts.offered_critical += u64::from(job.priority == Priority::Critical);
        let slots = Slots { limit: self.limiter.limit(now), free: self.limiter.free(now) };
        match &mut self.discipline {
            Discipline::Policy(queue) => match queue.offer(job, slots, now) {
                Offer::Start(job) => self.start(job, now),
                Offer::Queued { shed, .. } => self.counts.refused += u64::from(shed.is_some()),
                Offer::Refused(_) => self.counts.refused += 1,
            },
            Discipline::Fifo(jobs) => {
                jobs.push_back(job);
                self.start_waiting(now);
            }
        }
    }

    fn start(&mut self, job: Job<Request>, now: HostTime) {
        let slot = self.limiter.acquire(now).unwrap();
        self.started += 1;
        let ends_at = now + job.item.service_time;
        self.running.insert((ends_at, self.started), Running { job, slot, started: now });
    }

    fn start_waiting(&mut self, now: HostTime) {
        while self.limiter.free(now) > 0 {
            let job = match &mut self.discipline {
                Discipline::Policy(queue) => {
                    let next = queue.next(now);
                    self.counts.refused += u64::try_from(next.refused.len()).unwrap();
                    next.job
                }
                Discipline::Fifo(jobs) => jobs.pop_front(),
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
            if let Discipline::Policy(queue) = &mut self.discipline {
                queue.observe(held);
            }
            if now <= run.job.deadline {
                self.counts.in_time += 1;
                self.counts.in_time_critical += u64::from(run.job.priority == Priority::Critical);
                self.counts.useful_ms += held.0;
            } else {
                self.counts.late += 1;
            }
            self.start_waiting(now);
        }
    }
}

fn simulate(
    discipline: Discipline,
    slots: u32,
    load: f64,
    sample_ms: ServiceTimeSampler,
) -> Counts {
    let mut rng = Rng::with_seed(SEED);
    let mut simulation = Simulation::new(discipline, slots);
    let mean_interarrival_ms = MEAN_SERVICE_MS / (f64::from(slots) * load);
    let mut at_ms = 0.0;
    while at_ms < f64::from(u32::try_from(DURATION_MS).unwrap()) {
        let now = HostTime(round_to_u64(at_ms));
        simulation.finish_until(now);
        let class = [0, 0, 1, 1, 1, 1, 1, 2, 2, 2][rng.usize(0..10)];
        let job = Job {
            caller: CallerId(rng.u64(0..CALLERS)),
            priority: Priority::ALL[class],
            deadline: now + Millis(DEADLINE_MS),
            item: Request { service_time: Millis(round_to_u64(sample_ms(&mut rng)).max(1)) },
        };
        simulation.arrive(job, now);
        at_ms -= mean_interarrival_ms * (1.0 - rng.f64()).ln();
    }
    simulation.counts
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn round_to_u64(millis: f64) -> u64 {
    millis.round() as u64
}

fn percent(part: u64, total: u64) -> u64 {
    100 * part / total.max(1)
}

#[rstest]
#[case("exponential", exponential)]
#[case("uniform", uniform)]
#[case("bimodal", bimodal)]
fn goodput_stays_high_under_overload(#[case] name: &str, #[case] sample_ms: ServiceTimeSampler) {
    for slots in [2, 6] {
        let capacity_ms = DURATION_MS * u64::from(slots);
        println!("{name}, {slots} slots");
        println!("load  useful time: queue  fifo | in time: queue  fifo | critical: queue  fifo");
        for load in LOADS {
            let queue = Discipline::Policy(Box::new(Queue::new(QUEUE_LEN, ServiceTime::default())));
            let policy = simulate(queue, slots, load, sample_ms);
            let fifo = simulate(Discipline::Fifo(VecDeque::new()), slots, load, sample_ms);
            let useful = |counts: Counts| percent(counts.useful_ms, capacity_ms);
            let in_time = |counts: Counts| percent(counts.in_time, counts.offered);
            let critical =
                |counts: Counts| percent(counts.in_time_critical, counts.offered_critical);
            println!(
                "{load:>4}  {:>17}%  {:>3}% | {:>13}%  {:>3}% | {:>14}%  {:>3}%   late {} of {}",
                useful(policy),
                useful(fifo),
                in_time(policy),
                in_time(fifo),
                critical(policy),
                critical(fifo),
                policy.late,
                policy.late + policy.in_time,
            );
            if load >= 2.0 {
                assert!(useful(policy) >= 95, "{name}, {slots} slots, load {load}: {policy:?}");
                assert!(useful(fifo) < 50, "the baseline does not collapse: {fifo:?}");
            }
        }
    }
}
