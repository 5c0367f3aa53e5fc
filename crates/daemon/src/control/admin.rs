//! Handles the admin calls of operators.

use crate::clock;
use crate::control::Control;
use crate::control::events::{AdminCall, AdminRequest, AdminResult};
use async_channel::Sender;
use serde::Serialize;
use skylarkdock_admin::envelope::{Done, RpcError};
use skylarkdock_admin::explain::{
    KeyExplanation, KeyParams, RequestExplanation, RequestOutcome, RequestParams,
};
use skylarkdock_admin::hosts::{HostRow, HostState};
use skylarkdock_admin::ranges::{HotKey, RangeRow, RangesParams};
use skylarkdock_admin::records::{
    CheckParams, CheckResult, PublishParams, RecordRow, RetireParams, SettleParams,
};
use skylarkdock_admin::status::{EventsParams, EventsResult, Status};
use skylarkdock_admin::verdict::{Fault, Refusal, Verdict};
use skylarkdock_membership as membership;
use skylarkdock_records::envelope::{Body, Publish, Retire};
use skylarkdock_records::{DecodeError, decode};
use skylarkdock_timeline::filter::Filter;
use skylarkdock_units::ids::{Offset, RangeId, ServiceName};
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::Millis;

const INTERNAL_ERROR: i32 = -32_603;
const SERVICE_NOT_IN_FORCE: i32 = -32_002;
const NOT_APPENDED: i32 = -32_001;
const MAX_EVENTS_PER_PAGE: u32 = 10_000;
const MAX_EXPLANATION_EVENTS: usize = 20;
const MAX_VERDICT_WAIT_MS: Millis = Millis(60_000);

/// Returns the error for a record that is certainly not in the log.
pub(super) fn not_appended_error() -> RpcError {
    RpcError {
        code: NOT_APPENDED,
        message: "record was not appended to the log; submit it again later".to_owned(),
        data: None,
    }
}

fn service_not_in_force(service: &ServiceName) -> RpcError {
    RpcError {
        code: SERVICE_NOT_IN_FORCE,
        message: format!("service {service} is not in force here"),
        data: None,
    }
}

fn to_result(value: &impl Serialize) -> AdminResult {
    serde_json::to_value(value).map_err(|error| RpcError {
        code: INTERNAL_ERROR,
        message: error.to_string(),
        data: None,
    })
}

/// An operator's record to append to the log.
struct Submission {
    basis: Offset,
    body: Body,
    by: String,
    id: RecordId,
    wait_ms: Millis,
}

impl Control {
    pub(super) fn handle_admin_call(&mut self, call: AdminCall) {
        let AdminCall { request, reply } = call;
        let result = match request {
            AdminRequest::Status => to_result(&self.status()),
            AdminRequest::Records => to_result(&self.record_rows()),
            AdminRequest::Publish(params) => return self.publish(params, reply),
            AdminRequest::Check(params) => to_result(&self.check(&params)),
            AdminRequest::Retire(params) => return self.retire(params, reply),
            AdminRequest::Settle(params) => to_result(&self.settle(&params)),
            AdminRequest::Hosts => to_result(&self.host_rows()),
            AdminRequest::Ranges(params) => to_result(&self.range_rows(&params)),
            AdminRequest::ExplainKey(params) => match self.explain_key(&params) {
                Some(explanation) => to_result(&explanation),
                None => Err(service_not_in_force(&params.service)),
            },
            AdminRequest::ExplainRequest(params) => to_result(&self.explain_request(&params)),
            AdminRequest::Events(params) => to_result(&self.events_page(&params)),
            AdminRequest::Drain => {
                self.leave();
                to_result(&Done {})
            }
        };
        // Fails if the operator no longer waits for the result.
        let _ = reply.try_send(result);
    }

    fn status(&self) -> Status {
        let settings = &self.deps.settings;
        let to_u32 = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        Status {
            host: settings.host_id.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
            incarnation: self.deps.me.incarnation,
            state: self.deps.serving_state.get(),
            applied: self.fold.state().applied,
            log_reachable: self.log_failed_since.is_none(),
            services: to_u32(self.fold.state().services.len()),
            ranges_held: to_u32(self.served.len()),
        }
    }

    fn record_rows(&self) -> Vec<RecordRow> {
        let mut rows = Vec::new();
        for (service, state) in &self.fold.state().services {
            let Some((schema, revision)) = self.fold.in_force(service) else { continue };
            rows.push(RecordRow {
                service: service.clone(),
                revision: revision.offset,
                by: state.by.clone(),
                schema,
                unreadable_since: self.fold.unreadable(service),
                record: revision.record.clone(),
            });
        }
        rows
    }

    fn publish(&mut self, params: PublishParams, reply: Sender<AdminResult>) {
        let PublishParams { record, basis, by, id, wait_ms } = params;
        let service = match self.validate(&record) {
            Ok(service) => service,
            Err(faults) => {
                let refused = Verdict::Refused { reason: Refusal::Invalid { faults } };
                let _ = reply.try_send(to_result(&refused));
                return;
            }
        };
        let schema = skylarkdock_records::decode::schema_version(&record).unwrap_or_default();
        let body = Body::Publish(Publish { service: service.clone(), schema, basis, record });
        self.submit(&service, Submission { basis, body, by, id, wait_ms }, reply);
    }

    fn retire(&mut self, params: RetireParams, reply: Sender<AdminResult>) {
        let RetireParams { service, basis, by, id, wait_ms } = params;
        let body = Body::Retire(Retire { service: service.clone(), basis });
        if !self.fold.state().services.contains_key(&service) {
            let refused = Verdict::Refused { reason: Refusal::NotFound };
            let _ = reply.try_send(to_result(&refused));
            return;
        }
        self.submit(&service, Submission { basis, body, by, id, wait_ms }, reply);
    }

    /// Appends an operator's record, unless its basis is outdated or its verdict is known already. The
    /// verdict is sent to `reply`.
    fn submit(
        &mut self,
        service: &ServiceName,
        submission: Submission,
        reply: Sender<AdminResult>,
    ) {
        let Submission { basis, body, by, id, wait_ms } = submission;
        if let Some(known) = self.verdicts.get(id) {
            let _ = reply.try_send(to_result(known));
            return;
        }
        if let Some(current) = self.fold.state().services.get(service)
            && current.revision > basis
        {
            let reason = Refusal::Conflict { revision: current.revision, by: current.by.clone() };
            let _ = reply.try_send(to_result(&Verdict::Refused { reason }));
            return;
        }
        let expiry = clock::host_time() + wait_ms.min(MAX_VERDICT_WAIT_MS);
        self.verdicts.wait(id, expiry, reply);
        self.append(body, by, id);
    }

    fn validate(&self, record: &serde_json::Value) -> Result<ServiceName, Vec<Fault>> {
        let fault = |field: &str, problem: String| Fault { field: field.to_owned(), problem };
        let service = decode(record).map_err(|error| match error {
            DecodeError::Faults(faults) => {
                faults.iter().map(|f| fault(&f.field, f.problem.to_string())).collect()
            }
            error => vec![fault("schema", error.to_string())],
        })?;
        match self.fold.service(&service.name) {
            Some(current) if current.ranges != service.ranges => {
                let problem = format!("can't change, {} is in force", current.ranges);
                Err(vec![fault("ranges", problem)])
            }
            _ => Ok(service.name),
        }
    }

    fn check(&self, params: &CheckParams) -> CheckResult {
        CheckResult { faults: self.validate(&params.record).err().unwrap_or_default() }
    }

    fn settle(&self, params: &SettleParams) -> Verdict {
        self.verdicts.get(params.id).cloned().unwrap_or(Verdict::Unknown { id: params.id })
    }

    fn host_rows(&self) -> Vec<HostRow> {
        let now = clock::host_time();
        let views = self.membership.view().into_iter();
        let rows = views.map(|view| HostRow {
            member: view.member,
            zone: view.zone,
            region: view.region,
            state: match view.state {
                membership::HostState::Live => HostState::Live,
                membership::HostState::Suspect => HostState::Suspect,
                membership::HostState::Leaving => HostState::Leaving,
                membership::HostState::Gone => HostState::Gone,
            },
            peer: view.peer,
            http: view.http,
            heard_ms_ago: now.since(view.last_heard),
        });
        rows.collect()
    }

    fn range_rows(&self, params: &RangesParams) -> Vec<RangeRow> {
        let is_selected =
            |range: &RangeId| params.service.as_ref().is_none_or(|name| range.service == *name);
        let assignments = self.fold.state().assignments().filter(|(range, _)| is_selected(range));
        let rows = assignments.map(|(range, assignment)| RangeRow {
            held: self.served.get(&range).map(|served| served.epoch),
            range,
            assigned: assignment.offset,
            lease: assignment.lease,
            members: assignment.members.clone(),
            upstream: Some(assignment.upstream.clone()),
            hot: assignment
                .hot
                .iter()
                .map(|hot_key| HotKey { key: hot_key.key, upstream: hot_key.upstream.clone() })
                .collect(),
        });
        rows.collect()
    }

    fn explain_key(&self, params: &KeyParams) -> Option<KeyExplanation> {
        let hash = KeyHash::of(&params.key);
        let service = self.fold.service(&params.service)?;
        let range = RangeId { service: params.service.clone(), index: service.range_of(hash) };
        let assignment = self.fold.state().assignment(&range);
        let epoch = self.served.get(&range).map(|served| served.epoch);
        let filter = Filter { range: Some(range.clone()), ..Filter::default() };
        let mut events = self.journal.ring().page(0, usize::MAX, &filter).events;
        events.drain(..events.len().saturating_sub(MAX_EXPLANATION_EVENTS));
        let first_member = assignment.and_then(|assignment| assignment.members.first().cloned());
        let holder = if epoch.is_some() { Some(self.deps.me.clone()) } else { first_member };
        Some(KeyExplanation {
            hash,
            upstream: assignment.map(|assignment| assignment.upstream.clone()),
            holder,
            members: assignment.map(|assignment| assignment.members.clone()).unwrap_or_default(),
            epoch,
            since: events.last().map(|event| event.stamp.wall),
            hot: false,
            why: events,
            range,
        })
    }

    fn explain_request(&self, params: &RequestParams) -> RequestExplanation {
        let mut outcome_and_range = (RequestOutcome::NoTrace, None);
        for (range, slot) in &self.slots {
            let memory = slot.memory();
            let Some(memory) = memory.as_ref() else { continue };
            if let Some(outcome) = memory.outcome(params.id) {
                let upstream = self.served.get(range).and_then(|served| served.upstream.clone());
                let status = memory.answer(params.id).map(|answer| answer.status);
                outcome_and_range =
                    (request_outcome(outcome, status, upstream), Some(range.clone()));
            }
        }
        RequestExplanation {
            host: self.deps.me.host.clone(),
            outcome: outcome_and_range.0,
            range: outcome_and_range.1,
            why: Vec::new(),
        }
    }

    fn events_page(&self, params: &EventsParams) -> EventsResult {
        let limit = params.limit.min(MAX_EVENTS_PER_PAGE) as usize;
        EventsResult {
            host: self.deps.me.host.clone(),
            incarnation: self.deps.me.incarnation,
            page: self.journal.ring().page(params.since_seq, limit, &params.filter),
        }
    }
}

fn request_outcome(
    outcome: skylarkdock_outcomes::outcome::Outcome,
    status: Option<u16>,
    upstream: Option<skylarkdock_units::ids::UpstreamId>,
) -> RequestOutcome {
    use skylarkdock_outcomes::outcome::Outcome;
    match (outcome, status, upstream) {
        (Outcome::Done, Some(status), Some(upstream)) => {
            RequestOutcome::Answered { status, upstream }
        }
        (Outcome::Running, _, upstream) => RequestOutcome::Running { upstream },
        (_, _, upstream) => RequestOutcome::Unknown { upstream },
    }
}
