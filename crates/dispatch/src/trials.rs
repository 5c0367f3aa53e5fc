//! Trials: requests that may crash upstreams are sent one copy at a time over all hosts.
//!
//! Load pattern: a request that crashes upstreams waits at several hosts, because the owner of its key has ended under
//! it, and all copies are sent at once as soon as there is another owner. A request that was in flight at the end of
//! an upstream, and not answered since, is a suspect. Before a host sends a copy of a suspect, it asks the coordinator
//! of this request, which is the same one for all hosts that know the same hosts. The coordinator admits one copy at a
//! time. An answer to it clears the request; the end of a second upstream under it makes the hosts refuse it.
//!
//! Hosts that can't hear each other have different coordinators, so there is one copy for each part of such hosts.

use crate::crash_tracker::Fingerprint;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::{HostTime, Millis};
use xxhash_rust::xxh3;

/// Longest time for which an admitted copy holds off others. An upstream that crashes under a request does so soon, so
/// a copy that runs for longer is probably harmless.
const TRIAL_TIME: Millis = Millis(1_500);
/// Time after a trial without an answer in which hosts learn whether its upstream ended.
const VERDICT_TIME: Millis = Millis(700);
/// Time for which the coordinator remembers that a trial was answered.
const ANSWER_TIME: Millis = Millis(10_000);
/// Time after which a host asks again for a trial that is under way.
const ASK_INTERVAL: Millis = Millis(100);
/// Time without a reply after which a host asks another coordinator, and for which it avoids the silent one.
const REPLY_TIME: Millis = Millis(120);
const AVOID_TIME: Millis = Millis(2_000);
/// Number of coordinators that are silent one after the other before a host decides itself. Without a limit, a host whose
/// peers are lost would go round among them for ever, as only as many are avoided at a time as it asks in `AVOID_TIME`.
const MAX_SILENT: u32 = 8;
/// Time within which an admitted copy has to be sent. Much shorter than a trial, which begins before the reply arrives.
const ADMISSION_TIME: Millis = Millis(250);
/// Largest number of requests of which trials are remembered.
const MAX_TRIALS: usize = 1_024;

/// How a trial ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialEnd {
    /// The upstream answered the copy, so the request is harmless.
    Answered,
    /// No upstream ran the copy.
    NotRun,
    /// There was no answer.
    Unanswered,
}

/// Reply of the coordinator to a host that wants to send a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialReply {
    /// The host may send the copy now.
    Admitted,
    /// Another copy is under way, or hosts may not know yet how it ended.
    Busy,
    /// A copy was answered this time ago.
    Answered(Millis),
}

/// Number that identifies a process of a host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ProcessNumber(pub u64);

#[derive(Debug, Clone, Copy)]
enum Trial {
    Running { process: ProcessNumber, until: HostTime },
    Waiting { until: HostTime },
    Answered { at: HostTime },
}

impl Trial {
    const fn ends_at(self) -> HostTime {
        match self {
            Self::Running { until, .. } | Self::Waiting { until } => until,
            Self::Answered { at } => HostTime(at.0 + ANSWER_TIME.0),
        }
    }
}

/// Trials that this host coordinates.
#[derive(Debug, Default)]
pub struct TrialDesk {
    trials: FastMap<Fingerprint, Trial>,
}

impl TrialDesk {
    /// Handles the request of a process to send a copy.
    pub fn on_ask(
        &mut self,
        fingerprint: Fingerprint,
        process: ProcessNumber,
        now: HostTime,
    ) -> TrialReply {
        self.trials.retain(|_, trial| now < trial.ends_at());
        match self.trials.get(&fingerprint) {
            Some(Trial::Answered { at }) => return TrialReply::Answered(now.since(*at)),
            // The reply to an earlier question may have been lost, or the end of an earlier copy.
            Some(Trial::Running { process: running, .. }) if *running == process => {}
            Some(_) => return TrialReply::Busy,
            None if self.trials.len() >= MAX_TRIALS => return TrialReply::Busy,
            None => {}
        }
        let until = now + TRIAL_TIME;
        self.trials.insert(fingerprint, Trial::Running { process, until });
        TrialReply::Admitted
    }

    /// Handles the end of a copy that a process was admitted to send.
    pub fn on_end(
        &mut self,
        fingerprint: Fingerprint,
        process: ProcessNumber,
        end: TrialEnd,
        now: HostTime,
    ) {
        let is_running = matches!(self.trials.get(&fingerprint),
            Some(Trial::Running { process: running, .. }) if *running == process);
        match end {
            TrialEnd::Answered => {
                self.trials.insert(fingerprint, Trial::Answered { at: now });
            }
            TrialEnd::NotRun if is_running => {
                self.trials.remove(&fingerprint);
            }
            TrialEnd::Unanswered if is_running => {
                self.trials.insert(fingerprint, Trial::Waiting { until: now + VERDICT_TIME });
            }
            TrialEnd::NotRun | TrialEnd::Unanswered => {}
        }
    }
}

/// What a host does next to send a copy of a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Ask the coordinator, as none was asked or the reply is due or came long ago.
    Ask,
    /// Wait until this time, or until something is heard.
    Wait(HostTime),
    /// Send the copy.
    Send,
}

/// State of the copies of one request on this host.
#[derive(Debug, Clone, PartialEq, Eq)]
enum AskState {
    /// A coordinator was asked, and has not replied yet.
    Asked(HostTime, HostId),
    /// Another copy was under way.
    Busy(HostTime),
    /// This coordinator admitted a copy.
    Admitted(HostTime, HostId),
    /// A copy is under way.
    Sent,
}

/// Copies that this host wants to send, or sends. At most one of each request is under way.
#[derive(Debug, Default)]
pub struct TrialAsker {
    states: FastMap<Fingerprint, AskState>,
    avoided_until: FastMap<HostId, HostTime>,
    /// Number of coordinators that were silent since another host last replied.
    silent: u32,
}

impl TrialAsker {
    /// Returns what to do next for a copy.
    pub fn next_step(&self, fingerprint: Fingerprint, now: HostTime) -> NextStep {
        let again = |at: HostTime, time: Millis| {
            if now.since(at) >= time { NextStep::Ask } else { NextStep::Wait(at + time) }
        };
        match self.states.get(&fingerprint) {
            None => NextStep::Ask,
            Some(AskState::Asked(at, _)) => again(*at, REPLY_TIME),
            Some(AskState::Busy(at)) => again(*at, ASK_INTERVAL),
            Some(AskState::Admitted(at, _)) if now.since(*at) < ADMISSION_TIME => NextStep::Send,
            Some(AskState::Admitted(..)) => NextStep::Ask,
            Some(AskState::Sent) => NextStep::Wait(now + ASK_INTERVAL),
        }
    }

    /// Chooses the coordinator of a request out of the given hosts, and records that it is asked. One that has not replied
    /// in time is avoided from then on. With no host left, or after too many silent ones, `own` decides for itself.
    pub fn ask<'a>(
        &mut self,
        fingerprint: Fingerprint,
        hosts: impl Iterator<Item = &'a HostId>,
        own: &'a HostId,
        now: HostTime,
    ) -> &'a HostId {
        self.avoided_until.retain(|_, until| now < *until);
        if self.avoided_until.is_empty() {
            self.silent = 0;
        }
        if let Some(AskState::Asked(_, silent)) = self.states.remove(&fingerprint) {
            self.avoided_until.insert(silent, now + AVOID_TIME);
            self.silent += 1;
        }
        if self.silent >= MAX_SILENT {
            self.states.insert(fingerprint, AskState::Asked(now, own.clone()));
            return own;
        }
        let usable = hosts.filter(|host| !self.avoided_until.contains_key(*host));
        let coordinator = usable
            .max_by_key(|host| xxh3::xxh3_64_with_seed(host.as_str().as_bytes(), fingerprint.0));
        let coordinator = coordinator.unwrap_or(own);
        self.states.insert(fingerprint, AskState::Asked(now, coordinator.clone()));
        coordinator
    }

    /// Records a reply of the coordinator that was asked last.
    pub fn on_reply(&mut self, fingerprint: Fingerprint, reply: TrialReply, now: HostTime) {
        let Some(AskState::Asked(_, coordinator)) = self.states.get(&fingerprint) else { return };
        // Above the limit it is this host's own.
        if self.silent < MAX_SILENT {
            self.silent = 0;
        }
        let state = match reply {
            TrialReply::Admitted => AskState::Admitted(now, coordinator.clone()),
            TrialReply::Busy => AskState::Busy(now),
            TrialReply::Answered(_) => {
                self.states.remove(&fingerprint);
                return;
            }
        };
        self.states.insert(fingerprint, state);
    }

    /// Records that an admitted copy is sent. Returns the coordinator that admitted it; `None` if none did lately.
    pub fn on_send(&mut self, fingerprint: Fingerprint, now: HostTime) -> Option<HostId> {
        if self.next_step(fingerprint, now) != NextStep::Send {
            return None;
        }
        match self.states.insert(fingerprint, AskState::Sent) {
            Some(AskState::Admitted(_, coordinator)) => Some(coordinator),
            _ => None,
        }
    }

    /// Returns whether another copy is under way, as far as this host knows.
    pub fn is_busy(&self, fingerprint: Fingerprint) -> bool {
        matches!(self.states.get(&fingerprint), Some(AskState::Busy(_) | AskState::Sent))
    }

    /// Records that the copy of this host has ended.
    pub fn on_end(&mut self, fingerprint: Fingerprint) {
        self.states.remove(&fingerprint);
    }
}
