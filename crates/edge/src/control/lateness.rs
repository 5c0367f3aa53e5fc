//! Why the records of a host are late: what it last got from other hosts, and its own reads of the store. Written to the log
//! when records become late, and exported as gauges.

use super::updates::UpdateResponse;
use super::{Control, TOPIC_LABELS};
use crate::clock;
use crate::store::Topic;
use async_io::Timer;
use metrics::gauge;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::{HostTime, Millis};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

/// Interval between checks whether records are late.
const CHECK_INTERVAL: Millis = Millis(250);

/// What the last update from another host said.
#[derive(Debug, Clone, Copy)]
struct LastUpdate {
    source: SocketAddr,
    received_at: HostTime,
    /// Ages of the source's own records when it answered.
    config_age: Millis,
    registry_age: Millis,
    /// Offset after the last configuration record that the source knew.
    config_next: u64,
    reads_fail: bool,
}

/// Read of the store that is under way.
#[derive(Debug, Clone, Copy)]
struct ReadInProgress {
    sent_at: HostTime,
    is_whole: bool,
}

/// What a host knows of the sources of its records.
#[derive(Debug, Default)]
pub(super) struct Lateness {
    last_update: Cell<Option<LastUpdate>>,
    /// Host that is asked for updates and has not answered yet, and since when.
    asked: Cell<Option<(SocketAddr, HostTime)>>,
    reads: RefCell<FastMap<Topic, ReadInProgress>>,
}

impl Lateness {
    /// Records that another host is asked for updates.
    pub(super) fn on_request(&self, source: SocketAddr, at: HostTime) {
        self.asked.set(Some((source, at)));
    }

    /// Records that the host that was asked has answered, with an update if `response` is one.
    pub(super) fn on_answer(&self, response: Option<&UpdateResponse>, now: HostTime) {
        let Some((source, _)) = self.asked.take() else { return };
        let Some(response) = response else { return };
        let (config_age, config_next) = response.config_state();
        self.last_update.set(Some(LastUpdate {
            source,
            received_at: now,
            config_age,
            registry_age: response.registry_age(),
            config_next,
            reads_fail: response.reads_fail(),
        }));
    }

    /// Records that this host has begun a read of a topic.
    pub(super) fn on_read(&self, topic: Topic, is_whole: bool, sent_at: HostTime) {
        self.reads.borrow_mut().insert(topic, ReadInProgress { sent_at, is_whole });
    }

    /// Records that the read of a topic has ended.
    pub(super) fn on_read_end(&self, topic: Topic) {
        self.reads.borrow_mut().remove(&topic);
    }

    fn read(&self, topic: Topic) -> Option<ReadInProgress> {
        self.reads.borrow().get(&topic).copied()
    }
}

/// Starts the task that writes to the log when records become late.
pub(super) fn start(control: &Rc<Control>) {
    control.ex.spawn(Rc::clone(control).watch_records()).detach();
}

impl Control {
    /// Writes a line when the configuration or the registry becomes so old that this host asks any other one, and when it
    /// is up to date again.
    async fn watch_records(self: Rc<Self>) {
        let mut late_since: FastMap<Topic, HostTime> = FastMap::default();
        loop {
            Timer::after(CHECK_INTERVAL.duration()).await;
            let now = clock::now();
            for topic in [Topic::Config, Topic::Upstreams] {
                let proof_at = self.fleet.borrow().known_records.proof_at(topic);
                let age = now.since(proof_at.max(self.started_at));
                if let Some(since) = late_since.get(&topic).copied() {
                    if age <= self.limits.max_age() {
                        late_since.remove(&topic);
                        self.log_up_to_date(topic, age, now.since(since));
                    }
                } else if age > self.limits.isolation_age() {
                    late_since.insert(topic, now);
                    self.log_late(topic, age, now);
                }
            }
        }
    }

    fn log_late(&self, topic: Topic, age: Millis, now: HostTime) {
        let (next, config) = {
            let fleet = self.fleet.borrow();
            let next = fleet.known_records.next(topic);
            (next, fleet.config.as_ref().map_or(0, |config| config.version))
        };
        let update = self.lateness.last_update.get().map(|update| {
            let of_topic =
                if topic == Topic::Config { update.config_age } else { update.registry_age };
            let since = now.since(update.received_at);
            format!(
                "{} {since} ago, age {of_topic}, config_next {}, reads_fail {}",
                update.source, update.config_next, update.reads_fail
            )
        });
        let asked = self.lateness.asked.get();
        let asked = asked.map(|(source, at)| format!("{source} {} ago", now.since(at)));
        let read = self.lateness.read(topic);
        let read =
            read.map(|read| format!("{} ago, whole {}", now.since(read.sent_at), read.is_whole));
        log::warn!(topic:? = topic, age:% = age, next:? = next, config = config, update:? = update, asked:? = asked, read:? = read, turn:% = self.turn(), leads = self.is_leader.get(); "news: records are late");
    }

    fn log_up_to_date(&self, topic: Topic, age: Millis, late_for: Millis) {
        let config = self.fleet.borrow().config.as_ref().map_or(0, |config| config.version);
        let source = self.lateness.last_update.get().map(|update| update.source);
        log::info!(topic:? = topic, age:% = age, late_for:% = late_for, config = config, source:? = source; "news: records are up to date again");
    }

    /// Sets the gauges of the sources of this host's records.
    #[expect(clippy::cast_precision_loss, reason = "gauges need no more")]
    pub(super) fn set_source_gauges(&self, now: HostTime) {
        for (topic, name) in TOPIC_LABELS {
            let read = self.lateness.read(topic);
            let is_whole = read.is_some_and(|read| read.is_whole);
            gauge!("skylarkdock_own_whole_reads", "topic" => name)
                .set(f64::from(u8::from(is_whole)));
        }
        let Some(update) = self.lateness.last_update.get() else { return };
        let seconds = |time: Millis| time.0 as f64 / 1_000.0;
        gauge!("skylarkdock_last_update_seconds").set(seconds(now.since(update.received_at)));
        gauge!("skylarkdock_source_age_seconds", "topic" => "config")
            .set(seconds(update.config_age));
        gauge!("skylarkdock_source_age_seconds", "topic" => "upstreams")
            .set(seconds(update.registry_age));
    }
}
