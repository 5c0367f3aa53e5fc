//! Writes the state to the log again before the records that made it age out.

use crate::control::Control;
use skylarkdock_fold::checkpoint;
use skylarkdock_records::envelope::{Body, CheckpointPart, Envelope};
use skylarkdock_timeline::kind::EventKind;
use skylarkdock_units::ids::Offset;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::BTreeSet;

/// Hosts that write a checkpoint when the ones before them did not.
const WRITERS: usize = 3;
const WRITER_DELAY_MS: Millis = Millis(3_000);

/// What is known of checkpoints in the log.
#[derive(Debug, Default)]
pub(super) struct Checkpoints {
    /// Base of the newest whole checkpoint.
    base: Offset,
    parts: BTreeSet<u32>,
    parts_of: Option<(Offset, String)>,
    oldest: Offset,
    last_record: Offset,
    due_since: Option<HostTime>,
    written_at: Option<HostTime>,
}

impl Checkpoints {
    pub(super) fn seen_oldest(&mut self, oldest: Offset) {
        self.oldest = oldest;
    }

    pub(super) fn seen_record(&mut self, offset: Offset, text: &str) {
        match serde_json::from_str(text) {
            Ok(Envelope { body: Body::Checkpoint(chunk), .. }) => self.seen_part(&chunk),
            _ => self.last_record = offset,
        }
    }

    fn seen_part(&mut self, chunk: &CheckpointPart) {
        let key = (chunk.base, chunk.digest.clone());
        if self.parts_of.as_ref() != Some(&key) {
            self.parts.clear();
            self.parts_of = Some(key);
        }
        self.parts.insert(chunk.index);
        if self.parts.len() == chunk.count as usize && chunk.base > self.base {
            self.base = chunk.base;
            self.due_since = None;
        }
    }

    /// Tells whether records since the last checkpoint ask for another one.
    fn is_due(&self, applied: Offset, records: u64, now: HostTime, interval: Millis) -> bool {
        let behind = applied.0.saturating_sub(self.base.0);
        let aged = self.written_at.is_none_or(|at| now.since(at) >= interval);
        let changed = self.last_record > self.base;
        changed && (behind >= records || (aged && self.base > Offset(0)))
    }
}

impl Control {
    /// Writes a checkpoint if one is due and the hosts before this one did not.
    pub(super) fn write_checkpoint_if_due(&mut self, now: HostTime) {
        let settings = &self.parts.settings;
        let (records, interval) = (settings.checkpoint_records, settings.checkpoint_interval);
        let applied = self.fold.state().applied;
        if self.log_failed_since.is_some()
            || !self.checkpoints.is_due(applied, records, now, interval)
        {
            self.checkpoints.due_since = None;
            return;
        }
        let since = *self.checkpoints.due_since.get_or_insert(now);
        let Some(rank) = self.rank("checkpoint").filter(|rank| *rank < WRITERS) else { return };
        let delay = Millis(WRITER_DELAY_MS.0 * rank as u64);
        let lately = self.checkpoints.written_at.is_some_and(|at| now.since(at) < WRITER_DELAY_MS);
        if now.since(since) >= delay && !lately {
            self.checkpoints.written_at = Some(now);
            self.write_checkpoint();
        }
    }

    fn write_checkpoint(&mut self) {
        let base = self.fold.state().applied;
        let Ok(chunks) = checkpoint::split(self.fold.state()) else { return };
        let bytes = chunks.iter().map(|chunk| chunk.data.len() as u64).sum();
        ::log::info!("control: writing checkpoint at {base}, {} parts.", chunks.len());
        self.note(EventKind::CheckpointWritten { base, bytes: ByteSize(bytes) });
        let by = self.parts.me.host.to_string();
        for chunk in chunks {
            let id = RecordId(uuid::Uuid::new_v4());
            self.append(Body::Checkpoint(chunk), by.clone(), id);
        }
    }
}
