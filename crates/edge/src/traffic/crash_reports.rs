//! Crashes of upstreams with requests in flight: seen by this host, or reported by other hosts.

use super::Traffic;
use super::reports::NameHash;
use crate::clock;
use metrics::counter;
use serde::{Deserialize, Serialize};
use skylarkdock_dispatch::crash_tracker::{Crash, Fingerprint};
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};

/// Time for which a crash is included in each load report; long enough for two reports to other regions.
const REPORT_PERIOD: Millis = Millis(1_700);
/// Number of crashes in one report. With more of them, or more fingerprints, a report would not fit in a packet.
const MAX_CRASHES: usize = 4;
/// Number of fingerprints per crash in a report.
const MAX_FINGERPRINTS: usize = 16;

/// Crash that is included in load reports.
#[derive(Debug)]
pub(super) struct ReportedCrash {
    since: HostTime,
    crash: Crash,
}

/// Crash in wire format: the upstream, the fingerprints of the requests in flight and the load from all hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct CrashReport {
    upstream: NameHash,
    in_flight: Vec<u64>,
    load: u32,
}

impl Traffic {
    /// Records that the connection of a request broke before the answer, or that the answer was invalid.
    pub(super) fn on_broken(
        &self,
        service: &ServiceName,
        id: &UpstreamId,
        fingerprint: Fingerprint,
    ) {
        let now = clock::now();
        let load = {
            let services = self.services.borrow();
            let upstream = services.get(service).and_then(|state| state.service.upstream(id));
            upstream.map_or(1, |upstream| upstream.load(now))
        };
        counter!("skylarkdock_crash_evidence_total", "kind" => "broken").increment(1);
        log::info!(upstream:% = id, fingerprint = fingerprint.0, load = load;
            "crashes: a connection broke before the answer");
        self.crash_tracker.borrow_mut().on_broken(id, fingerprint, load, now);
    }

    /// Records that an upstream refused a connection, has restarted or is no longer listed. If connections to it broke
    /// shortly before, this is a crash, which is reported to the other hosts.
    pub(super) fn on_unreachable_or_restarted(&self, id: &UpstreamId) {
        let now = clock::now();
        let hash = NameHash::of(id.as_str());
        let Some(crash) =
            self.crash_tracker.borrow_mut().on_unreachable_or_restarted(id, hash.0, now)
        else {
            return;
        };
        counter!("skylarkdock_crash_evidence_total", "kind" => "own").increment(1);
        log::info!(upstream:% = id, in_flight = crash.in_flight.len(), load = crash.load;
            "crashes: an upstream ended with requests in flight");
        self.reported_crashes.borrow_mut().push(ReportedCrash { since: now, crash });
    }

    /// Returns the crashes to include in the next load reports.
    pub(super) fn crashes_to_report(&self) -> Vec<CrashReport> {
        let now = clock::now();
        let mut reported = self.reported_crashes.borrow_mut();
        reported.retain(|entry| now.since(entry.since) < REPORT_PERIOD);
        let newest = reported.iter().rev().take(MAX_CRASHES);
        let reports = newest.map(|entry| CrashReport {
            upstream: NameHash(entry.crash.upstream),
            in_flight: entry
                .crash
                .in_flight
                .iter()
                .take(MAX_FINGERPRINTS)
                .map(|fingerprint| fingerprint.0)
                .collect(),
            load: entry.crash.load,
        });
        reports.collect()
    }

    /// Applies the crashes reported by another host.
    pub(super) fn apply_crash_reports(&self, reports: Vec<CrashReport>) {
        let now = clock::now();
        let mut tracker = self.crash_tracker.borrow_mut();
        for report in reports {
            let in_flight = report.in_flight.into_iter().map(Fingerprint).collect();
            let crash = Crash { upstream: report.upstream.0, in_flight, load: report.load };
            if tracker.on_crash(&crash, now) {
                counter!("skylarkdock_crash_evidence_total", "kind" => "reported").increment(1);
                log::info!(upstream = crash.upstream, in_flight = crash.in_flight.len(), load = crash.load;
                    "crashes: another host reports that an upstream ended");
                // Reports of many hosts are relayed, so the crashes in them are passed on.
                self.reported_crashes.borrow_mut().push(ReportedCrash { since: now, crash });
            }
        }
    }
}
