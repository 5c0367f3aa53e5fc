//! Statistics of one simulation, from the point of view of the callers.

use crate::shape::RequestKind;
use serde::Serialize;

/// A refusal counts as late if the host held the request for more than this fraction of its objective.
const LATE_REFUSAL_FRACTION: f64 = 0.125;

/// Counts for one kind of request.
#[derive(Debug, Clone, Default, Serialize)]
pub struct KindStats {
    /// Name of the request kind.
    pub name: String,
    /// Scheduling rank; 0 is served first.
    pub rank: u8,
    /// Requests created by callers, without their retries.
    pub asked: u64,
    /// Answers within the objective.
    pub in_time: u64,
    /// Answers after the objective and within the deadline.
    pub late: u64,
}

/// Counts of one simulation.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RunStats {
    /// Counts per request kind, in the order of the shape.
    pub kinds: Vec<KindStats>,
    /// Work of the requests answered within their deadline, in slot milliseconds.
    pub useful_work: f64,
    /// Sum of the worth of all answers.
    pub credit: f64,
    /// Sum of the worth if all requests were answered within their objectives.
    pub possible: f64,
    /// Attempts sent to upstreams.
    pub sends: u64,
    /// Refusals by hosts.
    pub refused: u64,
    /// Refusals after more than an eighth of the objective.
    pub refused_late: u64,
    /// Arrivals at upstreams while they name a limit.
    pub limited: LimitStats,
    /// Arrivals at upstreams during the rests that they asked for.
    pub rests: RestStats,
    /// First attempts of callers at hosts that can't open connections to upstreams, from the time on at which they
    /// should have found another way.
    pub at_cut_off: FirstAttempts,
    /// First attempts at the other hosts in the same time.
    pub at_others: FirstAttempts,
}

/// First attempts of callers at a group of hosts.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct FirstAttempts {
    /// Attempts.
    pub asked: u64,
    /// Those that were answered by an upstream.
    pub served: u64,
}

impl FirstAttempts {
    /// Returns the part that was served.
    pub fn served_ratio(&self) -> f64 {
        ratio(self.served, self.asked)
    }
}

/// Requests that arrived during a rest from the host that was asked for it, more than a round trip after that.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct RestStats {
    /// Rests that upstreams asked hosts for.
    pub asked: u64,
    /// Arrivals during all rests.
    pub arrivals: u64,
    /// Largest number of arrivals from one host at one upstream during one rest.
    pub worst_pair: u64,
}

/// Arrivals at upstreams that name a limit, from the time on at which all hosts have to keep to it.
#[derive(Debug, Clone, Default, Serialize)]
pub struct LimitStats {
    /// Largest number of arrivals at one upstream in a window, as a fraction of what its limit allows in that time.
    pub worst_window: f64,
    /// The same without the allowance for single requests: as a fraction of the limit times the length of the window.
    pub worst_rate: f64,
    /// Arrivals at all limited upstreams.
    pub arrivals: u64,
    /// Sum of the limits over the time for which they were named.
    pub allowed: f64,
}

impl LimitStats {
    /// Returns the arrivals as a fraction of what the limits allow.
    #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    pub fn used_share(&self) -> f64 {
        self.arrivals as f64 / self.allowed.max(1e-9)
    }
}

impl RunStats {
    /// Creates zero counts for the request kinds of a shape.
    pub fn new(kinds: &[RequestKind]) -> Self {
        let kinds = kinds.iter().map(|kind| KindStats {
            name: kind.name.clone(),
            rank: kind.rank,
            ..KindStats::default()
        });
        Self { kinds: kinds.collect(), ..Self::default() }
    }

    /// Counts a request that a caller creates.
    pub fn on_asked(&mut self, index: usize, kind: &RequestKind) {
        self.kinds[index].asked += 1;
        self.possible += kind.worth;
    }

    /// Counts an answer that the caller received `latency_ms` after it created the request.
    pub fn on_answered(&mut self, index: usize, kind: &RequestKind, work_ms: f64, latency_ms: u64) {
        if latency_ms <= kind.deadline_ms {
            self.useful_work += work_ms;
        }
        if latency_ms <= kind.objective_ms {
            self.kinds[index].in_time += 1;
            self.credit += kind.worth;
        } else if latency_ms <= kind.deadline_ms {
            self.kinds[index].late += 1;
            self.credit += kind.late_worth;
        }
    }

    /// Counts the refusal of a request that the host held for `held_ms`.
    #[expect(clippy::cast_precision_loss, reason = "times far below 2^52 ms")]
    pub fn on_refused(&mut self, kind: &RequestKind, held_ms: u64) {
        self.refused += 1;
        if held_ms as f64 > kind.objective_ms as f64 * LATE_REFUSAL_FRACTION {
            self.refused_late += 1;
        }
    }

    /// Returns the worth of all answers as a fraction of the possible worth.
    pub fn credit_ratio(&self) -> f64 {
        self.credit / self.possible.max(1e-9)
    }

    /// Returns the number of attempts per request.
    pub fn amplification(&self) -> f64 {
        ratio(self.sends, self.kinds.iter().map(|kind| kind.asked).sum())
    }

    /// Returns the fraction of refusals that were late.
    pub fn late_refusal_ratio(&self) -> f64 {
        ratio(self.refused_late, self.refused)
    }

    /// Returns the fraction of a rank's requests that were answered within their deadline.
    pub fn answered_ratio(&self, rank: u8) -> f64 {
        let of_rank = self.kinds.iter().filter(|kind| kind.rank == rank);
        let (answered, asked) = of_rank.fold((0, 0), |(answered, asked), kind| {
            (answered + kind.in_time + kind.late, asked + kind.asked)
        });
        ratio(answered, asked)
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
fn ratio(numerator: u64, denominator: u64) -> f64 {
    numerator as f64 / (denominator.max(1)) as f64
}
