//! Upstreams that are cold, and how many requests they take meanwhile.
//!
//! A cold upstream crashes if it gets well above its limit in any one second, summed over all hosts. Its entry in the
//! registry and its answers to health checks state for how long it is cold. An upstream that has restarted, or was silent
//! and is reached again, is presumed to be cold until it states otherwise: the first statement may come up to a heartbeat
//! later, and requests sent before would end it.

use skylarkdock_units::ids::HostId;
use skylarkdock_units::measures::RequestRate;
use skylarkdock_units::times::{HostTime, Millis};

/// Window in which the requests to a cold upstream are counted.
pub const BOUND_WINDOW: Millis = Millis(1_000);

/// Returns the largest number of requests that a cold upstream may get in any [`BOUND_WINDOW`].
#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "clamped")]
pub fn requests_per_window(rate: RequestRate, overshoot: f32, slack: u32) -> u16 {
    let bound = rate.0.max(0.0) * overshoot.max(0.0);
    // A tolerance far below one request, as a product such as 10 x 1.1 may be just below its value.
    let whole = (f64::from(bound) + f64::from(slack) + 1e-4).floor();
    whole.clamp(0.0, f64::from(u16::MAX)) as u16
}

/// What shows that an upstream is cold, or makes it count as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ColdReason {
    /// Its registry entry says so.
    Entry,
    /// It answered so to a health check.
    HealthAnswer,
    /// Another host learnt it.
    Host,
    /// It has started or was listed again, and nothing later is known.
    Started,
    /// No connection to it could be opened, and nothing later is known.
    Silent,
}

impl ColdReason {
    /// Returns the value of the `reason` field in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::HealthAnswer => "health_answer",
            Self::Host => "host",
            Self::Started => "started",
            Self::Silent => "silent",
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Statement {
    /// End of the cold time; not after `as_of` if the upstream is not cold.
    until: HostTime,
    /// When the upstream stated it.
    as_of: HostTime,
    reason: ColdReason,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Presumption {
    until: HostTime,
    since: HostTime,
    reason: ColdReason,
}

/// Beginning or end of the time for which an upstream counts as cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ColdChange {
    /// Whether it counts as cold now.
    pub is_cold: bool,
    /// What shows or showed that it is cold.
    pub reason: ColdReason,
    /// Age of what is known.
    pub age: Millis,
}

/// Whether an upstream counts as cold, as known to one host.
#[derive(Debug, Clone, Default)]
pub struct ColdState {
    statement: Option<Statement>,
    presumption: Option<Presumption>,
    /// What [`ColdState::take_change`] returned last, while the upstream counts as cold.
    announced: Option<(ColdReason, HostTime)>,
}

impl ColdState {
    /// Records what the upstream stated at `as_of`: it is cold until `until`, or not cold if that is not after `as_of`.
    /// A presumption from before ends. An older statement than the known one is ignored, unless both are entries, whose
    /// order the registry knows.
    pub fn on_stated(&mut self, until: HostTime, as_of: HostTime, reason: ColdReason) {
        let is_entry = reason == ColdReason::Entry;
        let is_older = |known: Statement| {
            known.as_of >= as_of && !(is_entry && known.reason == ColdReason::Entry)
        };
        if self.statement.is_some_and(is_older) {
            return;
        }
        self.statement = Some(Statement { until, as_of, reason });
        self.presumption = self.presumption.filter(|presumed| presumed.since > as_of);
    }

    /// Records that a later heartbeat than the first one after a start does not say that the upstream is cold.
    pub fn on_confirmed(&mut self) {
        self.presumption =
            self.presumption.filter(|presumed| presumed.reason != ColdReason::Started);
    }

    /// Makes the upstream count as cold until `until`, unless it states otherwise before.
    pub fn presume(&mut self, reason: ColdReason, until: HostTime, now: HostTime) {
        let is_later = |known: Presumption| known.until > until && known.until > now;
        if !self.presumption.is_some_and(is_later) {
            self.presumption = Some(Presumption { until, since: now, reason });
        }
    }

    /// Returns what shows that the upstream is cold and since when that is known, or `None` if it is not cold.
    pub fn reason(&self, now: HostTime) -> Option<(ColdReason, HostTime)> {
        let stated = self.statement.filter(|stated| now < stated.until);
        let presumed = self.presumption.filter(|presumed| now < presumed.until);
        let stated = stated.map(|stated| (stated.reason, stated.as_of));
        stated.or_else(|| presumed.map(|presumed| (presumed.reason, presumed.since)))
    }

    /// Returns whether the upstream only is presumed to be cold, so that a health check would tell more.
    pub fn is_presumed(&self, now: HostTime) -> bool {
        self.reason(now).is_some() && self.statement.is_none_or(|stated| now >= stated.until)
    }

    /// Returns the latest statement that the upstream is cold: its end and when it was made.
    pub fn stated(&self, now: HostTime) -> Option<(HostTime, HostTime)> {
        let stated = self.statement.filter(|stated| now < stated.until)?;
        Some((stated.until, stated.as_of))
    }

    /// Returns whether the upstream has begun or ceased to count as cold since the last call.
    pub fn take_change(&mut self, now: HostTime) -> Option<ColdChange> {
        let current = self.reason(now);
        let (reason, since) = match (current, self.announced) {
            (Some(current), None) => current,
            (None, Some(announced)) => {
                let known = self.statement.filter(|stated| stated.as_of > announced.1);
                (announced.0, known.map_or(announced.1, |stated| stated.as_of))
            }
            _ => return None,
        };
        self.announced = current;
        Some(ColdChange { is_cold: current.is_some(), reason, age: now.since(since) })
    }
}

/// Returns the host's part of the requests that a cold upstream takes in each second. Each request of the bound belongs to
/// the host with the highest weight for it, so that the parts of all hosts together are the bound, also of hosts that can't
/// hear each other: no request is shared. With more hosts than requests, most hosts have no part. `weight` returns the
/// weight of a host for the request with a number.
pub fn own_part<'a>(
    per_window: u16,
    own: &HostId,
    others: impl Iterator<Item = &'a HostId> + Clone,
    weight: impl Fn(&HostId, u16) -> u64,
) -> u16 {
    let is_own = |number: &u16| {
        let own_weight = (weight(own, *number), own);
        others.clone().all(|other| (weight(other, *number), other) < own_weight)
    };
    let count = (0..per_window).filter(is_own).count();
    u16::try_from(count).unwrap_or(u16::MAX)
}
