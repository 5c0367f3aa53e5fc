//! What one host knows of crashes: the glue between events and the tracker, as on a real host.

use super::{Incarnation, MAX_DIRECT_HOSTS};
use skylarkdock_dispatch::crash_tracker::{
    Crash, CrashTracker, Digest, EndProof, Fingerprint, IncarnationHash, Unanswered,
};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

/// Intervals between direct and relayed reports, and how many of them pass between two to other regions; the same as on
/// real hosts.
const DIRECT_INTERVAL_MS: u64 = 100;
const RELAYED_INTERVAL_MS: u64 = 150;
const FAR_REPORT_EVERY: u64 = 8;
const RELAYED_FAR_REPORT_EVERY: u64 = 5;

/// Crashes and digest in a report.
pub(super) type Message = (Vec<Crash>, Digest);

/// State of one host.
#[derive(Default)]
pub(super) struct HostKnowledge {
    tracker: CrashTracker,
}

/// Returns the interval between reports.
pub(super) const fn interval_ms(hosts: usize) -> u64 {
    if hosts <= MAX_DIRECT_HOSTS { DIRECT_INTERVAL_MS } else { RELAYED_INTERVAL_MS }
}

/// Returns the number of reports of which one goes to other regions, too.
const fn far_every(hosts: usize) -> u64 {
    if hosts <= MAX_DIRECT_HOSTS { FAR_REPORT_EVERY } else { RELAYED_FAR_REPORT_EVERY }
}

fn id((slot, incarnation): Incarnation) -> UpstreamId {
    format!("u-{slot}-{incarnation}").parse().unwrap_or_else(|e| panic!("an id: {e}"))
}

fn hash((slot, incarnation): Incarnation) -> IncarnationHash {
    IncarnationHash(u32::try_from(slot as u64 * 10_000 + incarnation).unwrap_or(u32::MAX))
}

impl HostKnowledge {
    pub(super) fn is_refused(&self, fingerprint: Fingerprint, now: HostTime) -> bool {
        self.tracker.refusal(fingerprint, now).is_some()
    }

    pub(super) fn on_sent(&mut self, to: Incarnation, fingerprint: Fingerprint, now: HostTime) {
        self.tracker.on_sent(&id(to), fingerprint, now);
    }

    pub(super) fn on_answered(&mut self, by: Incarnation, fingerprint: Fingerprint, now: HostTime) {
        self.tracker.on_answered(&id(by), fingerprint, true, now);
    }

    /// Records a broken connection.
    pub(super) fn on_broken(
        &mut self,
        by: Incarnation,
        fingerprint: Fingerprint,
        load: u32,
        now: HostTime,
    ) {
        self.tracker.on_unanswered(&id(by), fingerprint, Unanswered::Failed, load, now);
    }

    /// Records that an upstream has ended.
    pub(super) fn on_ended(&mut self, ended: Incarnation, proof: EndProof, now: HostTime) {
        self.tracker.on_ended(&id(ended), hash(ended), proof, now);
    }

    /// Returns the next report, if there is anything to report.
    pub(super) fn message(&mut self, round: u64, hosts: usize, now: HostTime) -> Option<Message> {
        let crashes = self.tracker.recent_crashes(now);
        let has_digest = self.includes_far(round, hosts, now);
        let digest = if has_digest { self.tracker.digest(now) } else { Digest::default() };
        (!crashes.is_empty() || !digest.is_empty()).then_some((crashes, digest))
    }

    /// Returns whether the report of a round goes to other regions, too.
    pub(super) fn includes_far(&self, round: u64, hosts: usize, now: HostTime) -> bool {
        round.is_multiple_of(far_every(hosts))
            || self.tracker.has_crash_since(Millis(interval_ms(hosts)), now)
    }

    pub(super) fn receive(&mut self, (crashes, digest): &Message, now: HostTime) {
        self.tracker.on_crashes(crashes, now);
        self.tracker.on_digest(digest, now);
    }
}
