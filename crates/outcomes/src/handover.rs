//! Planned hand-over of a deduplication memory to the holder of the next lease, in chunks of limited size.
//!
//! Only a complete hand-over from the directly preceding lease extends the covered time of the next memory. The entries
//! of a partial one are still imported.

use crate::answer::{Answer, Body};
use crate::fingerprint::Fingerprint;
use crate::memory::{Attempt, Memory};
use crate::settled::Settled;
use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::Epoch;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::WallTime;
use std::collections::BTreeSet;
use std::sync::Arc;
use thiserror::Error;

const MAX_CHUNK_ENTRIES: usize = 1000;
const MAX_CHUNK_BYTES: u64 = 256 * 1024;
const ENTRY_OVERHEAD_BYTES: u64 = 96;

/// Size limits of one chunk. An entry that exceeds them by itself gets its own chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChunkLimits {
    /// Largest number of entries.
    pub entries: usize,
    /// Largest estimated size.
    pub size: ByteSize,
}

impl Default for ChunkLimits {
    fn default() -> Self {
        Self { entries: MAX_CHUNK_ENTRIES, size: ByteSize(MAX_CHUNK_BYTES) }
    }
}

/// A request that was begun under an earlier lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Its id.
    pub id: RequestId,
    /// Digest of its contents.
    pub fingerprint: Fingerprint,
    /// Its latest attempt.
    pub attempt: Attempt,
    /// Its answer; `None` if the request is still running or it is unknown whether it was run.
    pub answer: Option<Arc<Answer>>,
}

/// A part of a memory that is sent to the next holder.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Epoch of the lease that gives up the range.
    pub from: Epoch,
    /// Epoch of the lease that takes the range over.
    pub to: Epoch,
    /// Number of the export. Chunks of different exports can't be combined into a complete hand-over.
    pub export: u32,
    /// Zero-based index of the chunk in its export.
    pub index: u32,
    /// Number of chunks in its export.
    pub count: u32,
    /// Start of the covered time of the memory when it was exported.
    pub covers_after: WallTime,
    /// The requests of this chunk.
    pub entries: Vec<Entry>,
}

/// Why a chunk was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ImportError {
    /// The chunk is addressed to another lease.
    #[error("the chunk is addressed to lease {to}, but this memory belongs to lease {own}")]
    WrongLease {
        /// Epoch of the lease that the chunk is addressed to.
        to: Epoch,
        /// Epoch of the memory's own lease.
        own: Epoch,
    },
    /// The chunk's index is not below the number of chunks in its export.
    #[error("chunk index {index} is out of range for an export of {count} chunks")]
    IndexOutOfRange {
        /// Index of the chunk.
        index: u32,
        /// Number of chunks in its export.
        count: u32,
    },
}

/// Progress of an import.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ImportProgress {
    /// Chunks are missing, or this chunk is not from the directly preceding lease.
    Partial,
    /// Every chunk has arrived; the covered time of the former memory is covered here too.
    Complete,
}

/// Indexes of the received chunks of the latest export.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReceivedChunks {
    export: u32,
    indexes: BTreeSet<u32>,
}

impl ReceivedChunks {
    /// Records a chunk and returns whether every chunk of its export has arrived. Chunks of older exports are ignored.
    fn insert(&mut self, chunk: &Chunk) -> bool {
        if chunk.export < self.export {
            return false;
        }
        if chunk.export > self.export {
            self.export = chunk.export;
            self.indexes.clear();
        }
        self.indexes.insert(chunk.index);
        u32::try_from(self.indexes.len()) == Ok(chunk.count)
    }
}

impl Memory {
    /// Permanently stops new attempts and exports the memory for the lease `to`.
    ///
    /// Attempts that are still running may be finished here afterwards. Their ends must also be passed to
    /// [`Memory::finish`] of the next holder.
    pub fn hand_over(&mut self, to: Epoch, limits: ChunkLimits) -> Vec<Chunk> {
        self.handed_over = true;
        self.export_count += 1;
        let parts = split_into_parts(self.export_entries(), limits);
        let count = u32::try_from(parts.len()).unwrap_or(u32::MAX);
        let chunk = |(index, entries)| Chunk {
            from: self.lease_start.epoch,
            to,
            export: self.export_count,
            index,
            count,
            covers_after: self.covers_after(),
            entries,
        };
        (0..).zip(parts).map(chunk).collect()
    }

    /// Imports a chunk of an earlier holder's memory.
    ///
    /// # Errors
    ///
    /// Fails without any change if the chunk is addressed to another lease or its index is out of range.
    pub fn import(&mut self, chunk: Chunk) -> Result<ImportProgress, ImportError> {
        self.check_chunk(&chunk)?;
        let is_from_predecessor = self.lease_start.predecessor == Some(chunk.from);
        let is_complete = is_from_predecessor && self.received_chunks.insert(&chunk);
        let covers_after = chunk.covers_after;
        for entry in chunk.entries {
            self.import_entry(entry);
        }
        if !is_complete {
            return Ok(ImportProgress::Partial);
        }
        self.inherited_covers_after = self.inherited_covers_after.min(covers_after);
        Ok(ImportProgress::Complete)
    }

    fn check_chunk(&self, chunk: &Chunk) -> Result<(), ImportError> {
        if chunk.to != self.lease_start.epoch {
            return Err(ImportError::WrongLease { to: chunk.to, own: self.lease_start.epoch });
        }
        if chunk.index >= chunk.count {
            return Err(ImportError::IndexOutOfRange { index: chunk.index, count: chunk.count });
        }
        Ok(())
    }

    fn import_entry(&mut self, entry: Entry) {
        if self.running.contains_key(&entry.id) || self.answer(entry.id).is_some() {
            return;
        }
        let Entry { id, fingerprint, attempt, answer } = entry;
        if !self.make_room() {
            self.evicted_up_to = self.evicted_up_to.max(id.issued());
            return;
        }
        self.settled.insert(id, Settled { fingerprint, attempt, answer }, &self.limits);
    }

    fn export_entries(&self) -> Vec<Entry> {
        let running = self.running.iter().map(|(id, running)| Entry {
            id: *id,
            fingerprint: running.fingerprint,
            attempt: running.attempt,
            answer: None,
        });
        let settled = self.settled.iter().map(|(id, settled)| Entry {
            id: *id,
            fingerprint: settled.fingerprint,
            attempt: settled.attempt,
            answer: settled.answer.clone(),
        });
        running.chain(settled).collect()
    }
}

/// Splits entries into one or more parts within the limits; without entries, the only part is empty.
fn split_into_parts(entries: Vec<Entry>, limits: ChunkLimits) -> Vec<Vec<Entry>> {
    let mut parts = vec![Vec::new()];
    let mut size = 0;
    for entry in entries {
        let is_full = parts.last().is_some_and(|part: &Vec<Entry>| part.len() >= limits.entries);
        let entry_size = estimated_size(&entry);
        if size > 0 && (is_full || size + entry_size > limits.size.0) {
            parts.push(Vec::new());
            size = 0;
        }
        size += entry_size;
        if let Some(part) = parts.last_mut() {
            part.push(entry);
        }
    }
    parts
}

fn estimated_size(entry: &Entry) -> u64 {
    let Some(answer) = &entry.answer else { return ENTRY_OVERHEAD_BYTES };
    let content_type = answer.content_type.as_ref().map_or(0, String::len);
    let body = match &answer.body {
        Body::Whole(bytes) => bytes.len(),
        Body::Digest { .. } => 0,
    };
    ENTRY_OVERHEAD_BYTES + u64::try_from(content_type + body).unwrap_or(u64::MAX)
}
