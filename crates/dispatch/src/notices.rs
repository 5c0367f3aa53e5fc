//! What upstreams ask of a host in their answers: to send nothing for a while, or nothing more because they leave.
//!
//! A notice concerns the host that got the answer, and one incarnation of the upstream: an id with the time of its
//! start. An upstream that restarts under the same id has not asked for anything.

use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

/// Longest rest that is granted, so that an absurd value does not take an upstream away for good.
pub const MAX_REST: Millis = Millis(60_000);
/// Part of the drain time, in percent, for which an upstream that leaves may still get requests where no other can
/// serve them. The remainder covers the way of a request to the upstream.
const SENDING_PERCENT: u64 = 75;

/// What an upstream asks of the host in one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Notices {
    /// Time for which the upstream wants no requests from the host; `None` if it did not ask for that.
    pub rest: Option<Millis>,
    /// Whether the upstream is shutting down.
    pub is_leaving: bool,
}

/// Why no request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Withheld {
    /// The upstream asked for a rest, of which this much remains.
    Resting(Millis),
    /// The upstream has been leaving for too long.
    Leaving,
    /// Operators have evacuated the availability zone of the upstream.
    Evacuated,
}

#[derive(Debug, Clone, Copy, Default)]
struct Asked {
    rest_until: HostTime,
    leaving_since: Option<HostTime>,
}

/// What an incarnation of an upstream wants at some time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CurrentNotices<'a> {
    /// Id of the upstream.
    pub id: &'a UpstreamId,
    /// Time of the incarnation's start.
    pub born: u64,
    /// End of the rest, if it has not ended.
    pub rest_until: Option<HostTime>,
    /// When the upstream first said that it leaves, if it did.
    pub leaving_since: Option<HostTime>,
}

/// What upstreams asked of this host, by id and time of start.
#[derive(Debug, Clone, Default)]
pub struct HostNotices {
    asked: FastMap<(UpstreamId, u64), Asked>,
}

impl HostNotices {
    /// Records the notices of an answer that arrived at `now`. A rest is cut to [`MAX_REST`] and never shortens an
    /// earlier one, as an answer may overtake another.
    pub fn record(&mut self, id: &UpstreamId, born: u64, notices: Notices, now: HostTime) {
        if notices == Notices::default() {
            return;
        }
        let asked = self.asked.entry((id.clone(), born)).or_default();
        if let Some(rest) = notices.rest {
            asked.rest_until = asked.rest_until.max(now + rest.min(MAX_REST));
        }
        if notices.is_leaving {
            asked.leaving_since.get_or_insert(now);
        }
    }

    /// Returns the end of the rest that the upstream asked for, if it has not ended yet.
    pub fn resting_until(&self, id: &UpstreamId, born: u64, now: HostTime) -> Option<HostTime> {
        let rest_until = self.asked(id, born)?.rest_until;
        (now < rest_until).then_some(rest_until)
    }

    /// Returns when the upstream first said that it leaves.
    pub fn leaving_since(&self, id: &UpstreamId, born: u64) -> Option<HostTime> {
        self.asked(id, born)?.leaving_since
    }

    /// Checks whether a request may be sent to the upstream, which needs `drain_time` from its first notice to its end.
    ///
    /// # Errors
    ///
    /// Fails if the upstream rests, or has been leaving for longer than [`sending_time`].
    pub fn may_send(
        &self,
        id: &UpstreamId,
        born: u64,
        drain_time: Millis,
        now: HostTime,
    ) -> Result<(), Withheld> {
        let Some(asked) = self.asked(id, born) else { return Ok(()) };
        if now < asked.rest_until {
            return Err(Withheld::Resting(asked.rest_until.since(now)));
        }
        match asked.leaving_since {
            Some(since) if now >= since + sending_time(drain_time) => Err(Withheld::Leaving),
            _ => Ok(()),
        }
    }

    /// Iterates over what the incarnations that asked for something want at `now`, in no particular order.
    pub fn iter(&self, now: HostTime) -> impl Iterator<Item = CurrentNotices<'_>> {
        self.asked.iter().map(move |((id, born), asked)| CurrentNotices {
            id,
            born: *born,
            rest_until: (now < asked.rest_until).then_some(asked.rest_until),
            leaving_since: asked.leaving_since,
        })
    }

    /// Forgets the incarnations that `is_listed` does not accept.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamId, u64) -> bool) {
        self.asked.retain(|(id, born), _| is_listed(id, *born));
    }

    fn asked(&self, id: &UpstreamId, born: u64) -> Option<&Asked> {
        self.asked.get(&(id.clone(), born))
    }
}

/// Returns how long after its first notice an upstream that leaves may still get requests, if no other can serve them.
pub const fn sending_time(drain_time: Millis) -> Millis {
    Millis(drain_time.0.saturating_mul(SENDING_PERCENT) / 100)
}
