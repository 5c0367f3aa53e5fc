//! Records read from the log: folding them, and telling what they changed.

use crate::clock;
use crate::control::Control;
use crate::control::log;
use skylarkdock_admin::status::ServingState;
use skylarkdock_admin::verdict as admin;
use skylarkdock_fold::fold::AppliedRecord;
use skylarkdock_fold::verdict::{Effect, Refusal, Verdict};
use skylarkdock_fold::{Fold, State};
use skylarkdock_logclient::log::{AppendError, LogPage};
use skylarkdock_ownership::Input;
use skylarkdock_records::envelope::{Body, Envelope};
use skylarkdock_timeline::kind::EventKind;
use skylarkdock_timeline::reasons::RecordReason;
use skylarkdock_units::ids::Offset;
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::Millis;

/// Records kept for hosts that can't reach the log.
const RECENT_RECORDS: usize = 2_000;
const MIN_OUTAGE_MS: Millis = Millis(500);

impl Control {
    /// Goes on from the state that the log holds, unless a newer one is known already.
    pub(super) fn adopt_log_state(&mut self, state: State) {
        self.log_answers();
        self.adopt(state);
        if self.parts.serving_state.get() == ServingState::Starting {
            self.start_serving();
        }
    }

    pub(super) fn start_serving(&mut self) {
        ::log::info!("control: serving at offset {}.", self.fold.state().applied);
        self.parts.serving_state.set(ServingState::Serving);
    }

    /// Replaces the state by a newer one. Returns whether it was newer.
    pub(super) fn adopt(&mut self, state: State) -> bool {
        if state.applied <= self.fold.state().applied {
            return false;
        }
        self.recent.clear();
        self.fold = Fold::from_state(state);
        self.applied();
        true
    }

    /// Takes what was read from the log.
    pub(super) fn read(&mut self, reading: LogPage) {
        self.log_answers();
        self.checkpoints.seen_oldest(reading.oldest);
        self.apply_records(reading.records);
    }

    /// Folds records that follow the last one applied; others are left out.
    pub(super) fn apply_records(&mut self, records: Vec<(Offset, String)>) {
        let before = self.fold.state().applied;
        for (offset, text) in records {
            match self.fold.apply(offset, &text) {
                Ok(Some(applied)) => self.folded(offset, text, applied),
                Ok(None) => {}
                Err(error) => {
                    ::log::warn!("control: {error}.");
                    break;
                }
            }
        }
        if self.fold.state().applied > before {
            self.applied();
        }
    }

    /// Makes the new state known to leases and traffic.
    fn applied(&mut self) {
        self.plan_soon();
        self.serve_due = true;
        self.publish_table();
        let outputs = self.node.step(clock::host_time(), Input::Applied(self.fold.state()));
        self.act(outputs);
    }

    fn folded(&mut self, offset: Offset, text: String, applied: AppliedRecord) {
        self.checkpoints.seen_record(offset, &text);
        if let Some(id) = applied.id {
            self.verdicts.put(id, admin_verdict(&applied.verdict));
        }
        if let Verdict::Refused { reason } = &applied.verdict {
            self.note_refusal(offset, &text, reason);
        }
        for effect in &applied.effects {
            self.note_effect(offset, effect);
        }
        if self.recent.len() == RECENT_RECORDS {
            self.recent.pop_front();
        }
        self.recent.push_back((offset, text));
    }

    fn note_effect(&mut self, offset: Offset, effect: &Effect) {
        match effect {
            Effect::Published { service, revision, by, readable } => {
                let (service, by) = (service.clone(), by.clone());
                if *readable {
                    ::log::info!("control: {service} revision {revision} is in force.");
                    self.note(EventKind::RecordInForce { service, revision: *revision, by });
                } else {
                    ::log::warn!("control: {service} revision {revision} is not readable here.");
                    self.note(EventKind::RecordUnreadable { offset, service: Some(service) });
                }
            }
            Effect::Retired { service } => {
                ::log::info!("control: {service} is retired.");
                let service = service.clone();
                self.note(EventKind::Retired { service, revision: offset, by: String::new() });
            }
            Effect::Assigned { .. } | Effect::AssignRefused { .. } | Effect::CheckpointPart => {}
        }
    }

    fn note_refusal(&mut self, offset: Offset, text: &str, reason: &Refusal) {
        let reason = match reason {
            Refusal::Conflict { .. } | Refusal::Repeated => RecordReason::Conflict,
            Refusal::NoService { .. } => RecordReason::NotFound,
            Refusal::Unreadable { .. } => {
                self.note(EventKind::RecordUnreadable { offset, service: None });
                return;
            }
            // Hosts that race for an assignment are no news for operators.
            Refusal::NoChange { .. } => return,
        };
        let Ok(envelope) = serde_json::from_str::<Envelope>(text) else { return };
        let service = match envelope.body {
            Body::Publish(publish) => publish.service,
            Body::Retire(retire) => retire.service,
            Body::Assign(_) | Body::Checkpoint(_) => return,
        };
        self.note(EventKind::RecordRefused { service, revision: offset, reason });
    }

    /// Appends a record.
    pub(super) fn append(&mut self, body: Body, by: String, id: RecordId) {
        let envelope = Envelope { id, by, at: clock::wall_time(), body };
        let Ok(text) = serde_json::to_string(&envelope) else { return };
        let (client, events) = (self.parts.log.clone(), self.parts.events.clone());
        metrics::counter!("skylarkdock_log_appends_total").increment(1);
        self.parts.executor.spawn(log::append(client, id, text, events)).detach();
    }

    pub(super) fn appended(&mut self, id: RecordId, result: Result<Offset, AppendError>) {
        match result {
            Ok(_) => {}
            Err(AppendError::Unknown(error)) => {
                ::log::warn!("control: the answer to append {id} was lost: {error}.");
            }
            Err(error) => {
                ::log::warn!("control: record {id} was not appended: {error}.");
                let answer = Err(super::admin::not_appended());
                self.verdicts.fail(id, &answer);
            }
        }
    }

    pub(super) fn log_failed(&mut self) {
        let now = clock::host_time();
        if self.log_failed_since.is_none() {
            self.log_failed_since = Some(now);
            ::log::warn!("control: the log does not answer.");
            self.note(EventKind::LogOutage);
        }
    }

    fn log_answers(&mut self) {
        let Some(since) = self.log_failed_since.take() else { return };
        let after_ms = clock::host_time().since(since);
        if after_ms >= MIN_OUTAGE_MS {
            ::log::info!("control: the log answers again after {after_ms}.");
        }
        self.note(EventKind::LogBack { after_ms });
    }
}

fn admin_verdict(verdict: &Verdict) -> admin::Verdict {
    match verdict {
        Verdict::Accepted { offset } => admin::Verdict::Accepted { offset: *offset },
        Verdict::Refused { reason } => admin::Verdict::Refused { reason: admin_refusal(reason) },
    }
}

fn admin_refusal(reason: &Refusal) -> admin::Refusal {
    match reason {
        Refusal::Conflict { revision, by } => {
            admin::Refusal::Conflict { revision: *revision, by: by.clone() }
        }
        Refusal::NoService { .. } | Refusal::NoChange { .. } => admin::Refusal::NotFound,
        Refusal::Repeated => {
            admin::Refusal::Conflict { revision: Offset(0), by: "the same record".to_owned() }
        }
        Refusal::Unreadable { detail } => {
            let field = String::new();
            let fault = admin::Fault { field, problem: detail.clone() };
            admin::Refusal::Invalid { faults: vec![fault] }
        }
    }
}
