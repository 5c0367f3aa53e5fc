//! Measures the time per request of admission, queueing, picking, ejection and hot-key counting for several numbers of
//! hosts.

use skylarkdock_policy::ejection::{OutlierDetector, Sample};
use skylarkdock_policy::health::Standing;
use skylarkdock_policy::hotkeys::HotKeySketch;
use skylarkdock_policy::pick::{Candidate, pick};
use skylarkdock_policy::queue::{CallerId, Job, Offer, Priority, Queue, Slots};
use skylarkdock_policy::service_time::ServiceTime;
use skylarkdock_policy::slots::LimiterBuilder;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::times::{HostTime, Millis};
use std::hint::black_box;
use std::time::Instant;

const HOSTS: [u64; 3] = [10, 100, 480];
const ROUNDS: u64 = 200_000;
const QUEUE_LEN: usize = 64;
const DEADLINE_MS: u64 = 1000;
const SEED: u64 = 3;

fn main() {
    println!("median of 5 runs of {ROUNDS} rounds, ns per decision");
    println!(
        "{:>5} {:>8} {:>8} {:>8} {:>8} {:>8}",
        "hosts", "admit", "queue", "pick", "observe", "hot key"
    );
    for hosts in HOSTS {
        let costs = [
            admit_cost(),
            queue_cost(hosts),
            pick_cost(hosts),
            observe_cost(hosts),
            hot_key_cost(hosts),
        ];
        print!("{hosts:>5}");
        costs.iter().for_each(|cost| print!(" {cost:>8}"));
        println!();
    }
}

/// Returns the median over five runs of the mean time per round, in nanoseconds.
fn median(mut round: impl FnMut(u64)) -> u128 {
    let mut costs: Vec<u128> = (0..5)
        .map(|_| {
            let start = Instant::now();
            (0..ROUNDS).for_each(&mut round);
            start.elapsed().as_nanos() / u128::from(ROUNDS)
        })
        .collect();
    costs.sort_unstable();
    costs[costs.len() / 2]
}

fn job(caller: u64, now: HostTime) -> Job<u64> {
    let priority = Priority::Interactive;
    Job { caller: CallerId(caller), priority, deadline: now + Millis(DEADLINE_MS), item: caller }
}

/// Cost of a request that finds a free slot: limit, offer, acquire, release.
fn admit_cost() -> u128 {
    let mut limiter = LimiterBuilder::new().slots(6).build();
    limiter.mark_healthy(HostTime(0));
    let mut queue = Queue::new(QUEUE_LEN, ServiceTime::from_mean(Millis(20)));
    median(|round| {
        let now = HostTime(round);
        let slots = Slots { limit: limiter.limit(now), free: limiter.free(now) };
        black_box(queue.offer(job(round, now), slots, now));
        if let Ok(slot) = limiter.acquire(now) {
            limiter.release(slot);
        }
    })
}

/// Cost of a request that waits in a half-full queue with requests of up to `hosts` callers, and of the dequeue that
/// follows.
fn queue_cost(hosts: u64) -> u128 {
    let slots = Slots { limit: 6, free: 0 };
    let mut queue = Queue::new(QUEUE_LEN, ServiceTime::from_mean(Millis(20)));
    let mut rng = fastrand::Rng::with_seed(SEED);
    for _ in 0..QUEUE_LEN / 2 {
        queue.offer(job(rng.u64(0..hosts), HostTime(0)), slots, HostTime(0));
    }
    median(|round| {
        let now = HostTime(round / 100);
        let offer = queue.offer(job(rng.u64(0..hosts), now), slots, now);
        if matches!(offer, Offer::Queued { .. }) {
            black_box(queue.next(now));
        }
    })
}

fn pick_cost(hosts: u64) -> u128 {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let candidates: Vec<Candidate> = (0..hosts)
        .map(|host| Candidate {
            standing: if host % 9 == 8 { Standing::Ejected } else { Standing::Usable },
            is_same_region: host % 2 == 0,
            outstanding: rng.u32(0..6),
            limit: 6,
            preference: 1.0,
        })
        .collect();
    median(|_| {
        black_box(pick(black_box(&candidates), [rng.u32(..), rng.u32(..)]));
    })
}

fn observe_cost(hosts: u64) -> u128 {
    let mut detector = OutlierDetector::default();
    let ids: Vec<UpstreamId> =
        (0..hosts).filter_map(|host| format!("upstream-{host}").parse().ok()).collect();
    ids.iter().for_each(|id| detector.add(id.clone()));
    let mut rng = fastrand::Rng::with_seed(SEED);
    median(|round| {
        let id = &ids[rng.usize(0..ids.len())];
        black_box(detector.observe(id, Sample::Success(Millis(20)), HostTime(round)));
    })
}

fn hot_key_cost(hosts: u64) -> u128 {
    let mut sketch = HotKeySketch::new(HostTime(0));
    let mut rng = fastrand::Rng::with_seed(SEED);
    median(|round| sketch.observe(KeyHash(rng.u64(0..hosts * 100)), HostTime(round)))
}
