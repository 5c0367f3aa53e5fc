//! Requests that are no longer running, ordered by the time in their ids. The size of the kept bodies is limited.

use crate::answer::Answer;
use crate::fingerprint::Fingerprint;
use crate::limits::Limits;
use crate::memory::Attempt;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::WallTime;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

const MAX_CONTENT_TYPE_BYTES: usize = 256;

/// Record of a request that is no longer running.
#[derive(Debug, Clone)]
pub(crate) struct Settled {
    pub(crate) fingerprint: Fingerprint,
    pub(crate) attempt: Attempt,
    /// The answer; `None` if it is unknown whether the request was run.
    pub(crate) answer: Option<Arc<Answer>>,
}

/// Records of requests that are no longer running, oldest first.
#[derive(Debug, Clone, Default)]
pub(crate) struct SettledSet {
    entries: BTreeMap<RequestId, Settled>,
    ids_with_body: BTreeSet<RequestId>,
    body_bytes: u64,
}

impl SettledSet {
    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    pub(crate) fn get(&self, id: RequestId) -> Option<&Settled> {
        self.entries.get(&id)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&RequestId, &Settled)> {
        self.entries.iter()
    }

    /// Inserts or replaces the record of an id. Bodies over the size limits are reduced to their digests: a body that
    /// is too large itself, and the oldest bodies while the total is too large.
    pub(crate) fn insert(&mut self, id: RequestId, mut settled: Settled, limits: &Limits) {
        self.remove(id);
        settled.answer = settled.answer.map(without_long_content_type);
        let size = kept_body_bytes(&settled);
        if size > limits.max_body_size.0 {
            settled.answer = settled.answer.map(|answer| Arc::new(answer.to_digest_only()));
        } else if size > 0 {
            self.body_bytes += size;
            self.ids_with_body.insert(id);
        }
        self.entries.insert(id, settled);
        self.drop_oldest_bodies(limits.max_total_body_size.0);
    }

    pub(crate) fn remove(&mut self, id: RequestId) {
        if let Some(settled) = self.entries.remove(&id)
            && self.ids_with_body.remove(&id)
        {
            self.body_bytes -= kept_body_bytes(&settled);
        }
    }

    pub(crate) fn oldest(&self) -> Option<RequestId> {
        self.entries.keys().next().copied()
    }

    /// Removes the oldest entry and returns the time in its id.
    pub(crate) fn evict_oldest(&mut self) -> Option<WallTime> {
        let id = self.oldest()?;
        self.remove(id);
        Some(id.issued())
    }

    fn drop_oldest_bodies(&mut self, max_bytes: u64) {
        while self.body_bytes > max_bytes {
            let Some(id) = self.ids_with_body.pop_first() else { return };
            let Some(settled) = self.entries.get_mut(&id) else { continue };
            self.body_bytes -= kept_body_bytes(settled);
            settled.answer = settled.answer.take().map(|answer| Arc::new(answer.to_digest_only()));
        }
    }
}

/// Removes the content type if it is longer than the limit.
fn without_long_content_type(mut answer: Arc<Answer>) -> Arc<Answer> {
    let len = answer.content_type.as_ref().map_or(0, String::len);
    if len > MAX_CONTENT_TYPE_BYTES {
        Arc::make_mut(&mut answer).content_type = None;
    }
    answer
}

fn kept_body_bytes(settled: &Settled) -> u64 {
    settled.answer.as_ref().map_or(0, |answer| answer.body.kept_bytes())
}
