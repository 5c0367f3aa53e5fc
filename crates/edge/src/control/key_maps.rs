//! Owners of keys as published to the traffic thread.
//!
//! While keys move, hosts learn of grants many times between two tables. So the owners of a table are looked up once; a
//! grant that is not recorded yet, or a new incarnation of an owner, only takes a pass over the numbers of the owners.
//! Other changes of upstreams leave the map as it is.

use super::registry::Registry;
use skylarkdock_dispatch::key_owners::KeyMap;
use skylarkdock_spans::leader::SpanId;
use skylarkdock_spans::table::{Span, Table};
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use std::sync::Arc;

/// Owners of the spans of one table, each with a number.
#[derive(Debug, Default)]
struct TableOwners {
    ids: Arc<Vec<UpstreamId>>,
    numbers: FastMap<UpstreamId, u32>,
    /// Number of the owner of each span of the table.
    by_span: Vec<u32>,
    /// Start of each owner's registered incarnation, `None` for one that is not registered.
    born: Vec<Option<u64>>,
}

impl TableOwners {
    fn new(table: &Table, born: impl Fn(&UpstreamId) -> Option<u64>) -> Self {
        let mut ids: Vec<UpstreamId> = Vec::new();
        let mut numbers: FastMap<UpstreamId, u32> = FastMap::default();
        let mut by_span = Vec::with_capacity(table.spans.len());
        for span in &table.spans {
            let number = numbers.get(&span.owner.id).copied().unwrap_or_else(|| {
                let number = u32::try_from(ids.len()).unwrap_or(u32::MAX);
                ids.push(span.owner.id.clone());
                numbers.insert(span.owner.id.clone(), number);
                number
            });
            by_span.push(number);
        }
        let born = ids.iter().map(born).collect();
        Self { ids: Arc::new(ids), numbers, by_span, born }
    }

    /// Takes over the registered incarnation of an upstream. Returns whether it is an owner with another one than before.
    fn set_born(&mut self, id: &UpstreamId, born: Option<u64>) -> bool {
        let known = self.numbers.get(id).and_then(|number| {
            let index = usize::try_from(*number).ok()?;
            self.born.get_mut(index)
        });
        known.is_some_and(|known| std::mem::replace(known, born) != born)
    }

    /// Returns the last key of a span and the number of its owner, if that holds the span.
    fn holder(&self, span: &Span, number: u32, grants: &FastSet<SpanId>) -> (u16, Option<u32>) {
        let born = usize::try_from(number).ok().and_then(|index| *self.born.get(index)?);
        let holds = born == Some(span.owner.born)
            && (span.is_granted || grants.contains(&(span.first, span.last, span.fence)));
        (span.last, holds.then_some(number))
    }
}

#[derive(Debug)]
struct PublishedMap {
    version: u64,
    /// Grants that are in force although the table does not record them.
    grants: FastSet<SpanId>,
    owners: TableOwners,
    map: KeyMap,
}

/// Published key maps by service.
#[derive(Debug, Default)]
pub struct KeyMaps(FastMap<ServiceName, PublishedMap>);

impl KeyMaps {
    /// Returns the owners that requests may be sent to. A later incarnation of an owner does not hold its keys. `grants`
    /// are in force although the table does not record them; `changed` are the upstreams whose entries have changed
    /// since the last call for the service.
    pub fn update(
        &mut self,
        table: &Table,
        grants: FastSet<SpanId>,
        registry: &Registry,
        changed: &[UpstreamId],
    ) -> KeyMap {
        let born = |id: &UpstreamId| registry.entry(id).map(|entry| entry.born);
        let known = self.0.remove(&table.service).filter(|known| known.version == table.version);
        let owners = match known {
            None => TableOwners::new(table, born),
            Some(mut known) => {
                let mut is_changed = known.grants != grants;
                for id in changed {
                    is_changed |= known.owners.set_born(id, born(id));
                }
                if !is_changed {
                    let map = known.map.clone();
                    self.0.insert(table.service.clone(), known);
                    return map;
                }
                known.owners
            }
        };
        let numbered = table.spans.iter().zip(&owners.by_span);
        let spans = numbered.map(|(span, number)| owners.holder(span, *number, &grants)).collect();
        let map = KeyMap::with_owners(Arc::clone(&owners.ids), spans);
        let published = PublishedMap { version: table.version, grants, owners, map: map.clone() };
        self.0.insert(table.service.clone(), published);
        map
    }
}
