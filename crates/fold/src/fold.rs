//! Applies records in log order.

use crate::state::{
    Assignment, MAX_MEMBERS, MAX_PREVIOUS, PreviousLease, Revision, ServiceState, State,
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

/// Why a record can't be applied.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum FoldError {
    /// The record does not follow the last one applied.
    #[error("record {found} does not follow {applied}")]
    Gap {
        /// Last offset applied.
        applied: Offset,
        /// Offset offered.
        found: Offset,
    },
}

/// What applying a record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Applied {
    /// Id of the record, if it could be read.
    pub id: Option<RecordId>,
    /// What became of it.
    pub verdict: Verdict,
    /// What it changed.
    pub effects: Vec<Effect>,
}

/// A record that this host reads, and how many newer ones it does not.
struct Readable<'a> {
    age: usize,
    schema: u32,
    revision: &'a Revision,
    service: Service,
}

/// The state in force, and its services in this host's reading.
#[derive(Debug, Clone, Default)]
pub struct Fold {
    state: State,
    services: FastMap<ServiceName, Arc<Service>>,
}

impl Fold {
    /// Builds a fold that goes on from a state.
    pub fn from_state(state: State) -> Self {
        let mut fold = Self { state, services: FastMap::default() };
        let names: Vec<_> = fold.state.services.keys().cloned().collect();
        for name in names {
            fold.read_service(&name);
        }
        fold
    }

    /// Returns the state in force.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns a service as this host reads it.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns the services as this host reads them.
    pub fn services(&self) -> &FastMap<ServiceName, Arc<Service>> {
        &self.services
    }

    /// Returns the revision of a service that this host can't read, if its newest is one.
    pub fn unreadable(&self, name: &ServiceName) -> Option<Offset> {
        let service = self.state.services.get(name)?;
        let newest = service.records.values().max_by_key(|revision| revision.offset)?;
        decode(&newest.record).is_err().then_some(newest.offset)
    }

    /// Applies the record at an offset. A record that was applied before changes nothing.
    ///
    /// # Errors
    ///
    /// Returns an error if records are missing between the last one applied and this one.
    pub fn apply(&mut self, offset: Offset, text: &str) -> Result<Option<Applied>, FoldError> {
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

    fn apply_next(&mut self, offset: Offset, text: &str) -> Applied {
        let envelope: Envelope = match serde_json::from_str(text) {
            Ok(envelope) => envelope,
            Err(error) => {
                let reason = Refusal::Unreadable { detail: error.to_string() };
                let verdict = Verdict::Refused { reason };
                return Applied { id: None, verdict, effects: Vec::new() };
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
        Applied { id: Some(envelope.id), verdict, effects }
    }

    /// Decides on an operator's record by its id and basis; whichever way, a copy is refused later.
    fn decide(
        &mut self,
        id: RecordId,
        service: &ServiceName,
        basis: Offset,
    ) -> Result<(), Refusal> {
        if self.state.decided.contains(&id) {
            return Err(Refusal::Repeated);
        }
        self.state.remember(id);
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
        self.decide(envelope.id, &publish.service, publish.basis)?;
        let name = publish.service.clone();
        let present = self.state.kept.get(&name).cloned();
        let mut kept = present.unwrap_or_default();
        if let Some(detail) = kept.contradiction(publish) {
            return Err(Refusal::Unreadable { detail });
        }
        kept.retired = None;
        kept.fix_ranges(&publish.record);
        let service = self.state.services.entry(name.clone()).or_insert_with(|| ServiceState {
            revision: offset,
            by: String::new(),
            records: BTreeMap::new(),
            ranges: BTreeMap::new(),
        });
        service.revision = offset;
        service.by.clone_from(&envelope.by);
        kept.replace(service, publish.schema);
        let revision = Revision { offset, record: publish.record.clone() };
        service.records.insert(publish.schema, revision);
        self.state.kept.insert(name.clone(), kept);
        let readable = self.read_service(&name);
        let by = envelope.by.clone();
        effects.push(Effect::Published { service: name, revision: offset, by, readable });
        Ok(())
    }

    /// Decodes the newest record that this host reads and that has no faults; keeps the present one
    /// if there is none. Tells whether that is the newest of all.
    fn read_service(&mut self, name: &ServiceName) -> bool {
        let Some((age, service)) =
            self.newest_readable(name).map(|found| (found.age, found.service))
        else {
            return false;
        };
        self.services.insert(name.clone(), Arc::new(service));
        age == 0
    }

    /// Returns the routing record of a service that is in force on this host, with its schema
    /// version.
    pub fn in_force(&self, name: &ServiceName) -> Option<(u32, &Revision)> {
        self.newest_readable(name).map(|found| (found.schema, found.revision))
    }

    /// Never goes back behind a record that is not kept any more.
    fn newest_readable(&self, name: &ServiceName) -> Option<Readable<'_>> {
        let state = self.state.services.get(name)?;
        let kept = self.state.kept.get(name);
        let newest = state.records.iter().map(|(schema, revision)| (*schema, revision));
        let older = kept.into_iter().flat_map(|kept| &kept.older);
        let older = older.map(|(schema, revision)| (*schema, revision));
        let mut revisions: Vec<_> = newest.chain(older).collect();
        revisions.sort_by_key(|(_, revision)| std::cmp::Reverse(revision.offset));
        for (age, (schema, revision)) in revisions.into_iter().enumerate() {
            if kept.is_some_and(|kept| kept.has_dropped_after(revision.offset)) {
                return None;
            }
            if let Ok(service) = decode(&revision.record)
                && self.fits(name, &service)
            {
                return Some(Readable { age, schema, revision, service });
            }
        }
        None
    }

    /// Tells whether a decoded record is of this service and has its number of ranges.
    fn fits(&self, name: &ServiceName, service: &Service) -> bool {
        let fixed = self.state.kept.get(name).and_then(|kept| kept.ranges);
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
        self.decide(envelope.id, service, retire.basis)?;
        let Some(state) = self.state.services.remove(service) else {
            return Err(Refusal::NoService { service: service.clone() });
        };
        self.services.remove(service);
        let kept = self.state.kept.entry(service.clone()).or_default();
        kept.retire(offset, state.ranges);
        if kept.leases.is_empty() {
            self.state.kept.remove(service);
        }
        self.state.bound_retired();
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
        let kept = self.state.kept.entry(change.service.clone()).or_default();
        let present = service.ranges.get(&change.range);
        let basis = present.map_or(Offset(0), |assignment| assignment.offset);
        if basis != change.basis || !kept.has_range(change.range) {
            return false;
        }
        let former = kept.leases.get(&change.range).cloned().unwrap_or_default();
        let Some(next) = next_assignment(offset, present, former, change) else { return false };
        service.ranges.insert(change.range, next);
        kept.leases.remove(&change.range);
        true
    }
}

fn next_assignment(
    offset: Offset,
    present: Option<&Assignment>,
    former: Vec<PreviousLease>,
    change: &RangeChange,
) -> Option<Assignment> {
    let upstream = change.upstream.clone();
    let hot = change.hot.clone();
    let Some(members) = &change.members else {
        return present.map(|present| Assignment { offset, upstream, hot, ..present.clone() });
    };
    if !can_be_held(members) {
        return None;
    }
    let previous = present.map_or(former, |present| previous_leases(present, change.held));
    if present.is_some() && previous.len() > MAX_PREVIOUS {
        return None;
    }
    Some(Assignment { offset, lease: offset, members: members.clone(), previous, upstream, hot })
}

/// Tells whether members can hold a lease: each host counts once towards a majority.
fn can_be_held(members: &[Member]) -> bool {
    let hosts: BTreeSet<_> = members.iter().map(|member| &member.host).collect();
    (1..=MAX_MEMBERS).contains(&members.len()) && hosts.len() == members.len()
}

/// Returns the leases that a new one must take over: only the present one if it was acquired,
/// since whoever acquired it has taken over those before.
fn previous_leases(present: &Assignment, held: bool) -> Vec<PreviousLease> {
    let mut previous = if held { Vec::new() } else { present.previous.clone() };
    previous.push(PreviousLease { lease: present.lease, members: present.members.clone() });
    previous
}
