//! Calls for a configuration of which this host was told by others.
//!
//! Updates bring configurations as long as their source answers. A notice of a newer version also says which hosts have it, so
//! this host asks one of them, also while it waits for its source or for the store.

use super::encoded::EncodedRecordError;
use super::evacuations::Source;
use super::updates::{self, TopicUpdate};
use super::{Control, HostRecord, peers};
use crate::client::{ControlClient, Failure, Patience};
use crate::clock;
use crate::load_reports::NameHash;
use crate::store::Topic;
use async_io::Timer;
use futures_lite::FutureExt;
use metrics::counter;
use serde::{Deserialize, Serialize};
use skylarkdock_deltas::{self as deltas, DeltaError};
use skylarkdock_freshness::fetching::{Distance, FarTurn, Fetching, Step, UrgentAge};
use skylarkdock_freshness::proof;
use skylarkdock_freshness::versions::Origin;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::Region;
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::rc::Rc;
use thiserror::Error;

/// Path of a request for the configuration. Hosts of the version before answer it with 404.
pub(super) const CONFIG_PATH: &str = "/config";
/// Time limits of a request for the configuration: its silence, well below the time for which hosts without a version refuse
/// requests, and the time that the largest answer may take.
const FETCH_PATIENCE: Patience = Patience { silence: Millis(250), total: Millis(3_000) };
/// Number of calls in a row without success from which on requests don't wait for the next one.
const MAX_AWAITED_FAILURES: u32 = 2;

/// Request for a newer configuration than the sender has. It is answered at once.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ConfigRequest {
    /// Region of the requesting host.
    region: Region,
    /// Offset after the last configuration record that the requesting host knows.
    next: u64,
    /// Keys of the large records that it has, and the hashes of its versions.
    versions: Vec<(String, u64)>,
}

/// Answer to a request for the configuration.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum ConfigResponse {
    /// The answering host has sent as many answers lately as it may.
    Busy,
    /// What the requesting host lacks.
    Newer(ConfigUpdate),
}

/// Records of the configuration that the answering host has and the requesting one lacks.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct ConfigUpdate {
    config: TopicUpdate,
    /// Longest time for which the configuration in force may have been published.
    config_age: Millis,
}

/// Result of a request for the configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fetched {
    /// A newer configuration is in force.
    InForce,
    /// Updates or a read of the store brought it during the call.
    CameOtherwise,
}

/// Reason for which a request for the configuration did not bring a newer one.
#[derive(Debug, Error)]
enum FetchError {
    #[error("no answer")]
    Call(#[source] Failure),
    #[error("can't decompress the answer")]
    Compression(#[source] DeltaError),
    #[error("can't parse the answer")]
    Text(#[source] serde_json::Error),
    #[error("can't decode a record")]
    Record(#[source] EncodedRecordError),
    #[error("a record is missing that could not be encoded")]
    Incomplete,
    #[error("too many hosts ask for it")]
    Busy,
    #[error("the host has no newer one")]
    NothingNewer,
    #[error("the newer one can't be put in force")]
    Rejected,
}

impl FetchError {
    /// Returns the value of the label `result` in metrics.
    const fn label(&self) -> &'static str {
        match self {
            Self::Call(_) => "no_answer",
            Self::Compression(_) | Self::Text(_) | Self::Record(_) => "undecodable",
            Self::Incomplete => "incomplete",
            Self::Busy => "busy",
            Self::NothingNewer => "nothing_newer",
            Self::Rejected => "rejected",
        }
    }
}

/// Starts the task that fetches configurations.
pub(super) fn start(control: &Rc<Control>) {
    control.spawn("config fetch", Rc::clone(control).fetch_configs());
}

fn origin(record: &HostRecord) -> Origin {
    Origin(NameHash::of(record.host.as_str()).0)
}

impl Control {
    /// Returns the encoded answer to a request for the configuration.
    pub(super) fn on_config_request(&self, request: &ConfigRequest) -> Option<Vec<u8>> {
        let now = clock::now();
        let is_far = request.region != self.settings.region;
        if !self.config_answers.borrow_mut().admits(is_far, now) {
            counter!("skylarkdock_config_requests_refused_total").increment(1);
            log::debug!(is_far = is_far; "config: too many hosts ask for it");
            return peers::encode(&ConfigResponse::Busy);
        }
        let update = {
            let mut fleet = self.fleet.borrow_mut();
            let config_age = now.since(fleet.config_published_after);
            let known = &mut fleet.known_records;
            let have = Some(request.versions.as_slice());
            let mut config = updates::topic_update(known, Topic::Config, request.next, have, now);
            updates::add_unread(&mut config, fleet.unread_config.as_ref(), request.next);
            ConfigUpdate { config, config_age }
        };
        let answer = updates::compress(peers::encode(&ConfigResponse::Newer(update))?);
        self.config_answers.borrow_mut().record(answer.len(), is_far, now);
        Some(answer)
    }

    /// Fetches configurations in an endless loop, with one call at a time.
    async fn fetch_configs(self: Rc<Self>) {
        let own = Origin(NameHash::of(self.settings.host.as_str()).0);
        let mut fetching = Fetching::new(own, UrgentAge::new(self.settings.apply_time));
        let mut needs_whole = false;
        let mut failures: u32 = 0;
        loop {
            let added = self.status.version_claims().listen();
            let now = clock::now();
            fetching.on_in_force(self.config_version());
            for claim in self.status.version_claims().take() {
                fetching.on_claim(claim.origin, claim.version, claim.since, now);
            }
            match self.next_step(&fetching, own, now) {
                Step::Ask((origin, addr)) => {
                    if failures < MAX_AWAITED_FAILURES {
                        self.status.version_claims().on_fetch();
                    } else {
                        self.status.version_claims().on_fetch_end();
                    }
                    let result = self.fetch_config(addr, needs_whole).await;
                    needs_whole = matches!(result, Err(FetchError::Record(_)));
                    record_fetch(addr, now, self.config_version(), &result);
                    failures = if result.is_ok() { 0 } else { failures.saturating_add(1) };
                    match result {
                        // The traffic thread applies it next.
                        Ok(_) => continue,
                        Err(FetchError::Busy) => fetching.on_busy(origin, clock::now()),
                        Err(_) => fetching.on_failure(origin, clock::now()),
                    }
                    self.status.version_claims().on_fetch_end();
                }
                Step::WaitUntil(at) => {
                    self.status.version_claims().on_fetch_end();
                    let due = async {
                        Timer::at(clock::instant(at)).await;
                    };
                    added.or(due).await;
                }
                Step::Idle => {
                    // Without a newer version, the traffic thread applies what this one has put in force.
                    if fetching.newest().is_some() {
                        self.status.version_claims().on_fetch_end();
                    }
                    added.await;
                }
            }
        }
    }

    /// Returns what to do next, with the address of the host to ask.
    fn next_step(
        &self,
        fetching: &Fetching,
        own: Origin,
        now: HostTime,
    ) -> Step<(Origin, SocketAddr)> {
        let Some(newest) = fetching.newest() else { return Step::Idle };
        let fleet = self.fleet.borrow();
        let places: FastMap<Origin, (Distance, SocketAddr)> = fleet
            .hosts
            .values()
            .map(|record| (origin(record), (self.distance(record), record.peers)))
            .collect();
        let near = places.iter().filter(|(_, (distance, _))| *distance != Distance::Far);
        let far_turn = FarTurn::new(own, near.map(|(origin, _)| *origin), newest);
        let place = |origin| {
            let (distance, addr) = places.get(&origin)?;
            Some((*distance, (origin, *addr)))
        };
        fetching.next(place, far_turn, now)
    }

    fn distance(&self, record: &HostRecord) -> Distance {
        if record.zone == self.settings.zone {
            Distance::Zone
        } else if record.region == self.settings.region {
            Distance::Region
        } else {
            Distance::Far
        }
    }

    /// Requests the configuration from another host and puts it in force if it is newer.
    async fn fetch_config(
        &self,
        addr: SocketAddr,
        needs_whole: bool,
    ) -> Result<Fetched, FetchError> {
        let asked_at = clock::now();
        let request = self.config_request(needs_whole);
        let mut caller = ControlClient::new(addr);
        let body = peers::call(&mut caller, CONFIG_PATH, &request, FETCH_PATIENCE).await;
        let body = body.map_err(FetchError::Call)?;
        let text = if deltas::is_compressed(&body) {
            deltas::decompress(&body).map_err(FetchError::Compression)?
        } else {
            body
        };
        match serde_json::from_slice(&text).map_err(FetchError::Text)? {
            ConfigResponse::Busy => Err(FetchError::Busy),
            ConfigResponse::Newer(update) => self.apply_fetched(update, request.next, asked_at),
        }
    }

    fn config_request(&self, needs_whole: bool) -> ConfigRequest {
        let fleet = self.fleet.borrow();
        let known = &fleet.known_records;
        let mut versions = Vec::new();
        if !needs_whole {
            let large = known.versions.iter();
            let of_config = large.filter(|(key, _)| known.config.records.contains_key(*key));
            versions.extend(of_config.map(|(key, versions)| (key.clone(), versions.newest())));
        }
        let region = self.settings.region.clone();
        ConfigRequest { region, next: known.config.next, versions }
    }

    /// Applies the records of an answer to a request from the offset `known_next` on, also if the proof of the other host is older:
    /// it holds for less, but what this host lacks is newer than what its own proof was about.
    fn apply_fetched(
        &self,
        update: ConfigUpdate,
        known_next: u64,
        asked_at: HostTime,
    ) -> Result<Fetched, FetchError> {
        let ConfigUpdate { mut config, config_age } = update;
        self.apply_passed_evacuations(config.evacuations.take(), Source::Fetch);
        let (next, absent_at) = {
            let fleet = self.fleet.borrow();
            (fleet.known_records.config.next, fleet.known_records.proof_at(Topic::Config))
        };
        if next > known_next {
            return Ok(Fetched::CameOtherwise);
        }
        if config.next <= next {
            return Err(FetchError::NothingNewer);
        }
        if config.is_invalid() {
            return Err(FetchError::Incomplete);
        }
        let (age, has_unread) = (config.age, config.unread.is_some());
        let page = self.decode_page(config).map_err(FetchError::Record)?;
        let proof = |age| proof::passed_on(asked_at, Millis(0), age);
        let before = self.config_version();
        self.publish_together(|| {
            // The other host may be one that drops configurations which it can't read.
            self.apply_page(Topic::Config, page, false, proof(age));
            // The other host's time is not that of a record which only this one can read.
            let has_read_unread = has_unread && self.fleet.borrow().unread_config.is_none();
            if before < self.config_version() && !has_read_unread {
                self.record_config_publication(absent_at, Some(proof(config_age)));
            }
        });
        if before < self.config_version() {
            Ok(Fetched::InForce)
        } else {
            Err(FetchError::Rejected)
        }
    }
}

fn record_fetch(
    addr: SocketAddr,
    asked_at: HostTime,
    version: u64,
    result: &Result<Fetched, FetchError>,
) {
    let took = clock::now().since(asked_at);
    let label = match result {
        Ok(Fetched::CameOtherwise) => "came_otherwise",
        Ok(Fetched::InForce) => {
            log::info!(peer:% = addr, version = version, took:% = took; "config: fetched from a host that told of it");
            "newer"
        }
        Err(e) => {
            log::info!(peer:% = addr, version = version, took:% = took, error:% = e; "config: a host that told of a newer one did not send it");
            e.label()
        }
    };
    counter!("skylarkdock_config_fetches_total", "result" => label).increment(1);
}
