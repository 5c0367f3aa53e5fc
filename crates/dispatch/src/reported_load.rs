//! Load that upstreams report of themselves.
//!
//! Load pattern: a neighbour on the machine of an upstream slows its work threefold for some hundred milliseconds. The
//! learnt service time follows within tens of answers, which is too late. The report in the upstream's last answer shows
//! it at once, and shows the requests that other hosts sent since their last load reports. Reports age quickly: the weight
//! of one falls to zero within [`LIFETIME`], and without one an upstream is judged as if it never reported.

use skylarkdock_units::times::{HostTime, Millis};

/// Pace of a machine on which work takes as long as usual, in percent.
pub const USUAL_PACE: u32 = 100;
/// Age at which a report has no weight left. The pace of a machine changes about this often.
pub const LIFETIME: Millis = Millis(400);
/// Largest number of running requests in a report, as a multiple of the slots. An upstream that is being stopped or that
/// counts requests whose answers are under way may name slightly more than its slots.
const MAX_RUNNING_FACTOR: u32 = 2;
/// Largest number of waiting requests in a report, well above the queue of any upstream.
const MAX_WAITING: u32 = 10_000;
/// Largest pace in a report, in percent. A machine that is slower by more than this is not worth a request in any case.
const MAX_PACE: u32 = 2_000;
/// Weight of a new report in the moving average of the pace; the same as that of a sample in the service time, so that
/// both averages are over the same answers.
const PACE_WEIGHT: f32 = 0.15;
/// Difference of the pace from the known one, in percent of the usual one, from which it is news for other hosts.
const NEWS_DIFFERENCE: u32 = 50;
/// Age of the known pace from which that of a slow machine is news again.
const NEWS_AGE: Millis = Millis(150);
/// Bounds of the mean pace, as a multiple of the usual one. The upper one bounds what an upstream gains whose reports
/// name a slow machine until the requests come and a usual one then.
const MIN_MEAN_PACE: f32 = 1.0;
const MAX_MEAN_PACE: f32 = 2.0;

/// Load of an upstream as it reported it in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Number of requests that it runs.
    pub running: u32,
    /// Number of requests in its queue.
    pub waiting: u32,
    /// Number of requests that it can run at a time.
    pub slots: u32,
    /// How long work takes on its machine now, in percent of the usual time.
    pub pace_percent: u32,
}

/// Reason for which a report is not used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// The slots differ from those in the registry.
    Slots,
    /// It names far more running requests than slots.
    Running,
    /// It names more waiting requests than any queue has.
    Waiting,
    /// The pace is zero or absurdly slow.
    Pace,
}

impl Rejection {
    /// Returns the value of the `reason` label in metrics and field in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Slots => "slots",
            Self::Running => "running",
            Self::Waiting => "waiting",
            Self::Pace => "pace",
        }
    }
}

impl ReportedLoad {
    /// Checks whether a report of an upstream with this many slots can be true.
    ///
    /// # Errors
    ///
    /// Fails if it can't.
    pub const fn check(&self, slots: u32) -> Result<(), Rejection> {
        if self.slots != slots {
            return Err(Rejection::Slots);
        }
        if self.running > slots.saturating_mul(MAX_RUNNING_FACTOR) {
            return Err(Rejection::Running);
        }
        if self.waiting > MAX_WAITING {
            return Err(Rejection::Waiting);
        }
        if self.pace_percent == 0 || self.pace_percent > MAX_PACE {
            return Err(Rejection::Pace);
        }
        Ok(())
    }
}

/// Value that was reported, and when it arrived.
#[derive(Debug, Clone, Copy)]
struct Dated<T> {
    value: T,
    at: HostTime,
}

/// What one upstream reported last, and its mean pace.
#[derive(Debug, Clone, Default)]
pub struct Reported {
    /// Requests that it ran and that waited.
    load: Option<Dated<u32>>,
    /// Pace, as a multiple of the usual one.
    pace: Option<Dated<f32>>,
    /// Moving average of the pace in the answers to this host.
    mean_pace: Option<f32>,
}

impl Reported {
    /// Records a checked report that arrived with an answer at `now`. Returns whether other hosts gain from its pace.
    pub fn record(&mut self, report: &ReportedLoad, now: HostTime) -> bool {
        let is_news = self.is_news(report.pace_percent, now);
        let pace = to_pace(report.pace_percent);
        let mean = self.mean_pace.get_or_insert(pace);
        *mean += (pace - *mean) * PACE_WEIGHT;
        let load = report.running.saturating_add(report.waiting);
        self.load = Some(Dated { value: load, at: now });
        self.pace = Some(Dated { value: pace, at: now });
        is_news
    }

    /// Returns whether a pace differs from what this host, and so the others, know by earlier reports. One that is not
    /// known counts as usual.
    fn is_news(&self, pace_percent: u32, now: HostTime) -> bool {
        let known = self.pace().filter(|(_, at)| now.since(*at) < LIFETIME);
        let (known_pace, at) = known.unwrap_or((USUAL_PACE, HostTime(0)));
        let is_slow = pace_percent >= USUAL_PACE + NEWS_DIFFERENCE;
        pace_percent.max(USUAL_PACE).abs_diff(known_pace) >= NEWS_DIFFERENCE
            || (is_slow && now.since(at) >= NEWS_AGE)
    }

    /// Records the pace that another host learnt at `at`, unless a later one is known.
    pub fn record_forwarded(&mut self, pace_percent: u32, at: HostTime) {
        if pace_percent == 0 || pace_percent > MAX_PACE {
            return;
        }
        if self.pace.is_none_or(|known| known.at < at) {
            self.pace = Some(Dated { value: to_pace(pace_percent), at });
        }
    }

    /// Forgets everything, as the upstream has restarted.
    pub fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns the last known pace, in percent, and when it was learnt.
    pub fn pace(&self) -> Option<(u32, HostTime)> {
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked")]
        self.pace.map(|pace| ((pace.value * 100.0).round() as u32, pace.at))
    }

    /// Returns the factor of the learnt service time for a request that is sent now. It is 1 without a report, and
    /// approaches 1 as a report ages.
    pub fn service_factor(&self, now: HostTime) -> f32 {
        let Some(Dated { value: pace, at }) = self.pace else { return 1.0 };
        let mean = self.mean_pace.unwrap_or(1.0).clamp(MIN_MEAN_PACE, MAX_MEAN_PACE);
        1.0 + weight(at, now) * (pace / mean - 1.0)
    }

    /// Returns the factor of the expected time by which an upstream with a slow machine gives way to others, beside
    /// [`Self::service_factor`]. A request there occupies its slot for longer, so it also costs those that come after it.
    pub fn slowness_penalty(&self, now: HostTime) -> f32 {
        self.service_factor(now).max(1.0)
    }

    /// Returns the number of requests at the upstream. `known` is the number from load reports of hosts, and the result
    /// is at least that; `sent_since` counts the requests of this host since a time.
    pub fn load(&self, known: u32, sent_since: impl Fn(HostTime) -> u32, now: HostTime) -> u32 {
        let Some(Dated { value: load, at }) = self.load else { return known };
        let reported = load.saturating_add(sent_since(at));
        if reported <= known {
            return known;
        }
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "positive")]
        let more = (crate::upstream::as_f32(reported - known) * weight(at, now)) as u32;
        known.saturating_add(more)
    }
}

/// Returns the weight of a report, from 1 when it arrives to 0 at the end of its lifetime.
fn weight(at: HostTime, now: HostTime) -> f32 {
    let to_f32 = |ms: Millis| crate::upstream::as_f32(u32::try_from(ms.0).unwrap_or(u32::MAX));
    (1.0 - to_f32(now.since(at)) / to_f32(LIFETIME)).max(0.0)
}

/// Returns a pace as a multiple of the usual one. A machine that claims to be faster than usual counts as usual, so that a
/// false report can't draw the requests of all hosts.
fn to_pace(percent: u32) -> f32 {
    crate::upstream::as_f32(percent.max(USUAL_PACE)) / crate::upstream::as_f32(USUAL_PACE)
}
