//! Writes checkpoints of the state to the log, before the records that the state was built from are
//! dropped.

use crate::control::Control;
use skylarkdock_fold::checkpoint;
use skylarkdock_records::envelope::{Body, CheckpointPart, Envelope};
use skylarkdock_timeline::kind::EventKind;
use skylarkdock_units::ids::Offset;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeSet;

/// Number of hosts that may write a due checkpoint: the first in rank, and each next one only if
/// those before it did not.
const MAX_WRITERS: usize = 3;
const WRITER_DELAY_MS: Millis = Millis(3_000);

/// Checkpoints in the log, as far as this host has read it.
#[derive(Debug, Default)]
pub(super) struct Checkpoints {
    /// Base of the newest complete checkpoint.
    base: Offset,
    /// Indices of the parts that have been read of the checkpoint `latest`.
    part_indices: BTreeSet<u32>,
    /// Base and digest of the checkpoint that the last part read belongs to.
    latest: Option<(Offset, String)>,
    oldest: Offset,
    /// Offset of the last record that is not a checkpoint part.
    last_record: Offset,
    due_since: Option<HostTime>,
    written_at: Option<HostTime>,
}

impl Checkpoints {
    pub(super) fn set_oldest(&mut self, oldest: Offset) {
        self.oldest = oldest;
    }

    pub(super) fn observe_record(&mut self, offset: Offset, text: &str) {
        match serde_json::from_str(text) {
            Ok(Envelope { body: Body::Checkpoint(part), .. }) => self.observe_part(&part),
            _ => self.last_record = offset,
        }
    }

    fn observe_part(&mut self, part: &CheckpointPart) {
        let key = (part.base, part.digest.clone());
        if self.latest.as_ref() != Some(&key) {
            self.part_indices.clear();
            self.latest = Some(key);
        }
        self.part_indices.insert(part.index);
        if self.part_indices.len() == part.count as usize && part.base > self.base {
            self.base = part.base;
            self.due_since = None;
        }
    }

    /// Returns whether another checkpoint is needed because of the records since the last one.
    fn is_due(&self, applied: Offset, records: u64, now: HostTime, interval: Millis) -> bool {
        let behind = applied.0.saturating_sub(self.base.0);
        let interval_passed = self.written_at.is_none_or(|at| now.since(at) >= interval);
        let changed = self.last_record > self.base;
        changed && (behind >= records || (interval_passed && self.base > Offset(0)))
    }
}

impl Control {
    /// Writes a checkpoint if one is due and the hosts ranked before this one did not write it.
    pub(super) fn write_checkpoint_if_due(&mut self, now: HostTime) {
        let settings = &self.deps.settings;
        let (records, interval) = (settings.checkpoint_records, settings.checkpoint_interval);
        let applied = self.fold.state().applied;
        if self.log_failed_since.is_some()
            || !self.checkpoints.is_due(applied, records, now, interval)
        {
            self.checkpoints.due_since = None;
            return;
        }
        let since = *self.checkpoints.due_since.get_or_insert(now);
        let Some(rank) = self.rank("checkpoint").filter(|rank| *rank < MAX_WRITERS) else { return };
        let delay = Millis(WRITER_DELAY_MS.0 * rank as u64);
        let written_recently =
            self.checkpoints.written_at.is_some_and(|at| now.since(at) < WRITER_DELAY_MS);
        if now.since(since) >= delay && !written_recently {
            self.checkpoints.written_at = Some(now);
            self.write_checkpoint();
        }
    }

    fn write_checkpoint(&mut self) {
        let base = self.fold.state().applied;
        let Ok(parts) = checkpoint::split(self.fold.state()) else { return };
        let bytes = parts.iter().map(|part| part.data.len() as u64).sum();
        ::log::info!("control: writing a checkpoint at offset {base} in {} parts.", parts.len());
        self.record_event(EventKind::CheckpointWritten { base, bytes: ByteSize(bytes) });
        let by = self.deps.me.host.to_string();
        for part in parts {
            let id = RecordId(uuid::Uuid::new_v4());
            self.append(Body::Checkpoint(part), by.clone(), id);
        }
    }
}
