//! Exchange of messages about trials between hosts, in datagrams. [`skylarkdock_dispatch::trials`] decides.

use super::Traffic;
use crate::clock;
use crate::load_reports::NameHash;
use async_io::Timer;
use futures_lite::FutureExt;
use metrics::counter;
use serde::{Deserialize, Serialize};
use skylarkdock_dispatch::crash_tracker::Fingerprint;
use skylarkdock_dispatch::trials::{NextStep, ProcessNumber, TrialEnd, TrialReply};
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::rc::Rc;

/// First bytes of a datagram about a trial. No load report begins with them, as they are no valid hash of a host, and
/// messages about permits and digests begin otherwise.
const TAG: [u8; 5] = [0xff, 0xff, 0xff, 0xff, 0x7e];

/// Message about the trial of a request.
#[derive(Debug, Serialize, Deserialize)]
struct Message {
    host: NameHash,
    run: u32,
    fingerprint: u64,
    body: Body,
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
enum Body {
    Ask,
    Admitted,
    Busy,
    /// A copy was answered so many milliseconds ago.
    Answered(u64),
    EndedWithAnswer,
    EndedNotRun,
    EndedWithoutAnswer,
}

/// Whether a host may send a copy of a request.
pub(super) enum Admission {
    /// The request is no suspect.
    NotNeeded,
    /// The copy may be sent, one at a time.
    Admitted(Trial),
    /// Another copy is under way.
    Busy,
}

/// Trial of this host. Its end is reported when it is dropped; one that is given up may have run.
pub(super) struct Trial {
    traffic: Rc<Traffic>,
    fingerprint: Fingerprint,
    coordinator: HostId,
    end: TrialEnd,
}

impl Trial {
    /// Ends the trial.
    pub(super) fn end(mut self, end: TrialEnd) {
        self.end = end;
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        let Self { traffic, fingerprint, coordinator, end } = self;
        traffic.trial_asker.borrow_mut().on_end(*fingerprint);
        if *coordinator == traffic.settings.host {
            let process = traffic.process_of_trials();
            traffic.trial_desk.borrow_mut().on_end(*fingerprint, process, *end, clock::now());
        } else if let Some(addr) = traffic.peer_addr(coordinator) {
            let body = match end {
                TrialEnd::Answered => Body::EndedWithAnswer,
                TrialEnd::NotRun => Body::EndedNotRun,
                TrialEnd::Unanswered => Body::EndedWithoutAnswer,
            };
            traffic.send_trial_message(addr, *fingerprint, body);
        }
        traffic.crashes_changed.notify(usize::MAX);
    }
}

/// Returns whether a datagram is about a trial.
pub(super) fn is_message(bytes: &[u8]) -> bool {
    bytes.starts_with(&TAG)
}

impl Traffic {
    /// Returns whether at most one copy of a request may be under way.
    pub(super) fn is_suspect(&self, fingerprint: Fingerprint) -> bool {
        self.crash_tracker.borrow().is_suspect(fingerprint)
    }

    /// Asks for the admission of a copy, if the request is a suspect. Waits for a reply until the given time, but not for
    /// the end of another copy. Without a reply by then the copy counts as not admitted, so that its caller gets an answer.
    pub(super) async fn admit(
        self: &Rc<Self>,
        fingerprint: Fingerprint,
        give_up_at: HostTime,
    ) -> Admission {
        loop {
            if !self.is_suspect(fingerprint) {
                return Admission::NotNeeded;
            }
            let now = clock::now();
            let step = self.trial_asker.borrow().next_step(fingerprint, now);
            match step {
                NextStep::Send => {
                    let sent = self.trial_asker.borrow_mut().on_send(fingerprint, now);
                    if let Some(coordinator) = sent {
                        counter!("skylarkdock_trials_total", "result" => "admitted").increment(1);
                        let (traffic, end) = (Rc::clone(self), TrialEnd::Unanswered);
                        let trial = Trial { traffic, fingerprint, coordinator, end };
                        return Admission::Admitted(trial);
                    }
                }
                NextStep::Ask | NextStep::Wait(_) if now >= give_up_at => {
                    counter!("skylarkdock_trials_total", "result" => "silent").increment(1);
                    return Admission::Busy;
                }
                NextStep::Ask => self.ask_coordinator(fingerprint, now),
                NextStep::Wait(until) => {
                    let is_busy = self.trial_asker.borrow().is_busy(fingerprint);
                    if is_busy {
                        counter!("skylarkdock_trials_total", "result" => "busy").increment(1);
                        return Admission::Busy;
                    }
                    self.until_trials_change(until.min(give_up_at)).await;
                }
            }
        }
    }

    /// Waits until a time, or until more is known of crashes or trials.
    pub(super) async fn until_trials_change(&self, until: HostTime) {
        let listener = self.crashes_changed.listen();
        let passed = async {
            Timer::at(clock::instant(until)).await;
        };
        listener.or(passed).await;
    }

    fn ask_coordinator(&self, fingerprint: Fingerprint, now: HostTime) {
        let view = self.view.borrow();
        let own = &self.settings.host;
        let peers = view.peers().iter().map(|peer| &peer.host);
        // Other hosts don't choose one that is not recorded.
        let hosts = peers.chain(view.is_recorded.then_some(own));
        let coordinator = self.trial_asker.borrow_mut().ask(fingerprint, hosts, own, now).clone();
        drop(view);
        if coordinator == *own {
            let process = self.process_of_trials();
            let reply = self.trial_desk.borrow_mut().on_ask(fingerprint, process, now);
            self.apply_trial_reply(fingerprint, reply, now);
        } else if let Some(addr) = self.peer_addr(&coordinator) {
            self.send_trial_message(addr, fingerprint, Body::Ask);
        }
    }

    fn apply_trial_reply(&self, fingerprint: Fingerprint, reply: TrialReply, now: HostTime) {
        if let TrialReply::Answered(age) = reply {
            self.crash_tracker.borrow_mut().on_answered_elsewhere(fingerprint, age, now);
        }
        self.trial_asker.borrow_mut().on_reply(fingerprint, reply, now);
    }

    /// Handles a datagram about a trial.
    pub(super) fn on_trial_message(&self, bytes: &[u8], from: SocketAddr) {
        let message: Message = match postcard::from_bytes(&bytes[TAG.len()..]) {
            Ok(message) => message,
            Err(e) => {
                log::debug!("trials: can't read a message: {e}");
                return;
            }
        };
        let now = clock::now();
        let fingerprint = Fingerprint(message.fingerprint);
        let process = process_number(message.host, message.run);
        let on_end = |end| self.trial_desk.borrow_mut().on_end(fingerprint, process, end, now);
        match message.body {
            Body::Ask => {
                let reply = self.trial_desk.borrow_mut().on_ask(fingerprint, process, now);
                let body = match reply {
                    TrialReply::Admitted => Body::Admitted,
                    TrialReply::Busy => Body::Busy,
                    TrialReply::Answered(age) => Body::Answered(age.0),
                };
                self.send_trial_message(from, fingerprint, body);
            }
            Body::Admitted => self.apply_trial_reply(fingerprint, TrialReply::Admitted, now),
            Body::Busy => self.apply_trial_reply(fingerprint, TrialReply::Busy, now),
            Body::Answered(age) => {
                self.apply_trial_reply(fingerprint, TrialReply::Answered(Millis(age)), now);
            }
            Body::EndedWithAnswer => {
                on_end(TrialEnd::Answered);
                self.crash_tracker.borrow_mut().on_answered_elsewhere(fingerprint, Millis(0), now);
            }
            Body::EndedNotRun => on_end(TrialEnd::NotRun),
            Body::EndedWithoutAnswer => on_end(TrialEnd::Unanswered),
        }
        self.crashes_changed.notify(usize::MAX);
    }

    fn process_of_trials(&self) -> ProcessNumber {
        process_number(NameHash::of(self.settings.host.as_str()), self.run)
    }

    /// Sends a message without waiting. If the socket's buffer is full, the message is lost.
    fn send_trial_message(&self, addr: SocketAddr, fingerprint: Fingerprint, body: Body) {
        let host = NameHash::of(self.settings.host.as_str());
        let message = Message { host, run: self.run, fingerprint: fingerprint.0, body };
        let bytes = match postcard::to_extend(&message, TAG.to_vec()) {
            Ok(bytes) => bytes,
            Err(e) => {
                log::error!("trials: can't encode a message: {e}");
                return;
            }
        };
        let datagrams = self.datagrams.borrow();
        let Some(socket) = datagrams.as_ref() else { return };
        if let Err(e) = socket.get_ref().send_to(&bytes, addr) {
            log::debug!("trials: can't send to {addr}: {e}");
        }
    }
}

const fn process_number(host: NameHash, run: u32) -> ProcessNumber {
    ProcessNumber((host.0 as u64) << 32 | run as u64)
}
