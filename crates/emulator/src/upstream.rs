//! Model of an upstream: slots, a bounded queue and factors that slow down its work.

use crate::shape::UpstreamGroup;
use std::collections::VecDeque;

/// Virtual time before which upstreams are cold, in milliseconds.
const COLD_MS: u64 = 3_000;
/// Fraction of busy slots above which an upstream is crowded.
const CROWDED_UTILIZATION: f64 = 0.75;

/// Work of one attempt at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Job {
    /// Index of the attempt in the simulation.
    pub attempt: usize,
    /// Duration without any slowdown, in milliseconds.
    pub work_ms: f64,
    /// Virtual time after which the caller no longer waits for the answer.
    pub deadline_at_ms: u64,
}

/// Whether an upstream runs, queues or sheds a job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Admission {
    /// The job runs for this many milliseconds.
    Started(u64),
    /// The job waits for a slot.
    Queued,
    /// The queue is full, and the job is not run.
    Shed,
}

/// Simulated upstream of a group.
#[derive(Debug, Clone)]
pub struct UpstreamModel {
    group: UpstreamGroup,
    running: u32,
    queue: VecDeque<Job>,
}

impl UpstreamModel {
    /// Creates an idle upstream.
    pub const fn new(group: UpstreamGroup) -> Self {
        Self { group, running: 0, queue: VecDeque::new() }
    }

    /// Returns the properties that the upstream shares with its group.
    pub const fn group(&self) -> &UpstreamGroup {
        &self.group
    }

    /// Runs a job if a slot is free, and queues or sheds it otherwise.
    pub fn offer(&mut self, job: Job, now_ms: u64) -> Admission {
        if self.running < self.group.slots {
            return Admission::Started(self.run(job, now_ms));
        }
        if self.queue.len() >= self.group.queue as usize {
            return Admission::Shed;
        }
        self.queue.push_back(job);
        Admission::Queued
    }

    /// Frees a slot. Returns the queued jobs dropped because their deadlines have passed, and the job that takes the
    /// slot, with its duration in milliseconds.
    pub fn finish(&mut self, now_ms: u64) -> (Vec<Job>, Option<(Job, u64)>) {
        self.running -= 1;
        let mut expired = Vec::new();
        while let Some(job) = self.queue.pop_front() {
            if job.deadline_at_ms <= now_ms {
                expired.push(job);
                continue;
            }
            let duration_ms = self.run(job, now_ms);
            return (expired, Some((job, duration_ms)));
        }
        (expired, None)
    }

    fn run(&mut self, job: Job, now_ms: u64) -> u64 {
        self.running += 1;
        let utilization = f64::from(self.running) / f64::from(self.group.slots.max(1));
        let mut factor = self.group.slowness;
        if now_ms < COLD_MS {
            factor *= self.group.cold;
        }
        if utilization > CROWDED_UTILIZATION {
            factor *= self.group.crowded;
        }
        factor *= self.group.slow_spell.map_or(1.0, |spell| spell.factor(now_ms));
        round(job.work_ms * factor).max(1)
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "durations of some seconds"
)]
fn round(ms: f64) -> u64 {
    ms.round().max(0.0) as u64
}
