//! Applies records read from the log to the state, reports their effects, and appends records.

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
use skylarkdock_units::times::{HostTime, Millis};

/// Number of latest records kept for hosts that can't read the log.
const MAX_RECENT_RECORDS: usize = 2_000;
const MIN_LOGGED_OUTAGE_MS: Millis = Millis(500);

impl Control {
    /// Adopts the state read from the log, unless the current one is newer.
    pub(super) fn adopt_log_state(&mut self, state: State, asked_at: HostTime) {
        self.handle_log_reachable();
        self.adopt(state);
        self.deps.log_proof.set(asked_at);
        if self.deps.serving_state.get() == ServingState::Starting {
            self.start_serving();
        }
    }

    pub(super) fn start_serving(&mut self) {
        ::log::info!("control: serving at offset {}.", self.fold.state().applied);
        self.deps.serving_state.set(ServingState::Serving);
    }

    /// Replaces the state if `state` is newer, and returns whether it was.
    pub(super) fn adopt(&mut self, state: State) -> bool {
        if state.applied <= self.fold.state().applied {
            return false;
        }
        self.recent_records.clear();
        self.fold = Fold::from_state(state);
        self.handle_new_state();
        true
    }

    /// Applies the records of a page read from the log.
    pub(super) fn handle_log_page(&mut self, page: LogPage, asked_at: HostTime) {
        self.handle_log_reachable();
        self.checkpoints.set_oldest(page.oldest);
        self.apply_records(page.records);
        // A page has only so many records, and one that can't be applied hides those behind it.
        if self.fold.state().applied.0 + 1 >= page.next.0 {
            self.deps.log_proof.set(asked_at);
        }
    }

    /// Applies records in order, skips those already applied, and stops at a gap.
    pub(super) fn apply_records(&mut self, records: Vec<(Offset, String)>) {
        let before = self.fold.state().applied;
        for (offset, text) in records {
            match self.fold.apply(offset, &text) {
                Ok(Some(applied)) => self.handle_applied_record(offset, text, applied),
                Ok(None) => {}
                Err(error) => {
                    ::log::warn!("control: {error}.");
                    break;
                }
            }
        }
        if self.fold.state().applied > before {
            self.handle_new_state();
        }
    }

    /// Passes a new state on to planning, the leases and the routing table.
    fn handle_new_state(&mut self) {
        self.schedule_plan();
        self.serve_due = true;
        self.publish_table();
        let outputs = self.node.step(clock::host_time(), Input::Applied(self.fold.state()));
        self.handle_outputs(outputs);
    }

    fn handle_applied_record(&mut self, offset: Offset, text: String, applied: AppliedRecord) {
        self.checkpoints.observe_record(offset, &text);
        if let Some(id) = applied.id {
            self.verdicts.insert(id, to_admin_verdict(&applied.verdict));
        }
        if let Verdict::Refused { reason } = &applied.verdict {
            self.record_refusal(offset, &text, reason);
        }
        for effect in &applied.effects {
            self.record_effect(offset, effect);
        }
        if self.recent_records.len() == MAX_RECENT_RECORDS {
            self.recent_records.pop_front();
        }
        self.recent_records.push_back((offset, text));
    }

    fn record_effect(&mut self, offset: Offset, effect: &Effect) {
        match effect {
            Effect::Published { service, revision, by, readable } => {
                let (service, by) = (service.clone(), by.clone());
                if *readable {
                    ::log::info!("control: revision {revision} of {service} is in force.");
                    self.record_event(EventKind::RecordInForce {
                        service,
                        revision: *revision,
                        by,
                    });
                } else {
                    ::log::warn!("control: this host can't read revision {revision} of {service}.");
                    self.record_event(EventKind::RecordUnreadable {
                        offset,
                        service: Some(service),
                    });
                }
            }
            Effect::Retired { service } => {
                ::log::info!("control: {service} is retired.");
                let service = service.clone();
                self.record_event(EventKind::Retired {
                    service,
                    revision: offset,
                    by: String::new(),
                });
            }
            Effect::Assigned { .. } | Effect::AssignRefused { .. } | Effect::CheckpointPart => {}
        }
    }

    fn record_refusal(&mut self, offset: Offset, text: &str, reason: &Refusal) {
        let reason = match reason {
            Refusal::Conflict { .. } | Refusal::Repeated => RecordReason::Conflict,
            Refusal::NoService { .. } => RecordReason::NotFound,
            Refusal::Unreadable { .. } => {
                self.record_event(EventKind::RecordUnreadable { offset, service: None });
                return;
            }
            // Not an event for operators: several hosts may write an assignment for the same range.
            Refusal::NoChange { .. } => return,
        };
        let Ok(envelope) = serde_json::from_str::<Envelope>(text) else { return };
        let service = match envelope.body {
            Body::Publish(publish) => publish.service,
            Body::Retire(retire) => retire.service,
            Body::Assign(_) | Body::Checkpoint(_) => return,
        };
        self.record_event(EventKind::RecordRefused { service, revision: offset, reason });
    }

    /// Appends a record in the background; its outcome arrives as an event.
    pub(super) fn append(&mut self, body: Body, by: String, id: RecordId) {
        let envelope = Envelope { id, by, at: clock::wall_time(), body };
        let Ok(text) = serde_json::to_string(&envelope) else { return };
        let (client, events) = (self.deps.log.clone(), self.deps.events.clone());
        metrics::counter!("skylarkdock_log_appends_total").increment(1);
        self.deps.executor.spawn(log::append(client, id, text, events)).detach();
    }

    pub(super) fn handle_append_result(
        &mut self,
        id: RecordId,
        result: Result<Offset, AppendError>,
    ) {
        match result {
            Ok(_) => {}
            Err(AppendError::Unknown(error)) => {
                ::log::warn!("control: record {id} may have been appended: {error}.");
            }
            Err(error) => {
                ::log::warn!("control: could not append record {id}: {error}.");
                let result = Err(super::admin::not_appended_error());
                self.verdicts.fail(id, &result);
            }
        }
    }

    pub(super) fn handle_log_failure(&mut self) {
        let now = clock::host_time();
        if self.log_failed_since.is_none() {
            self.log_failed_since = Some(now);
            ::log::warn!("control: the log is unreachable.");
            self.record_event(EventKind::LogOutage);
        }
    }

    fn handle_log_reachable(&mut self) {
        let Some(since) = self.log_failed_since.take() else { return };
        let after_ms = clock::host_time().since(since);
        if after_ms >= MIN_LOGGED_OUTAGE_MS {
            ::log::info!("control: the log is reachable again after {after_ms}.");
        }
        self.record_event(EventKind::LogBack { after_ms });
    }
}

fn to_admin_verdict(verdict: &Verdict) -> admin::Verdict {
    match verdict {
        Verdict::Accepted { offset } => admin::Verdict::Accepted { offset: *offset },
        Verdict::Refused { reason } => admin::Verdict::Refused { reason: to_admin_refusal(reason) },
    }
}

fn to_admin_refusal(reason: &Refusal) -> admin::Refusal {
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
