//! Owners of keys as published to the traffic thread.
//!
//! A map is built anew only if its table, the grants that are not recorded yet, or the incarnation of an owner has
//! changed. Other changes of upstreams leave it as it is.

use super::registry::Registry;
use skylarkdock_dispatch::key_owners::KeyMap;
use skylarkdock_spans::leader::SpanId;
use skylarkdock_spans::table::{Span, Table};
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{ServiceName, UpstreamId};

#[derive(Debug)]
struct PublishedMap {
    version: u64,
    /// Grants that are in force although the table does not record them.
    grants: FastSet<SpanId>,
    /// Start of each owner's registered incarnation, `None` for one that is not registered.
    owners: FastMap<UpstreamId, Option<u64>>,
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
        if let Some(known) = self.0.get(&table.service)
            && known.version == table.version
            && known.grants == grants
            && changed.iter().all(|id| known.owners.get(id).is_none_or(|at| *at == born(id)))
        {
            return known.map.clone();
        }
        let mut owners: FastMap<UpstreamId, Option<u64>> = FastMap::default();
        for span in &table.spans {
            if !owners.contains_key(&span.owner.id) {
                owners.insert(span.owner.id.clone(), born(&span.owner.id));
            }
        }
        let owner = |span: &Span| {
            let is_granted =
                span.is_granted || grants.contains(&(span.first, span.last, span.fence));
            let is_same_incarnation = owners.get(&span.owner.id) == Some(&Some(span.owner.born));
            (is_granted && is_same_incarnation).then(|| span.owner.id.clone())
        };
        let map = KeyMap::new(table.spans.iter().map(|span| (span.last, owner(span))).collect());
        let published = PublishedMap { version: table.version, grants, owners, map: map.clone() };
        self.0.insert(table.service.clone(), published);
        map
    }
}
