//! Quarantine of requests that crash the upstreams that run them, for one service.
//!
//! When an upstream is lost, every request in flight on it becomes a suspect. A suspect runs alone on its upstream, so
//! that the next loss or answer can be attributed to it: an answer clears it, a second loss quarantines it.

use crate::crash_history::{CrashHistories, Death, SuspicionShare, Verdict};
use crate::fingerprint::Fingerprint;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{Millis, WallTime};

const MAX_TRACKED_REQUESTS: usize = 4096;
const RESERVATION_MS: u64 = 1000;
const RESERVATION_PAUSE_MS: u64 = 3000;

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It may. It counts as in flight until it is answered or ended, or the upstream is lost.
    Run,
    /// Not now: a suspect runs alone on the upstream, or a suspect is waiting for the upstream to become idle.
    Wait,
    /// Not before this time; the request was not run.
    Quarantined(WallTime),
}

/// Requests in flight on one upstream.
#[derive(Debug, Clone, Default)]
struct InFlight {
    requests: Vec<Fingerprint>,
    is_exclusive: bool,
    reservation: Option<Reservation>,
}

/// Period in which an upstream gets no new requests, so that it becomes idle for a waiting suspect.
#[derive(Debug, Clone, Copy)]
struct Reservation {
    until: WallTime,
}

impl Reservation {
    fn starting(now: WallTime) -> Self {
        Self { until: now + Millis(RESERVATION_MS) }
    }

    fn may_be_renewed(&self, now: WallTime) -> bool {
        now >= self.until + Millis(RESERVATION_PAUSE_MS)
    }
}

impl InFlight {
    fn admit_clean(&self, now: WallTime) -> Admission {
        let is_reserved = self.reservation.is_some_and(|reservation| now < reservation.until);
        if self.is_exclusive || is_reserved { Admission::Wait } else { Admission::Run }
    }

    fn admit_suspect(&mut self, now: WallTime) -> Admission {
        if self.requests.is_empty() {
            self.is_exclusive = true;
            self.reservation = None;
            return Admission::Run;
        }
        if self.reservation.is_none_or(|reservation| reservation.may_be_renewed(now)) {
            self.reservation = Some(Reservation::starting(now));
        }
        Admission::Wait
    }

    fn remove(&mut self, fingerprint: Fingerprint) {
        if let Some(index) = self.requests.iter().position(|other| *other == fingerprint) {
            self.requests.swap_remove(index);
        }
        self.is_exclusive &= !self.requests.is_empty();
    }

    /// Returns the distinct requests in flight and each one's share of the suspicion for the loss.
    fn into_suspects(mut self) -> (Vec<Fingerprint>, SuspicionShare) {
        self.requests.sort_unstable();
        self.requests.dedup();
        let share = if self.is_exclusive {
            SuspicionShare::ALONE
        } else {
            SuspicionShare::among(self.requests.len())
        };
        (self.requests, share)
    }
}

/// Decides which requests of a service may run on which upstream, based on their crash histories.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    histories: CrashHistories,
    in_flight: FastMap<UpstreamId, InFlight>,
}

impl Quarantine {
    /// Decides whether a request may be sent to an upstream now.
    pub fn admit(
        &mut self,
        upstream: &UpstreamId,
        fingerprint: Fingerprint,
        now: WallTime,
    ) -> Admission {
        let verdict = self.histories.verdict(fingerprint, now);
        let in_flight = self.in_flight.entry(upstream.clone()).or_default();
        let admission = match verdict {
            Verdict::Clean => in_flight.admit_clean(now),
            Verdict::Suspect => in_flight.admit_suspect(now),
            Verdict::Quarantined(until) => Admission::Quarantined(until),
        };
        if admission == Admission::Run {
            in_flight.requests.push(fingerprint);
        }
        admission
    }

    /// Records that a request got a complete answer, which clears a suspect.
    pub fn answered(&mut self, upstream: &UpstreamId, fingerprint: Fingerprint, now: WallTime) {
        self.ended(upstream, fingerprint);
        self.histories.clear(fingerprint, now);
    }

    /// Records that a request ended without an answer or a loss, for example because it was cancelled.
    pub fn ended(&mut self, upstream: &UpstreamId, fingerprint: Fingerprint) {
        if let Some(in_flight) = self.in_flight.get_mut(upstream) {
            in_flight.remove(fingerprint);
        }
    }

    /// Records the loss of an upstream and returns the requests that were in flight on it.
    ///
    /// Only the first of its connections that breaks counts as the loss: later calls find no requests in flight.
    pub fn lost(&mut self, upstream: &UpstreamId, now: WallTime) -> Vec<Fingerprint> {
        let Some(in_flight) = self.in_flight.remove(upstream) else { return Vec::new() };
        let (requests, share) = in_flight.into_suspects();
        for fingerprint in &requests {
            let death = Death { at: now, upstream: upstream.clone(), share };
            self.histories.add(*fingerprint, death);
        }
        self.histories.prune(now, MAX_TRACKED_REQUESTS);
        requests
    }

    /// Removes an upstream that has left the service.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.in_flight.remove(upstream);
    }

    /// Merges the crash histories known to another host.
    pub fn merge(&mut self, histories: &CrashHistories, now: WallTime) {
        self.histories.merge(histories);
        self.histories.prune(now, MAX_TRACKED_REQUESTS);
    }

    /// Returns the crash histories, to be sent to other hosts.
    pub fn histories(&self) -> &CrashHistories {
        &self.histories
    }

    /// Returns the consequence of a request's crash history.
    pub fn verdict(&self, fingerprint: Fingerprint, now: WallTime) -> Verdict {
        self.histories.verdict(fingerprint, now)
    }
}
