//! What hosts tell each other of the store's records.
//!
//! The upstreams' signs of life change the registry all the time, and each call to the store is charged for. The leader
//! reads the store; one host of each availability zone follows the leader, and the others of the zone follow that
//! host. They are told of changes only, within milliseconds. A host whose news are older than they should be reads the
//! store itself. One that can't reach the store asks any other host.

use super::registry::Change;
use super::{Control, peers};
use crate::client::ControlClient;
use crate::clock;
use crate::relays::{self, Rank};
use crate::store::{Page, Record, Topic};
use async_io::Timer;
use futures_lite::FutureExt;
use serde::{Deserialize, Serialize};
use skylarkdock_spans::keep::Keep;
use skylarkdock_spans::lead::SpanKey;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{HostId, ServiceName};
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

/// Longest wait for news.
const NEWS_WAIT: Millis = Millis(300);
/// Time for the answer beside the wait.
const NEWS_TIMEOUT: Millis = Millis(300);
/// Pause after an unanswered question.
const RETRY_PAUSE: Millis = Millis(200);
/// Time for which a host that gave no news isn't asked; the next one that can tell is.
const AVOIDED: Millis = Millis(2_000);
/// Time between looks for a host to learn from.
const SOURCE_INTERVAL: Millis = Millis(300);
/// Hosts of the fleet for each millisecond of the pause between two questions, and the longest pause: a host that tells
/// many of them is not to answer each of them for each change, and two pauses fit the time in which a configuration
/// has to be in force.
const HOSTS_PER_MILLI: u64 = 4;
const MAX_PAUSE: Millis = Millis(250);
/// Changes of the registry that are kept for hosts that follow.
const MAX_CHANGES: usize = 2_048;
/// Time beyond which a host that reads the store late counts as cut off and asks any other host.
const LOST_MARGIN: Millis = Millis(500);

/// Time between questions while nobody has news.
const LOST_INTERVAL: Millis = Millis(400);
/// Time for the store's first answer after the start, before other hosts are asked.
const START_PATIENCE: Millis = Millis(300);
/// Difference up to which two proofs count as equally old.
const ROUNDING: Millis = Millis(40);

/// What a host knows of a topic.
#[derive(Default, Clone)]
struct TopicNews {
    /// The newest record of each key, empty for one that is gone, and the offset that follows the read which brought
    /// it. Not kept for the registry.
    records: FastMap<String, (Vec<u8>, u64)>,
    /// Offset that follows what is known.
    next: u64,
    /// When nothing newer was recorded.
    proof_at: HostTime,
}

/// What a host can tell others.
pub(super) struct News {
    run: u64,
    config: TopicNews,
    fleet: TopicNews,
    registry_proof_at: HostTime,
    registry_next: Option<u64>,
    changes: VecDeque<Change>,
    /// Counts the changes.
    version: u64,
    is_told: bool,
}

impl Default for News {
    fn default() -> Self {
        Self {
            run: fastrand::u64(1..),
            config: TopicNews::default(),
            fleet: TopicNews::default(),
            registry_proof_at: HostTime(0),
            registry_next: None,
            changes: VecDeque::new(),
            version: 0,
            is_told: false,
        }
    }
}

/// A question for news.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Question {
    /// Run of the asked host that `version` is of.
    run: u64,
    /// Changes of the registry that are known.
    version: u64,
    /// Offset that follows the known configuration.
    config: u64,
    /// Offset that follows the known records of hosts.
    fleet: u64,
    /// Spans known to be granted though not recorded so.
    granted: Vec<(ServiceName, SpanKey)>,
    /// How long to wait for news.
    wait: Millis,
}

/// A topic as another host knows it.
#[derive(Debug, Serialize, Deserialize)]
struct Told {
    next: u64,
    age: Millis,
    /// Whether `records` are all there are.
    is_whole: bool,
    /// The newest records that the asking host may not know.
    records: Vec<(String, String)>,
}

/// News.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Answer {
    run: u64,
    version: u64,
    /// How long the question waited here.
    waited: Millis,
    /// Age of the proof that the registry has not changed since.
    age: Millis,
    /// Whether `changes` are all entries.
    is_whole: bool,
    changes: Vec<Change>,
    config: Told,
    fleet: Told,
    granted: Vec<(ServiceName, SpanKey)>,
}

impl News {
    fn topic(&mut self, topic: Topic) -> &mut TopicNews {
        if topic == Topic::Config { &mut self.config } else { &mut self.fleet }
    }

    /// Keeps what was read of a topic.
    pub(super) fn keep(&mut self, topic: Topic, page: &Page, is_whole: bool, proof_at: HostTime) {
        if topic == Topic::Upstreams {
            self.registry_proof_at = self.registry_proof_at.max(proof_at);
            self.registry_next = Some(page.next);
            return;
        }
        let known = self.topic(topic);
        if is_whole {
            for (value, offset) in known.records.values_mut().filter(|(value, _)| !value.is_empty())
            {
                value.clear();
                *offset = page.next;
            }
        }
        for record in &page.records {
            known.records.insert(record.key.clone(), (record.value.clone(), page.next));
        }
        known.next = known.next.max(page.next);
        known.proof_at = known.proof_at.max(proof_at);
    }

    /// Keeps changes of the registry.
    pub(super) fn add(&mut self, changes: &[Change]) {
        for change in changes {
            self.version += 1;
            self.changes.push_back(change.clone());
        }
        while self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }

    /// Returns whether another host tells this one.
    pub(super) const fn is_told(&self) -> bool {
        self.is_told
    }

    /// Returns when a topic was last known to have nothing newer.
    pub(super) const fn proof_at(&self, topic: Topic) -> HostTime {
        match topic {
            Topic::Config => self.config.proof_at,
            Topic::Upstreams => self.registry_proof_at,
            Topic::Fleet => self.fleet.proof_at,
        }
    }

    /// Returns where the store is to be read on, `None` for from the newest records.
    pub(super) const fn next(&self, topic: Topic) -> Option<u64> {
        match topic {
            Topic::Config => Some(self.config.next),
            // Passed on changes have no offsets.
            Topic::Upstreams => None,
            Topic::Fleet => Some(self.fleet.next),
        }
    }

    fn has_more_than(&self, question: &Question) -> bool {
        self.run != question.run
            || self.version != question.version
            || self.config.next > question.config
            || self.fleet.next > question.fleet
    }
}

fn told(known: &TopicNews, next: u64, now: HostTime) -> Told {
    let newer = known.records.iter().filter(|(_, (_, offset))| *offset > next);
    let texts = newer.filter_map(|(key, (value, _))| {
        Some((key.clone(), std::str::from_utf8(value).ok()?.to_owned()))
    });
    let age = now.since(known.proof_at);
    Told { next: known.next, age, is_whole: next == 0, records: texts.collect() }
}

/// Starts following.
pub(super) fn start(control: &Rc<Control>) {
    control.ex.spawn(Rc::clone(control).follow_news()).detach();
}

impl Control {
    /// Answers a question once there is something to tell, or its wait has passed. A host that handed the lead over
    /// answers none: who learns from it is to look for another.
    pub(super) async fn on_news(&self, question: Question) -> Option<Answer> {
        let asked_at = clock::now();
        let until = asked_at + question.wait.min(NEWS_WAIT);
        loop {
            let listener = self.changed.listen();
            let has_news = self.beliefs.borrow().news.has_more_than(&question)
                || self.owners.borrow().granted() != question.granted;
            if clock::now() < self.out_until.get() {
                return None;
            }
            if has_news || clock::now() >= until {
                break;
            }
            let passed = async {
                Timer::at(clock::instant(until)).await;
            };
            listener.or(passed).await;
        }
        let now = clock::now();
        let beliefs = self.beliefs.borrow();
        let news = &beliefs.news;
        let missing = news.version.checked_sub(question.version);
        let missing = missing.and_then(|count| usize::try_from(count).ok());
        let missing =
            missing.filter(|count| news.run == question.run && *count <= news.changes.len());
        let changes = match missing {
            Some(count) => news.changes.iter().skip(news.changes.len() - count).cloned().collect(),
            None => {
                let listed = beliefs.registry.listed();
                listed.map(|listed| Change::Put(listed.entry.clone())).collect()
            }
        };
        Some(Answer {
            run: news.run,
            version: news.version,
            waited: now.since(asked_at),
            age: now.since(news.registry_proof_at),
            is_whole: missing.is_none(),
            changes,
            config: told(&news.config, question.config, now),
            fleet: told(&news.fleet, question.fleet, now),
            granted: self.owners.borrow().granted(),
        })
    }

    /// Learns from another host.
    async fn follow_news(self: Rc<Self>) {
        let mut caller: Option<ControlClient> = None;
        let mut known = (0, 0);
        let mut avoided: FastMap<SocketAddr, HostTime> = FastMap::default();
        loop {
            let now = clock::now();
            avoided.retain(|_, until| now < *until);
            let Some(addr) = self.source(&avoided, now) else {
                self.beliefs.borrow_mut().news.is_told = false;
                caller = None;
                Timer::after(SOURCE_INTERVAL.duration()).await;
                continue;
            };
            if caller.as_ref().is_none_or(|caller| caller.addr() != addr) {
                caller = Some(ControlClient::new(addr));
                known = (0, 0);
            }
            let Some(source) = caller.as_mut() else { continue };
            let question = self.question(known);
            let body =
                peers::call(source, peers::NEWS_PATH, &question, NEWS_WAIT + NEWS_TIMEOUT).await;
            match body.map(|body| serde_json::from_slice::<Answer>(&body)) {
                Ok(Ok(answer)) => {
                    let told = (answer.run, answer.version);
                    // What is older than what this host has read is asked for as a whole the next time.
                    let is_newer = self.take_news(answer, now);
                    known = if is_newer { told } else { (0, 0) };
                    Timer::after(self.question_pause().duration()).await;
                    if !is_newer || self.is_cut_off(clock::now()) {
                        // Another question would be answered at once, with the same.
                        Timer::after(LOST_INTERVAL.duration()).await;
                    }
                }
                Ok(Err(e)) => {
                    log::warn!(peer:% = addr, error:% = e; "news: answer can't be read");
                    avoided.insert(addr, clock::now() + AVOIDED);
                }
                Err(e) => {
                    log::info!(peer:% = addr, error:% = e; "news: no answer");
                    avoided.insert(addr, clock::now() + AVOIDED);
                    caller = None;
                    Timer::after(RETRY_PAUSE.duration()).await;
                }
            }
        }
    }

    /// Returns the pause before the next question: among many hosts several changes are told at once.
    fn question_pause(&self) -> Millis {
        let hosts = self.beliefs.borrow().hosts.len() as u64;
        Millis(hosts / HOSTS_PER_MILLI).min(MAX_PAUSE)
    }

    fn question(&self, (run, version): (u64, u64)) -> Question {
        let beliefs = self.beliefs.borrow();
        Question {
            run,
            version,
            config: beliefs.news.config.next,
            fleet: beliefs.news.fleet.next,
            granted: self.owners.borrow().granted(),
            wait: NEWS_WAIT,
        }
    }

    /// Returns the host to learn from, `None` if the store is to be read.
    fn source(&self, avoided: &FastMap<SocketAddr, HostTime>, now: HostTime) -> Option<SocketAddr> {
        if self.is_leader.get() {
            return None;
        }
        if self.is_cut_off(now) {
            return self.random_peer(avoided);
        }
        let sources = self.sources(avoided).into_iter().filter_map(|host| self.peer_addr(&host));
        sources.into_iter().find(|addr| !avoided.contains_key(addr))
    }

    /// Returns the hosts to learn from, the best first: the keeper of this availability zone, or before there is one
    /// its largest host, and the leader. Keepers learn from the leader alone.
    fn sources(&self, avoided: &FastMap<SocketAddr, HostTime>) -> Vec<HostId> {
        let (own, zone) = (&self.settings.host, &self.settings.zone);
        let owners = self.owners.borrow();
        let Some(table) = owners.keeps.values().filter_map(Keep::table).next() else {
            return self.relay(avoided).into_iter().collect();
        };
        let near = table.keepers.iter().find(|keeper| keeper.zone == *zone);
        let mut sources = match near {
            Some(keeper) if keeper.host == *own => Vec::new(),
            Some(keeper) => vec![keeper.host.clone()],
            None => self.relay(avoided).into_iter().collect(),
        };
        sources.push(table.leader.clone());
        sources.retain(|host| host != own);
        sources
    }

    /// Returns whether neither the store nor another host has told anything for a while.
    fn is_cut_off(&self, now: HostTime) -> bool {
        let beliefs = self.beliefs.borrow();
        let age = |topic| now.since(beliefs.news.proof_at(topic));
        let lost_after = self.stale_after() + LOST_MARGIN;
        let patience = if beliefs.config.is_none() { START_PATIENCE } else { lost_after };
        now.since(self.started_at) > patience
            && (age(Topic::Upstreams) > lost_after
                || age(Topic::Config) > lost_after + super::follow::CONFIG_WAIT)
    }

    /// Takes over news; returns whether those of the registry were not older than what is known.
    fn take_news(&self, answer: Answer, asked_at: HostTime) -> bool {
        // The ages were told when the wait had passed.
        let told_at = asked_at + answer.waited;
        let proof = |age: Millis| HostTime(told_at.0.saturating_sub(age.0));
        let proof_at = proof(answer.age);
        let is_newer = {
            let mut beliefs = self.beliefs.borrow_mut();
            beliefs.news.is_told = true;
            let is_newer = proof_at + ROUNDING >= beliefs.news.registry_proof_at;
            beliefs.news.registry_proof_at = beliefs.news.registry_proof_at.max(proof_at);
            is_newer
        };
        if is_newer {
            self.take_upstreams(answer.changes, answer.is_whole, proof_at);
        }
        for (topic, told) in [(Topic::Config, answer.config), (Topic::Fleet, answer.fleet)] {
            self.take_told(topic, told, proof);
        }
        let told = std::mem::replace(&mut self.owners.borrow_mut().told, answer.granted);
        if told != self.owners.borrow().told {
            self.publish();
        }
        is_newer
    }

    /// Takes over a topic from another host, if that has read the store later than this one.
    fn take_told(&self, topic: Topic, told: Told, proof: impl Fn(Millis) -> HostTime) {
        let proof_at = proof(told.age);
        let (next, known_at) = {
            let mut beliefs = self.beliefs.borrow_mut();
            let known = beliefs.news.topic(topic);
            (known.next, known.proof_at)
        };
        if proof_at <= known_at || told.next < next || told.next == 0 {
            return;
        }
        let is_whole = told.is_whole;
        let records = told.records.into_iter();
        let records = records.map(|(key, text)| Record { key, value: text.into_bytes() }).collect();
        self.take(topic, Page { records, next: told.next }, is_whole, proof_at);
    }

    /// Returns the host of this availability zone that passes news on before the leader has chosen one.
    fn relay(&self, avoided: &FastMap<SocketAddr, HostTime>) -> Option<HostId> {
        let settings = &self.settings;
        let beliefs = self.beliefs.borrow();
        let others = beliefs.hosts.values().filter(|record| {
            record.zone == settings.zone
                && record.host != settings.host
                && !avoided.contains_key(&record.peers)
        });
        let own = Rank::of(&settings.host, settings.size);
        let relay =
            relays::select_relay(Some(own), others, |record| Rank::of(&record.host, record.size));
        relay.map(|record| record.host.clone())
    }

    fn random_peer(&self, avoided: &FastMap<SocketAddr, HostTime>) -> Option<SocketAddr> {
        let beliefs = self.beliefs.borrow();
        let own = &self.settings.host;
        let others = beliefs.hosts.values().filter(|record| record.host != *own);
        let mut addrs: Vec<SocketAddr> = others.map(|record| record.peers).collect();
        if addrs.is_empty() {
            addrs.extend(&self.settings.seeds);
        }
        addrs.retain(|addr| *addr != self.settings.peers && !avoided.contains_key(addr));
        (!addrs.is_empty()).then(|| addrs[fastrand::usize(..addrs.len())])
    }
}
