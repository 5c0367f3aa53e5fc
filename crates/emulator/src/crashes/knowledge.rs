//! What one host knows of crashes: the glue between events and the tracker, as on a real host.

use super::{Incarnation, MAX_DIRECT_HOSTS, incarnation_hash};
use skylarkdock_dispatch::crash_tracker::{Crash, CrashTracker, Fingerprint};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

/// Intervals between direct and relayed reports, and how many of them pass between two to other regions; the same as on
/// real hosts.
const DIRECT_INTERVAL_MS: u64 = 100;
const RELAYED_INTERVAL_MS: u64 = 150;
const FAR_REPORT_EVERY: u64 = 8;
const RELAYED_FAR_REPORT_EVERY: u64 = 5;
/// Time for which a crash is reported, and the most crashes and requests in a report; the same as on real hosts.
const REPORT_PERIOD: Millis = Millis(1_700);
const MAX_CRASHES: usize = 4;
const MAX_FINGERPRINTS: usize = 16;

/// Crashes in a report.
pub(super) type Message = Vec<Crash>;

/// State of one host.
#[derive(Default)]
pub(super) struct HostKnowledge {
    tracker: CrashTracker,
    reported: Vec<(HostTime, Crash)>,
}

/// Returns the interval between reports.
pub(super) const fn interval_ms(hosts: usize) -> u64 {
    if hosts <= MAX_DIRECT_HOSTS { DIRECT_INTERVAL_MS } else { RELAYED_INTERVAL_MS }
}

fn id((slot, incarnation): Incarnation) -> UpstreamId {
    format!("u-{slot}-{incarnation}").parse().unwrap_or_else(|e| panic!("an id: {e}"))
}

impl HostKnowledge {
    pub(super) fn is_refused(&self, fingerprint: Fingerprint, now: HostTime) -> bool {
        self.tracker.is_refused(fingerprint, now)
    }

    /// Returns whether a request may be sent on a connection that was opened for it.
    pub(super) const fn may_send(&self, _: Fingerprint, _: HostTime) -> bool {
        true
    }

    pub(super) const fn on_sent(&self, _: Incarnation, _: Fingerprint) {}

    pub(super) const fn on_answered(&self, _: Incarnation, _: Fingerprint, _: HostTime) {}

    /// Records a broken connection. Returns whether the host checks now whether the upstream has ended.
    pub(super) fn on_broken(
        &mut self,
        upstream: Incarnation,
        fingerprint: Fingerprint,
        load: u32,
        now: HostTime,
    ) -> bool {
        self.tracker.on_broken(&id(upstream), fingerprint, load, now);
        false
    }

    /// Records that an upstream has ended.
    pub(super) fn on_gone(&mut self, upstream: Incarnation, now: HostTime) {
        let hash = incarnation_hash(upstream);
        if let Some(crash) = self.tracker.on_unreachable_or_restarted(&id(upstream), hash, now) {
            self.reported.push((now, crash));
        }
    }

    /// Records that an upstream refused a connection. Another host is asked: it tries only if it does not avoid the
    /// upstream already.
    pub(super) fn on_refused_connection(
        &mut self,
        upstream: Incarnation,
        is_avoided_by_other: bool,
        now: HostTime,
    ) {
        if !is_avoided_by_other {
            self.on_gone(upstream, now);
        }
    }

    /// Records an answer of another instance at the address of an upstream.
    pub(super) const fn on_other_instance(&self, _: Incarnation, _: HostTime) {}

    /// Records that the registry lists another instance at the address of an upstream.
    pub(super) const fn on_successor(&self, _: Incarnation, _: HostTime) {}

    /// Returns the next report, if there is anything to report.
    pub(super) fn message(&mut self, _: u64, now: HostTime) -> Option<Message> {
        self.reported.retain(|(since, _)| now.since(*since) < REPORT_PERIOD);
        let newest = self.reported.iter().rev().take(MAX_CRASHES);
        let crashes = newest.map(|(_, crash)| {
            let in_flight = crash.in_flight.iter().copied().take(MAX_FINGERPRINTS).collect();
            Crash { in_flight, ..crash.clone() }
        });
        let message: Message = crashes.collect();
        (!message.is_empty()).then_some(message)
    }

    /// Returns whether the report of a round goes to other regions, too.
    pub(super) const fn includes_far(&self, round: u64, hosts: usize, _: HostTime) -> bool {
        let every =
            if hosts <= MAX_DIRECT_HOSTS { FAR_REPORT_EVERY } else { RELAYED_FAR_REPORT_EVERY };
        round.is_multiple_of(every)
    }

    pub(super) fn receive(&mut self, message: &Message, now: HostTime) {
        for crash in message {
            if self.tracker.on_crash(crash, now) {
                self.reported.push((now, crash.clone()));
            }
        }
    }
}
