//! Distribution of the store's records between hosts.
//!
//! The upstreams' heartbeats change the registry all the time, and each call to the store is charged for. So normally
//! only the leader reads the store. One host of each availability zone requests updates from the leader by long
//! polling, and the other hosts of the zone request them from that host. Updates contain changes only and arrive within
//! milliseconds. A host whose updates are too old reads the store itself when its turn comes
//! ([`skylarkdock_freshness::reading`]). If it can't reach the store either, it requests updates from any other host of
//! its region, and a keeper from any other host at all.
//!
//! A host can't tell from the age of its updates whether the store is unavailable, refuses only the leader, or nobody
//! leads. So updates also say whether the sender's own reads fail, and how long ago the store accepted a leader's
//! heartbeat.

use super::config_page::UnreadRecord;
use super::encoded::{self, EncodedRecord, EncodedRecordError, Versions};
use super::evacuations::{self, EvacuationsUpdate, Source};
use super::known_records::KnownRecords;
use super::registry::{KeptEntry, RegistryChange};
use super::{Control, peers};
use crate::client::{ControlClient, Patience};
use crate::clock;
use crate::store::{Page, Record, Topic};
use async_io::Timer;
use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};
use skylarkdock_deltas::{self as deltas, DeltaError};
use skylarkdock_freshness::copies::{CopyNumber, Position};
use skylarkdock_freshness::proof;
use skylarkdock_spans::leader::SpanId;
use skylarkdock_units::ids::{HostId, ServiceName};
use skylarkdock_units::times::{HostTime, Millis};
use std::rc::Rc;
use thiserror::Error;

/// Longest time that a request for updates waits at the host that it was sent to.
const UPDATE_WAIT: Millis = Millis(300);
/// Time limits of a request for updates: the silence beyond the wait, and the time that the largest answer may take.
const UPDATE_PATIENCE: Patience =
    Patience { silence: Millis(UPDATE_WAIT.0 + 300), total: Millis(5_000) };
/// Size from which an answer is compressed, in bytes: the registry, and tables that changed.
const MIN_COMPRESSED_SIZE: usize = 4_096;
/// Pause after a request for updates that was not answered.
const RETRY_PAUSE: Millis = Millis(200);
/// Time between two searches for a source of updates.
const SOURCE_INTERVAL: Millis = Millis(300);
/// Hosts of the fleet for each millisecond of the pause between two requests. The pause keeps a host with many
/// followers from answering each of them for each change.
const HOSTS_PER_MILLI: u64 = 4;
/// Longest pause between two requests. Two of them fit the time in which a configuration has to be in force.
const MAX_REQUEST_PAUSE: Millis = Millis(250);
/// Time for which a host that requested updates counts as a follower.
const FOLLOWER_TIME: Millis = Millis(2_000);

/// Additional pause between requests while a host is isolated or gets older updates than it already has.
const ISOLATED_PAUSE: Millis = Millis(400);
/// Difference up to which two proofs of the registry count as equally old.
const PROOF_TOLERANCE: Millis = Millis(40);

/// Request for updates. It is answered once there are some or `wait` has passed.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct UpdateRequest {
    /// Host that requests updates; `None` for a host of an earlier version.
    #[serde(default)]
    host: Option<HostId>,
    /// Run of the source to which `version` belongs; zero to get all entries of the registry.
    run: u64,
    /// Version of the registry up to which the requesting host has the changes.
    version: u64,
    /// Offset after the last configuration record that the requesting host knows.
    config: u64,
    /// Offset after the last record of the fleet topic that the requesting host knows.
    fleet: u64,
    /// Spans that the requesting host knows to be granted although they are not recorded as granted.
    granted: Vec<(ServiceName, SpanId)>,
    /// Longest wait for updates.
    wait: Millis,
    /// Keys of the large records that the requesting host has, and the hashes of its versions. `None` from a host of an
    /// earlier version, which reads no encoded records.
    #[serde(default)]
    versions: Option<Vec<(String, u64)>>,
    /// Whether the offsets name the copy of the store that they belong to. Those of a host of an earlier version don't, nor
    /// may those in its answer.
    #[serde(default)]
    names_copies: bool,
    /// Offset up to which the requesting host knows all evacuations; `None` from a host of an earlier version, which knows
    /// of none.
    #[serde(default)]
    evacuations: Option<u64>,
}

/// Update of a topic other than the registry.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct TopicUpdate {
    /// Offset after the last record that the answering host knows.
    pub(super) next: u64,
    /// Time since the latest proof that the store had no newer record of the topic.
    pub(super) age: Millis,
    /// Whether `records` contain all keys of the topic.
    pub(super) is_whole: bool,
    /// Keys and values that the requesting host may not know.
    pub(super) records: Vec<(String, String)>,
    /// Large records that it may not know.
    #[serde(default)]
    pub(super) encoded: Vec<EncodedRecord>,
    /// Newest record of the configuration, if the answering host can't read it and the requesting host may not know it.
    /// `None` from a host of an earlier version, which drops such a record.
    #[serde(default)]
    pub(super) unread: Option<EncodedRecord>,
    /// Evacuations, in an update of the configuration; `None` from a host of an earlier version, which drops their records.
    #[serde(default)]
    pub(super) evacuations: Option<EvacuationsUpdate>,
}

/// Answer to a request for updates.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct UpdateResponse {
    /// Run of the answering host.
    run: u64,
    /// Version of the registry after `changes`.
    version: u64,
    /// How long the request waited at the answering host.
    waited: Millis,
    /// Time since the latest proof that the registry had no newer change.
    age: Millis,
    /// Offset after the last record of the registry that `changes` lead to; `None` if the requesting host must not read
    /// on from there.
    #[serde(default)]
    registry_next: Option<u64>,
    /// Whether `changes` and `kept` contain all entries.
    is_whole: bool,
    changes: Vec<RegistryChange>,
    /// Entries that the answering host keeps although they were deleted; empty unless `is_whole`.
    #[serde(default)]
    kept: Vec<KeptEntry>,
    /// Whether the answering host's own reads of the registry fail.
    #[serde(default)]
    reads_fail: bool,
    config: TopicUpdate,
    /// Longest time for which the configuration in force may have been published; `None` from a host of an earlier version.
    #[serde(default)]
    config_age: Option<Millis>,
    fleet: TopicUpdate,
    /// Time since the latest heartbeat of a leader that the store is known to have accepted; `None` if none is known.
    #[serde(default)]
    leader_age: Option<Millis>,
    /// Spans that the answering host knows to be granted although they are not recorded as granted.
    granted: Vec<(ServiceName, SpanId)>,
    /// Number of hosts as counted by the leader; zero if not known.
    #[serde(default)]
    hosts: u32,
    /// Number of the requesting host among those that request updates from the answering one, from zero.
    #[serde(default)]
    number: u32,
}

/// Reason for which an answer to a request for updates can't be read.
#[derive(Debug, Error)]
pub(super) enum UpdateError {
    /// The compressed bytes are damaged.
    #[error("can't decompress it")]
    Compression(#[source] DeltaError),
    /// The text is not of the expected form.
    #[error("can't parse it")]
    Text(#[source] serde_json::Error),
}

impl UpdateRequest {
    /// Returns whether the requesting host reads compressed answers.
    pub(super) const fn reads_compressed(&self) -> bool {
        self.versions.is_some()
    }

    /// Makes offsets that name no copy those of a copy.
    fn set_copy(&mut self, copy: CopyNumber) {
        if self.names_copies {
            return;
        }
        for offset in [&mut self.config, &mut self.fleet] {
            // Zero means that nothing is known.
            if *offset > 0 {
                let position = Position { copy, index: *offset };
                *offset = position.offset().unwrap_or_default();
            }
        }
    }
}

impl UpdateResponse {
    /// Removes the copy of the store from all offsets, for a host of an earlier version.
    fn remove_copies(&mut self) {
        for offset in [&mut self.config.next, &mut self.fleet.next] {
            *offset = Position::of(*offset).index;
        }
        self.registry_next = self.registry_next.map(|offset| Position::of(offset).index);
    }

    /// Returns the age of the answering host's configuration, and the offset after its last record.
    pub(super) const fn config_state(&self) -> (Millis, u64) {
        (self.config.age, self.config.next)
    }

    /// Returns the age of the answering host's registry.
    pub(super) const fn registry_age(&self) -> Millis {
        self.age
    }

    /// Returns whether the answering host's own reads of the registry fail.
    pub(super) const fn reads_fail(&self) -> bool {
        self.reads_fail
    }

    fn decode(bytes: &[u8]) -> Result<Self, UpdateError> {
        if !deltas::is_compressed(bytes) {
            return serde_json::from_slice(bytes).map_err(UpdateError::Text);
        }
        let text = deltas::decompress(bytes).map_err(UpdateError::Compression)?;
        serde_json::from_slice(&text).map_err(UpdateError::Text)
    }
}

/// Compresses an answer that is large. One that can't be compressed is sent as it is.
pub(super) fn compress(answer: Vec<u8>) -> Vec<u8> {
    if answer.len() < MIN_COMPRESSED_SIZE {
        return answer;
    }
    match deltas::compress(&answer) {
        Ok(compressed) => compressed,
        Err(e) => {
            log::error!("news: can't compress an answer: {e}");
            answer
        }
    }
}

/// Returns whether a host that sent a request lacks records.
fn has_updates_for(known: &KnownRecords, request: &UpdateRequest) -> bool {
    known.run != request.run
        || known.version != request.version
        || known.config.next > request.config
        || known.fleet.next > request.fleet
        || request.evacuations.is_some_and(|next| known.evacuations.next() > next)
}

impl TopicUpdate {
    /// Marks an update that lacks a record as no proof of anything, so that it is not applied.
    fn invalidate(&mut self) {
        self.age = Millis(u64::MAX);
    }

    /// Returns whether the update lacks a record that could not be encoded.
    pub(super) fn is_invalid(&self) -> bool {
        self.age == Millis(u64::MAX)
    }
}

/// Returns the update of a topic for a host that knows its records before the offset `next`. With `have`, the keys and
/// hashes of the versions that it has, large records are encoded, and those that are no text.
pub(super) fn topic_update(
    known: &mut KnownRecords,
    topic: Topic,
    next: u64,
    have: Option<&[(String, u64)]>,
    now: HostTime,
) -> TopicUpdate {
    let is_config = topic == Topic::Config;
    let evacuations = if is_config { evacuations::update(&known.evacuations, now) } else { None };
    let topic = if is_config { &known.config } else { &known.fleet };
    let mut update = TopicUpdate {
        next: topic.next,
        age: now.since(topic.proof_at),
        is_whole: next == 0,
        records: Vec::new(),
        encoded: Vec::new(),
        unread: None,
        evacuations,
    };
    for (key, (value, _)) in topic.records.iter().filter(|(_, (_, offset))| *offset > next) {
        if let Some(have) = have
            && let Some(versions) = known.versions.get_mut(key).filter(|_| encoded::is_large(value))
        {
            let base = have.iter().find(|(other, _)| other == key).map_or(0, |(_, hash)| *hash);
            if let Some(record) = versions.encode(key, value, base) {
                update.encoded.push(record);
                continue;
            }
        }
        if let Ok(text) = std::str::from_utf8(value) {
            update.records.push((key.clone(), text.to_owned()));
            continue;
        }
        match have.and_then(|_| Versions::default().encode(key, value, 0)) {
            Some(record) => update.encoded.push(record),
            None => {
                log::warn!(key = key.as_str(); "news: a record can't be sent to another host");
                update.invalidate();
            }
        }
    }
    update
}

/// Adds the newest record of the configuration to an update, if this host can't read it: the requesting host may be able
/// to, and must not take the last readable one for the newest otherwise.
pub(super) fn add_unread(update: &mut TopicUpdate, unread: Option<&UnreadRecord>, next: u64) {
    let Some(unread) = unread.filter(|unread| unread.offset > next) else { return };
    update.unread = unread.encode();
    if update.unread.is_none() {
        update.invalidate();
    }
}

/// Starts the task that requests updates.
pub(super) fn start(control: &Rc<Control>) {
    control.spawn("updates", Rc::clone(control).poll_updates());
}

impl Control {
    /// Answers a request once there are updates or its wait has passed. Returns `None` on a host that has resigned, so
    /// that its followers look for another source.
    pub(super) async fn on_update_request(
        &self,
        mut request: UpdateRequest,
    ) -> Option<UpdateResponse> {
        let asked_at = clock::now();
        request.set_copy(self.fleet.borrow().store_copy.number());
        let number = self.number_follower(request.host.as_ref(), asked_at);
        let until = asked_at + request.wait.min(UPDATE_WAIT);
        loop {
            let listener = self.changed.listen();
            let has_updates = has_updates_for(&self.fleet.borrow().known_records, &request)
                || self.owners.borrow().unrecorded_grants() != request.granted;
            if clock::now() < self.resigned_until.get() {
                return None;
            }
            if has_updates || clock::now() >= until {
                break;
            }
            let passed = async {
                Timer::at(clock::instant(until)).await;
            };
            listener.or(passed).await;
        }
        let now = clock::now();
        let mut fleet = self.fleet.borrow_mut();
        let have = request.versions.as_deref();
        let known = &mut fleet.known_records;
        let mut config = topic_update(known, Topic::Config, request.config, have, now);
        let fleet_topic = topic_update(known, Topic::Fleet, request.fleet, have, now);
        add_unread(&mut config, fleet.unread_config.as_ref(), request.config);
        let known = &fleet.known_records;
        let missing = known.version.checked_sub(request.version);
        let missing = missing.and_then(|count| usize::try_from(count).ok());
        let missing =
            missing.filter(|count| known.run == request.run && *count <= known.changes.len());
        let (changes, kept) = match missing {
            Some(count) => {
                let changes = known.changes.iter().skip(known.changes.len() - count);
                (changes.cloned().collect(), Vec::new())
            }
            None => {
                let confirmed = fleet.registry.confirmed();
                let changes = confirmed.map(|entry| RegistryChange::Put(entry.clone())).collect();
                (changes, fleet.registry.kept(now).collect())
            }
        };
        let mut response = UpdateResponse {
            run: known.run,
            version: known.version,
            waited: now.since(asked_at),
            age: now.since(known.registry_proof_at),
            registry_next: known.registry_next_for_others(),
            is_whole: missing.is_none(),
            changes,
            kept,
            reads_fail: known.reads_fail,
            config,
            config_age: Some(now.since(fleet.config_published_after)),
            fleet: fleet_topic,
            leader_age: known.leader_seen_at.map(|seen_at| now.since(seen_at)),
            granted: self.owners.borrow().unrecorded_grants(),
            hosts: self.host_count.get(),
            number,
        };
        if !request.names_copies {
            response.remove_copies();
        }
        Some(response)
    }

    /// Records that a host requests updates. Returns its number among those that do.
    fn number_follower(&self, host: Option<&HostId>, now: HostTime) -> u32 {
        let Some(host) = host else { return 0 };
        let mut followers = self.followers.borrow_mut();
        followers.retain(|_, asked_at| now.since(*asked_at) < FOLLOWER_TIME);
        followers.insert(host.clone(), now);
        u32::try_from(followers.range(..host).count()).unwrap_or(u32::MAX)
    }

    /// Requests updates in an endless loop, one request at a time. While there is no source, searches for one at
    /// intervals.
    async fn poll_updates(self: Rc<Self>) {
        let mut caller: Option<ControlClient> = None;
        let mut known = (0, 0);
        let mut own_pages = 0;
        loop {
            let now = clock::now();
            self.avoided.borrow_mut().retain(|_, until| now < *until);
            self.stale_sources.borrow_mut().retain(|_, until| now < *until);
            let Some(addr) = self.source(now) else {
                self.fleet.borrow_mut().known_records.has_source = false;
                caller = None;
                Timer::after(self.at_start(SOURCE_INTERVAL).duration()).await;
                continue;
            };
            if caller.as_ref().is_none_or(|caller| caller.addr() != addr) {
                log::info!(peer:% = addr, turn:% = self.turn(); "news: another host is asked for updates");
                caller = Some(ControlClient::new(addr));
                known = (0, 0);
            }
            let Some(source) = caller.as_mut() else { continue };
            // Changes lead from an earlier state of the source to a later one, so they don't fit what was read since.
            if own_pages != self.registry_pages.get() {
                known = (0, 0);
                own_pages = self.registry_pages.get();
            }
            let request = self.update_request(known);
            self.lateness.on_request(addr, now);
            let body = peers::call(source, peers::UPDATES_PATH, &request, UPDATE_PATIENCE).await;
            let response = body.map(|body| UpdateResponse::decode(&body));
            let update = response.as_ref().ok().and_then(|response| response.as_ref().ok());
            self.lateness.on_answer(update, clock::now());
            match response {
                Ok(Ok(response)) => {
                    let received = (response.run, response.version);
                    self.follower_number.set(response.number);
                    let is_stale = response.reads_fail && response.age > self.limits.max_age();
                    let is_late_again = self.is_source_late.replace(is_stale) && is_stale;
                    if is_stale {
                        self.mark_stale(addr);
                    }
                    // Changes older than what this host knows were not applied, so the next request asks for all
                    // entries.
                    let fits = response.is_whole || own_pages == self.registry_pages.get();
                    let is_newer =
                        self.publish_together(|| self.apply_updates(response, now, fits));
                    known = if is_newer { received } else { (0, 0) };
                    Timer::after(self.request_pause().duration()).await;
                    let lacks_config = self.lacks_readable_config();
                    let is_late = is_late_again || self.is_isolated(clock::now(), false);
                    if !is_newer || is_late || lacks_config {
                        // Another request would be answered at once, and probably with the same records.
                        Timer::after(ISOLATED_PAUSE.duration()).await;
                    }
                }
                Ok(Err(e)) => {
                    log::warn!(peer:% = addr, error:% = e; "news: can't decode the updates of another host");
                    self.avoid(addr);
                }
                Err(e) => {
                    log::info!(peer:% = addr, error:% = e; "news: request for updates failed");
                    self.avoid(addr);
                    caller = None;
                    Timer::after(RETRY_PAUSE.duration()).await;
                }
            }
        }
    }

    /// Returns the pause before the next request. In a large fleet it lets several changes be sent in one answer.
    fn request_pause(&self) -> Millis {
        let hosts = self.fleet.borrow().hosts.len() as u64;
        Millis(hosts / HOSTS_PER_MILLI).min(MAX_REQUEST_PAUSE)
    }

    /// Returns whether this host has no configuration, as the newest record of the store can't be read. Another host may
    /// have the last readable one.
    fn lacks_readable_config(&self) -> bool {
        let fleet = self.fleet.borrow();
        fleet.config.is_none() && fleet.unread_config.is_some()
    }

    fn update_request(&self, (run, version): (u64, u64)) -> UpdateRequest {
        let fleet = self.fleet.borrow();
        UpdateRequest {
            host: Some(self.settings.host.clone()),
            run,
            version,
            config: if self.lacks_readable_config() { 0 } else { fleet.known_records.config.next },
            fleet: fleet.known_records.fleet.next,
            granted: self.owners.borrow().unrecorded_grants(),
            wait: UPDATE_WAIT,
            versions: Some(if self.needs_whole_records.get() {
                Vec::new()
            } else {
                let versions = fleet.known_records.versions.iter();
                versions.map(|(key, versions)| (key.clone(), versions.newest())).collect()
            }),
            names_copies: true,
            evacuations: Some(fleet.known_records.evacuations.next()),
        }
    }

    /// Applies updates, those of the registry only if they fit what this host knows. Returns `false` if these don't, or were
    /// older than what is known, and so were not applied.
    fn apply_updates(&self, response: UpdateResponse, asked_at: HostTime, fits: bool) -> bool {
        let waited = response.waited;
        let proof = |age: Millis| proof::passed_on(asked_at, waited, age);
        let proof_at = proof(response.age);
        let is_newer = {
            let mut fleet = self.fleet.borrow_mut();
            let known = &mut fleet.known_records;
            known.has_source = true;
            known.source_reads_fail = response.reads_fail;
            // A list of all entries replaces what this host knows, so it must not be older. Single changes continue
            // earlier ones of the same host, whose computed time varies with the latency of the calls.
            let tolerance = if response.is_whole { Millis(0) } else { PROOF_TOLERANCE };
            let is_newer = fits && proof_at + tolerance >= known.registry_proof_at;
            if fits {
                known.registry_proof_at = known.registry_proof_at.max(proof_at);
            }
            if is_newer {
                // The state is that of the source now, which may be earlier than the one before.
                known.registry_next = response.registry_next;
            }
            if let Some(age) = response.leader_age {
                known.record_leader(proof(age));
            }
            is_newer
        };
        if is_newer {
            let (changes, is_whole) = (response.changes, response.is_whole);
            self.change_registry(|registry, now| {
                registry.apply_update(changes, response.kept, is_whole, proof_at, now)
            });
        }
        let known_config = self.config_version();
        let absent_at = self.fleet.borrow().known_records.proof_at(Topic::Config);
        let has_unread = response.config.unread.is_some();
        let mut is_decoded = true;
        for (topic, update) in [(Topic::Config, response.config), (Topic::Fleet, response.fleet)] {
            is_decoded &= self.apply_topic_update(topic, update, proof);
        }
        // The other host's time is not that of a record which only this one can read.
        let has_read_unread = has_unread && self.fleet.borrow().unread_config.is_none();
        if known_config < self.config_version()
            && !has_read_unread
            && let Some(age) = response.config_age
        {
            self.record_config_publication(absent_at, Some(proof(age)));
        }
        self.needs_whole_records.set(!is_decoded);
        if response.hosts > 0 && !self.is_leader.get() {
            self.set_host_count(response.hosts);
        }
        let previous =
            std::mem::replace(&mut self.owners.borrow_mut().reported_grants, response.granted);
        if previous != self.owners.borrow().reported_grants {
            self.publish();
        }
        is_newer
    }

    /// Returns the version of the configuration in force; zero without one.
    pub(super) fn config_version(&self) -> u64 {
        self.fleet.borrow().config.as_ref().map_or(0, |config| config.version)
    }

    /// Applies an update of a topic, if it reflects a later state of the store than this host knows. Returns `false` if a
    /// record can't be decoded; nothing is applied then.
    fn apply_topic_update(
        &self,
        topic: Topic,
        mut update: TopicUpdate,
        proof: impl Fn(Millis) -> HostTime,
    ) -> bool {
        self.apply_passed_evacuations(update.evacuations.take(), Source::Updates);
        let proof_at = proof(update.age);
        let (next, known_at) = {
            let mut fleet = self.fleet.borrow_mut();
            let known = fleet.known_records.topic(topic);
            (known.next, known.proof_at)
        };
        if proof_at <= known_at || update.next < next || update.next == 0 {
            return true;
        }
        // The other host may be one that drops configurations which it can't read, so its page may lack a record.
        let is_whole = update.is_whole && topic != Topic::Config;
        match self.decode_page(update) {
            Ok(page) => {
                self.apply_page(topic, page, is_whole, proof_at);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns the records of an update, in log order.
    ///
    /// # Errors
    ///
    /// Fails if a record can't be decoded.
    pub(super) fn decode_page(&self, update: TopicUpdate) -> Result<Page, EncodedRecordError> {
        let texts = update.records.into_iter();
        let mut records: Vec<Record> =
            texts.map(|(key, text)| Record { key, value: text.into_bytes() }).collect();
        // The one that the other host can't read is the newest.
        for record in update.encoded.into_iter().chain(update.unread) {
            let value = self.decode_record(&record).inspect_err(|e| {
                log::warn!(key = record.key.as_str(), error:% = e; "news: can't decode a record, asking for the whole one");
            })?;
            records.push(Record { key: record.key, value });
        }
        Ok(Page { records, next: update.next })
    }

    fn decode_record(&self, record: &EncodedRecord) -> Result<Vec<u8>, EncodedRecordError> {
        let fleet = self.fleet.borrow();
        match fleet.known_records.versions.get(&record.key) {
            Some(versions) => versions.decode(record),
            None => Versions::default().decode(record),
        }
    }
}
