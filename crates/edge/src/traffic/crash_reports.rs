//! Crashes of upstreams with requests in flight: seen by this host, or reported by other hosts.

use super::Traffic;
use super::attempt::Target;
use crate::client::{Conn, Outgoing};
use crate::clock;
use crate::detour::{CONNECT_TIMEOUT, DetourError};
use crate::listing::ListingUpdate;
use crate::load_reports::CrashReport;
use crate::net::ConnectError;
use async_io::Timer;
use metrics::{counter, gauge};
use serde::{Deserialize, Serialize};
use skylarkdock_dispatch::crash_tracker::{
    Crash, Digest, EndProof, Fingerprint, IncarnationHash, Refusal,
};
use skylarkdock_dispatch::regions::AllowedRegions;
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::times::Millis;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use xxhash_rust::xxh3;

/// First bytes of a datagram with a digest. No load report begins with them, as they are no valid hash of a host, and
/// messages about permits begin otherwise.
const DIGEST_TAG: [u8; 5] = [0xff, 0xff, 0xff, 0xff, 0x7f];
/// Time within which all connections to an upstream that ends break.
const BREAK_TIME: Millis = Millis(20);
/// Shortest time between two checks of one address. An upstream stays away for longer.
const END_CHECK_INTERVAL: Millis = Millis(1_000);
/// Time that another host gets to say whether it reaches an upstream.
const SECOND_OPINION_TIMEOUT: Millis = Millis(100);

/// Digest in wire format, with ages in milliseconds. Later versions may append fields, which earlier ones skip.
#[derive(Debug, Serialize, Deserialize)]
struct WireDigest {
    refused: Vec<(u64, u64)>,
    answered: Vec<(u64, u64)>,
}

impl WireDigest {
    fn new(digest: &Digest) -> Self {
        let wire = |entries: &[(Fingerprint, Millis)]| {
            entries.iter().map(|(fingerprint, age)| (fingerprint.0, age.0)).collect()
        };
        Self { refused: wire(&digest.refused), answered: wire(&digest.answered) }
    }

    fn digest(self) -> Digest {
        let entries = |wire: Vec<(u64, u64)>| {
            wire.into_iter().map(|(hash, age)| (Fingerprint(hash), Millis(age))).collect()
        };
        Digest { refused: entries(self.refused), answered: entries(self.answered) }
    }
}

fn to_report(crash: &Crash) -> CrashReport {
    let in_flight = crash.in_flight.iter().map(|fingerprint| fingerprint.0).collect();
    CrashReport { upstream: crash.upstream.0, in_flight, load: crash.load }
}

fn from_report(report: CrashReport) -> Crash {
    let in_flight = report.in_flight.into_iter().map(Fingerprint).collect();
    Crash { upstream: IncarnationHash(report.upstream), in_flight, load: report.load }
}

/// Returns whether a datagram is a digest.
pub(super) fn is_digest(bytes: &[u8]) -> bool {
    bytes.starts_with(&DIGEST_TAG)
}

/// Returns a digest in wire format; `None` if it can't be encoded.
pub(super) fn encode_digest(digest: &Digest) -> Option<Vec<u8>> {
    match postcard::to_extend(&WireDigest::new(digest), DIGEST_TAG.to_vec()) {
        Ok(bytes) => Some(bytes),
        Err(e) => {
            log::error!("crashes: can't encode a digest: {e}");
            None
        }
    }
}

/// Returns the hash that stands for an incarnation on all hosts.
fn incarnation_hash(id: &UpstreamId, born: u64) -> IncarnationHash {
    let [a, b, c, d, ..] = xxh3::xxh3_64_with_seed(id.as_str().as_bytes(), born).to_le_bytes();
    IncarnationHash(u32::from_le_bytes([a, b, c, d]))
}

impl Traffic {
    /// Returns whether a request is refused because it probably crashes upstreams.
    pub(super) fn crash_refusal(&self, fingerprint: Fingerprint) -> Option<Refusal> {
        self.crash_tracker.borrow().refusal(fingerprint, clock::now())
    }

    /// Waits until a request is refused because it probably crashes upstreams.
    pub(super) async fn until_refused(&self, fingerprint: Fingerprint) {
        loop {
            let listener = self.crashes_changed.listen();
            if self.crash_refusal(fingerprint).is_some() {
                return;
            }
            listener.await;
        }
    }

    /// Checks whether an upstream has ended, after the connection of a request broke before the answer. Requests to it
    /// may be rare, so none may show it soon.
    pub(super) fn check_end(self: &Rc<Self>, target: Target<'_>) {
        let now = clock::now();
        let mut checked_at = self.end_checked_at.borrow_mut();
        checked_at.retain(|_, at| now.since(*at) < END_CHECK_INTERVAL);
        if checked_at.contains_key(&target.addr) {
            return;
        }
        checked_at.insert(target.addr, now);
        let (traffic, id) = (Rc::clone(self), target.id.clone());
        let (born, addr) = (target.born, target.addr);
        let check = async move {
            if traffic.has_ended(&id, addr).await {
                traffic.on_ended(&id, born, EndProof::Certain);
            }
        };
        self.ex.spawn(check).detach();
    }

    /// Returns whether an upstream has ended: all connections to it broke, it refuses new ones, and no other host
    /// reaches it.
    async fn has_ended(&self, id: &UpstreamId, addr: SocketAddr) -> bool {
        Timer::after(BREAK_TIME.duration()).await;
        let has_connections =
            self.crash_tracker.borrow().awaits_answers(id) || self.pool.borrow_mut().has_open(addr);
        if has_connections || !self.status.paths().lock().is_direct(addr) {
            return false;
        }
        match Conn::open(addr, CONNECT_TIMEOUT).await {
            Ok(conn) => {
                self.pool.borrow_mut().put(addr, conn, 1);
                return false;
            }
            Err(ConnectError::Shortage(shortage)) => {
                log::warn!(upstream:% = id, lack = shortage.as_str(); "crashes: it can't be checked whether an upstream has ended");
                return false;
            }
            Err(ConnectError::Path(e)) => {
                self.status.paths().on_failure(addr, &e);
                if e.kind() != ErrorKind::ConnectionRefused {
                    return false;
                }
            }
        }
        // The other host opens a connection and sends nothing on it, so it may be in any region.
        let intermediaries = self.intermediaries(&AllowedRegions::default());
        let nothing = Outgoing {
            bytes: Vec::new(),
            shared_body: Arc::default(),
            is_head: false,
            id: None,
            max_answer: 0,
        };
        let opinion = self
            .detour_client
            .call(
                self.status.paths(),
                &intermediaries,
                addr,
                (&nothing, true),
                SECOND_OPINION_TIMEOUT,
            )
            .await;
        match opinion {
            Ok(_) | Err(DetourError::Shortage(_)) => false,
            Err(DetourError::NoDetour) => intermediaries.is_empty(),
            Err(DetourError::Refused | DetourError::Unreached) => true,
        }
    }

    /// Records that an upstream has ended. If it had requests in flight, this is a crash, which is reported to the other
    /// hosts.
    pub(super) fn on_ended(&self, id: &UpstreamId, born: u64, proof: EndProof) {
        let hash = incarnation_hash(id, born);
        let ended = self.crash_tracker.borrow_mut().on_ended(id, hash, proof, clock::now());
        let Some(crash) = ended else { return };
        counter!("skylarkdock_crash_evidence_total", "kind" => "own").increment(1);
        log::info!(upstream:% = id, in_flight = crash.in_flight.len(), load = crash.load;
            "crashes: an upstream ended with requests in flight");
        self.crashes_changed.notify(usize::MAX);
    }

    /// Records the upstreams that have ended according to changes of the listed ones.
    pub(super) fn record_ends(&self, update: &ListingUpdate) {
        for end in &update.ended {
            self.on_ended(&end.id, end.born, end.proof);
        }
        if !update.removed.is_empty() {
            let listing = self.listing.borrow();
            self.crash_tracker.borrow_mut().retain_upstreams(|id| listing.get(id).is_some());
        }
    }

    /// Applies the crashes reported by another host.
    pub(super) fn apply_crash_reports(&self, reports: Vec<CrashReport>) {
        if reports.is_empty() {
            return;
        }
        let crashes: Vec<Crash> = reports.into_iter().map(from_report).collect();
        let new = self.crash_tracker.borrow_mut().on_crashes(&crashes, clock::now());
        if new > 0 {
            counter!("skylarkdock_crash_evidence_total", "kind" => "reported")
                .increment(new as u64);
            log::info!(new = new; "crashes: another host reports that upstreams ended");
            self.crashes_changed.notify(usize::MAX);
        }
    }

    /// Applies the digest of another host.
    pub(super) fn apply_digest(&self, bytes: &[u8]) {
        match postcard::from_bytes::<WireDigest>(&bytes[DIGEST_TAG.len()..]) {
            Ok(wire) => {
                self.crash_tracker.borrow_mut().on_digest(&wire.digest(), clock::now());
                self.crashes_changed.notify(usize::MAX);
            }
            Err(e) => log::debug!("crashes: can't read a digest: {e}"),
        }
    }

    /// Returns the number of requests that all hosts have at an upstream.
    pub(super) fn load_at(&self, service: &ServiceName, id: &UpstreamId) -> u32 {
        let services = self.services.borrow();
        let upstream = services.get(service).and_then(|state| state.service.upstream(id));
        upstream.map_or(1, |upstream| upstream.load(clock::now()))
    }

    /// Returns what to tell hosts that missed reports of crashes.
    pub(super) fn crash_digest(&self) -> Digest {
        let digest = self.crash_tracker.borrow_mut().digest(clock::now());
        gauge!("skylarkdock_refused_as_crashing")
            .set(f64::from(u32::try_from(digest.refused.len()).unwrap_or(u32::MAX)));
        digest
    }

    /// Returns the crashes to report.
    pub(super) fn crashes_to_report(&self) -> Vec<CrashReport> {
        let crashes = self.crash_tracker.borrow().recent_crashes(clock::now());
        crashes.iter().map(to_report).collect()
    }
}
