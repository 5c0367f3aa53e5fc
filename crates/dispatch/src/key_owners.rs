//! Owners of the keys of a sharded service, as known to one host.
//!
//! A span is a contiguous range of keys with one owner. When a span is handed over, a host learns of the new owner a
//! little later than the old one releases the span. Requests for the keys of the span are held back in between.

use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};
use std::sync::Arc;

/// Time for which no requests are sent to an owner that answered that it does not hold a key, unless a new owner is
/// known earlier. A release and the next grant take about as long.
const HANDOVER_PAUSE: Millis = Millis(250);

/// Owner of each span of a service's keys, in key order. Clones share the spans, and maps of the same table share the
/// list of owners.
#[derive(Debug, Clone, Default)]
pub struct KeyMap {
    /// Last key of each span, and the number of its owner in `owners`, if it has one.
    spans: Arc<Vec<(u16, Option<u32>)>>,
    owners: Arc<Vec<UpstreamId>>,
}

impl KeyMap {
    /// Builds the map from the last key and the owner, if any, of each span. The spans must be in key order.
    pub fn new(spans: Vec<(u16, Option<UpstreamId>)>) -> Self {
        let mut owners: Vec<UpstreamId> = Vec::new();
        let mut numbers: FastMap<UpstreamId, u32> = FastMap::default();
        let mut number = |owner: UpstreamId| {
            *numbers.entry(owner).or_insert_with_key(|owner| {
                owners.push(owner.clone());
                u32::try_from(owners.len() - 1).unwrap_or(u32::MAX)
            })
        };
        let numbered =
            spans.into_iter().map(|(last, owner)| (last, owner.map(&mut number))).collect();
        Self::with_owners(Arc::new(owners), numbered)
    }

    /// Builds the map from the last key and the owner, if any, of each span: its number in `owners`. The spans must be in
    /// key order.
    pub fn with_owners(owners: Arc<Vec<UpstreamId>>, spans: Vec<(u16, Option<u32>)>) -> Self {
        Self { spans: Arc::new(spans), owners }
    }

    /// Returns whether this map is a clone of the other one, without a comparison of their spans.
    pub fn is_clone_of(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.spans, &other.spans)
    }

    /// Returns whether this map and the other one share the list of owners.
    pub fn shares_owners_with(&self, other: &Self) -> bool {
        Arc::ptr_eq(&self.owners, &other.owners)
    }

    /// Returns the owner of the span that contains a key.
    pub fn owner(&self, key: u16) -> Option<&UpstreamId> {
        self.span(key)?.1
    }

    /// Returns the last key and the owner of the span that contains `key`.
    fn span(&self, key: u16) -> Option<(u16, Option<&UpstreamId>)> {
        let index = self.spans.partition_point(|(last_key, _)| *last_key < key);
        let (last_key, number) = *self.spans.get(index)?;
        let owner = number.and_then(|number| self.owners.get(usize::try_from(number).ok()?));
        Some((last_key, owner))
    }
}

/// Key map together with the spans that are being handed over.
#[derive(Debug)]
pub(crate) struct KeyOwners {
    map: KeyMap,
    /// By the last key of a span: the owner that does not hold it, and until when the owner gets no requests for it.
    handovers: FastMap<u16, (UpstreamId, HostTime)>,
}

impl KeyOwners {
    /// Starts from a key map, with no handover known.
    pub(crate) fn new(map: KeyMap) -> Self {
        Self { map, handovers: FastMap::default() }
    }

    /// Replaces the key map. Handovers of spans with unchanged last key and owner are kept.
    pub(crate) fn replace(&mut self, map: KeyMap) {
        if map.is_clone_of(&self.map) {
            return;
        }
        self.map = map;
        let map = &self.map;
        self.handovers.retain(|last_key, (owner, _)| {
            let span = map.span(*last_key);
            span.is_some_and(|(span_end, current_owner)| {
                span_end == *last_key && current_owner == Some(owner)
            })
        });
    }

    /// Returns the owner of a key, also while its span is being handed over.
    pub(crate) fn owner(&self, key: u16) -> Option<&UpstreamId> {
        self.map.owner(key)
    }

    /// Records that an upstream answered that it does not hold a key. Ignored if it is not the known owner.
    pub(crate) fn on_misdirected(&mut self, key: u16, id: &UpstreamId, now: HostTime) {
        if let Some((last_key, Some(owner))) = self.map.span(key)
            && owner == id
        {
            self.handovers.insert(last_key, (id.clone(), now + HANDOVER_PAUSE));
        }
    }

    /// Returns the owner of a key, or `None` while its span is being handed over.
    pub(crate) fn available_owner(&self, key: u16, now: HostTime) -> Option<&UpstreamId> {
        let (last_key, owner) = self.map.span(key)?;
        let is_in_handover =
            self.handovers.get(&last_key).is_some_and(|(_, paused_until)| now < *paused_until);
        owner.filter(|_| !is_in_handover)
    }
}
