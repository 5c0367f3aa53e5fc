//! Applies log records to the state, in log order.

use crate::state::{
    Assignment, MAX_MEMBERS, MAX_PREVIOUS_LEASES, PreviousLease, Revision, ServiceState, State,
};
use crate::verdict::{Effect, Refusal, Verdict};
use skylarkdock_records::envelope::{Assign, Body, Envelope, Publish, RangeChange, Retire};
use skylarkdock_records::{Service, decode};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Member, Offset, RangeId, ServiceName};
use skylarkdock_units::requests::RecordId;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use thiserror::Error;

/// Error from applying a record.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FoldError {
    /// Records are missing between the last one applied and this one.
    #[error("record {found} does not follow the last applied record, {applied}")]
    Gap {
        /// Offset of the last record applied.
        applied: Offset,
        /// Offset of the record to apply.
        found: Offset,
    },
}

/// Result of applying a record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AppliedRecord {
    /// Id of the record; none if its text is not a valid envelope.
    pub id: Option<RecordId>,
    /// Whether the record was accepted.
    pub verdict: Verdict,
    /// Changes that the record made or that were refused, in its order.
    pub effects: Vec<Effect>,
}

/// A revision of a service that this host can decode, and the number of newer ones that it can't use.
struct ReadableRevision<'a> {
    newer_revisions: usize,
    schema: u32,
    revision: &'a Revision,
    service: Service,
}

/// The state in force, and the services in it as decoded by this host.
#[derive(Debug, Clone, Default)]
pub struct Fold {
    state: State,
    services: FastMap<ServiceName, Arc<Service>>,
}

impl Fold {
    /// Creates a fold that continues from a state.
    pub fn from_state(state: State) -> Self {
        let mut fold = Self { state, services: FastMap::default() };
        let names: Vec<_> = fold.state.services.keys().cloned().collect();
        for name in names {
            fold.refresh_service(&name);
        }
        fold
    }

    /// Returns the state in force.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns a service as decoded by this host.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the services as decoded by this host.
    pub fn services(&self) -> &FastMap<ServiceName, Arc<Service>> {
        &self.services
    }

    /// Returns the newest revision of a service if this host can't decode it.
    pub fn unreadable(&self, name: &ServiceName) -> Option<Offset> {
        let service = self.state.services.get(name)?;
        let newest = service.records.values().max_by_key(|revision| revision.offset)?;
        decode(&newest.record).is_err().then_some(newest.offset)
    }

    /// Applies the record at an offset. Returns none, without any change, if the record was already
    /// applied.
    ///
    /// # Errors
    ///
    /// Returns an error if records are missing between the last one applied and this one.
    pub fn apply(
        &mut self,
        offset: Offset,
        text: &str,
    ) -> Result<Option<AppliedRecord>, FoldError> {
        let applied = self.state.applied;
        if offset <= applied {
            return Ok(None);
        }
        if offset.0 != applied.0 + 1 {
            return Err(FoldError::Gap { applied, found: offset });
        }
        self.state.applied = offset;
        Ok(Some(self.apply_next(offset, text)))
    }

    fn apply_next(&mut self, offset: Offset, text: &str) -> AppliedRecord {
        let envelope: Envelope = match serde_json::from_str(text) {
            Ok(envelope) => envelope,
            Err(error) => {
                let reason = Refusal::Unreadable { detail: error.to_string() };
                let verdict = Verdict::Refused { reason };
                return AppliedRecord { id: None, verdict, effects: Vec::new() };
            }
        };
        let mut effects = Vec::new();
        let result = match &envelope.body {
            Body::Publish(publish) => self.publish(offset, &envelope, publish, &mut effects),
            Body::Retire(retire) => self.retire(offset, &envelope, retire, &mut effects),
            Body::Assign(assign) => self.assign(offset, assign, &mut effects),
            Body::Checkpoint(_) => {
                effects.push(Effect::CheckpointPart);
                Ok(())
            }
        };
        let verdict = match result {
            Ok(()) => Verdict::Accepted { offset },
            Err(reason) => Verdict::Refused { reason },
        };
        AppliedRecord { id: Some(envelope.id), verdict, effects }
    }

    /// Checks that an operator's record is not a copy and that its basis is the revision in force. The
    /// id is remembered in either case, so that later copies are refused.
    fn check_id_and_basis(
        &mut self,
        id: RecordId,
        service: &ServiceName,
        basis: Offset,
    ) -> Result<(), Refusal> {
        if self.state.decided.contains(&id) {
            return Err(Refusal::Repeated);
        }
        self.state.remember_decided(id);
        match self.state.services.get(service) {
            Some(found) if found.revision == basis => Ok(()),
            Some(found) => {
                Err(Refusal::Conflict { revision: found.revision, by: found.by.clone() })
            }
            None if basis == Offset(0) => Ok(()),
            None => Err(Refusal::NoService { service: service.clone() }),
        }
    }

    fn publish(
        &mut self,
        offset: Offset,
        envelope: &Envelope,
        publish: &Publish,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        self.check_id_and_basis(envelope.id, &publish.service, publish.basis)?;
        let name = publish.service.clone();
        let current = self.state.histories.get(&name).cloned();
        let mut history = current.unwrap_or_default();
        if let Some(detail) = history.find_contradiction(publish) {
            return Err(Refusal::Unreadable { detail });
        }
        history.retired = None;
        history.fix_range_count(&publish.record);
        let service = self.state.services.entry(name.clone()).or_insert_with(|| ServiceState {
            revision: offset,
            by: String::new(),
            records: BTreeMap::new(),
            ranges: BTreeMap::new(),
        });
        service.revision = offset;
        service.by.clone_from(&envelope.by);
        history.supersede(service, publish.schema);
        let revision = Revision { offset, record: publish.record.clone() };
        service.records.insert(publish.schema, revision);
        self.state.histories.insert(name.clone(), history);
        let readable = self.refresh_service(&name);
        let by = envelope.by.clone();
        effects.push(Effect::Published { service: name, revision: offset, by, readable });
        Ok(())
    }

    /// Decodes the newest record of a service that this host can read and that has no faults; if there
    /// is none, the decoded service stays as it is. Returns whether the record is the newest revision.
    fn refresh_service(&mut self, name: &ServiceName) -> bool {
        let Some((newer_revisions, service)) =
            self.newest_readable(name).map(|found| (found.newer_revisions, found.service))
        else {
            return false;
        };
        self.services.insert(name.clone(), Arc::new(service));
        newer_revisions == 0
    }

    /// Returns the schema version and the revision of the routing record that is in force on this
    /// host.
    pub fn in_force(&self, name: &ServiceName) -> Option<(u32, &Revision)> {
        self.newest_readable(name).map(|found| (found.schema, found.revision))
    }

    /// Returns the newest revision that this host can decode; none if a newer one of a known schema
    /// version was dropped, so that a host never falls back to a revision older than a dropped one.
    fn newest_readable(&self, name: &ServiceName) -> Option<ReadableRevision<'_>> {
        let state = self.state.services.get(name)?;
        let history = self.state.histories.get(name);
        let newest = state.records.iter().map(|(schema, revision)| (*schema, revision));
        let older = history.into_iter().flat_map(|history| &history.older);
        let older = older.map(|(schema, revision)| (*schema, revision));
        let mut revisions: Vec<_> = newest.chain(older).collect();
        revisions.sort_by_key(|(_, revision)| std::cmp::Reverse(revision.offset));
        for (newer_revisions, (schema, revision)) in revisions.into_iter().enumerate() {
            if history.is_some_and(|history| history.has_dropped_after(revision.offset)) {
                return None;
            }
            if let Ok(service) = decode(&revision.record)
                && self.matches_service(name, &service)
            {
                return Some(ReadableRevision { newer_revisions, schema, revision, service });
            }
        }
        None
    }

    /// Returns whether a decoded record has the name of the service and its fixed number of ranges.
    fn matches_service(&self, name: &ServiceName, service: &Service) -> bool {
        let fixed = self.state.histories.get(name).and_then(|history| history.ranges);
        service.name == *name && fixed.is_none_or(|fixed| fixed == service.ranges)
    }

    fn retire(
        &mut self,
        offset: Offset,
        envelope: &Envelope,
        retire: &Retire,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let service = &retire.service;
        self.check_id_and_basis(envelope.id, service, retire.basis)?;
        let Some(state) = self.state.services.remove(service) else {
            return Err(Refusal::NoService { service: service.clone() });
        };
        self.services.remove(service);
        let history = self.state.histories.entry(service.clone()).or_default();
        history.retire(offset, state.ranges);
        if history.leases.is_empty() {
            self.state.histories.remove(service);
        }
        self.state.evict_oldest_retired();
        effects.push(Effect::Retired { service: service.clone() });
        Ok(())
    }

    fn assign(
        &mut self,
        offset: Offset,
        assign: &Assign,
        effects: &mut Vec<Effect>,
    ) -> Result<(), Refusal> {
        let mut first_refused = None;
        let mut accepted = 0;
        for change in &assign.changes {
            let (service, range) = (change.service.clone(), change.range);
            if self.assign_range(offset, change) {
                accepted += 1;
                effects.push(Effect::Assigned { service, range });
            } else {
                effects.push(Effect::AssignRefused { service: service.clone(), range });
                first_refused.get_or_insert(RangeId { service, index: range });
            }
        }
        match first_refused {
            Some(first) if accepted == 0 => Err(Refusal::NoChange { first }),
            _ => Ok(()),
        }
    }

    fn assign_range(&mut self, offset: Offset, change: &RangeChange) -> bool {
        let Some(service) = self.state.services.get_mut(&change.service) else { return false };
        let history = self.state.histories.entry(change.service.clone()).or_default();
        let current = service.ranges.get(&change.range);
        let basis = current.map_or(Offset(0), |assignment| assignment.offset);
        if basis != change.basis || !history.has_range(change.range) {
            return false;
        }
        let former_leases = history.leases.get(&change.range).cloned().unwrap_or_default();
        let Some(next) = next_assignment(offset, current, former_leases, change) else {
            return false;
        };
        service.ranges.insert(change.range, next);
        history.leases.remove(&change.range);
        true
    }
}

fn next_assignment(
    offset: Offset,
    current: Option<&Assignment>,
    former_leases: Vec<PreviousLease>,
    change: &RangeChange,
) -> Option<Assignment> {
    let upstream = change.upstream.clone();
    let hot = change.hot.clone();
    let Some(members) = &change.members else {
        return current.map(|current| Assignment { offset, upstream, hot, ..current.clone() });
    };
    if !are_valid_members(members) {
        return None;
    }
    let previous = current.map_or(former_leases, |current| previous_leases(current, change.held));
    if current.is_some() && previous.len() > MAX_PREVIOUS_LEASES {
        return None;
    }
    Some(Assignment { offset, lease: offset, members: members.clone(), previous, upstream, hot })
}

/// Returns whether a lease can have these members: at least one, at most `MAX_MEMBERS`, and each host
/// only once, because it counts once towards a majority.
fn are_valid_members(members: &[Member]) -> bool {
    let hosts: BTreeSet<_> = members.iter().map(|member| &member.host).collect();
    (1..=MAX_MEMBERS).contains(&members.len()) && hosts.len() == members.len()
}

/// Returns the leases that a new lease must take over: only the current one if it was acquired, because
/// its holder has taken over the leases before it.
fn previous_leases(current: &Assignment, held: bool) -> Vec<PreviousLease> {
    let mut previous = if held { Vec::new() } else { current.previous.clone() };
    previous.push(PreviousLease { lease: current.lease, members: current.members.clone() });
    previous
}
