//! In-memory store of the log's records, with offsets and retention.

use serde::Serialize;
use skylarkdock_units::{ids, times};
use std::collections::VecDeque;
use std::sync::Arc;

use ids::Offset;
use times::{Millis, WallTime};

/// Maximum total size of the records in a page, each with one byte of overhead.
const MAX_PAGE_BYTES: usize = 4 * 1024 * 1024;

/// Limits of the records that are retained; `None` is no limit.
#[derive(Debug, Clone, Copy, Default)]
pub struct Retention {
    /// Maximum number of records.
    pub max_records: Option<usize>,
    /// Maximum age of a record.
    pub max_age: Option<Millis>,
}

/// A record with its offset and time, as stored and returned by reads.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct StoredRecord {
    /// Position in the log, counted from 1.
    pub offset: Offset,
    /// Wall-clock time of the append.
    pub at_ms: WallTime,
    /// Text of the record.
    pub record: Arc<str>,
}

/// Response to a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Page {
    /// Offset of the oldest retained record, or of the next append if none is retained.
    pub oldest: Offset,
    /// Offset of the next append.
    pub next: Offset,
    /// Records of the page, in order of offset.
    pub records: Vec<StoredRecord>,
}

/// An append-only list of records with consecutive offsets.
#[derive(Debug)]
pub struct LogStore {
    retention: Retention,
    records: VecDeque<StoredRecord>,
    next: u64,
}

impl LogStore {
    /// Creates an empty store; the first record gets offset 1.
    pub const fn new(retention: Retention) -> Self {
        Self { retention, records: VecDeque::new(), next: 1 }
    }

    /// Appends a record and returns its offset.
    pub fn append(&mut self, now: WallTime, text: &str) -> Offset {
        let offset = Offset(self.next);
        self.next += 1;
        self.records.push_back(StoredRecord { offset, at_ms: now, record: text.into() });
        self.apply_retention(now);
        offset
    }

    /// Evicts records beyond the retention limits; returns the offsets of the oldest record and of the next append.
    pub fn bounds(&mut self, now: WallTime) -> (Offset, Offset) {
        self.apply_retention(now);
        (self.oldest(), self.next())
    }

    /// Returns up to `max` records starting at `from`. A record that exceeds the page size is returned alone.
    pub fn read(&self, from: Offset, max: usize) -> Page {
        let oldest = self.oldest();
        let skipped = from.0.saturating_sub(oldest.0);
        let skipped = usize::try_from(skipped).unwrap_or(usize::MAX);
        let mut bytes = 0;
        let fits_page = |record: &&StoredRecord| {
            let is_first = bytes == 0;
            bytes += record.record.len() + 1;
            is_first || bytes <= MAX_PAGE_BYTES
        };
        let page = self.records.iter().skip(skipped).take(max).take_while(fits_page);
        Page { oldest, next: self.next(), records: page.cloned().collect() }
    }

    /// Returns the offset of the next append.
    pub const fn next(&self) -> Offset {
        Offset(self.next)
    }

    fn oldest(&self) -> Offset {
        self.records.front().map_or(Offset(self.next), |record| record.offset)
    }

    fn apply_retention(&mut self, now: WallTime) {
        let Retention { max_records, max_age } = self.retention;
        while max_records.is_some_and(|limit| self.records.len() > limit) {
            self.records.pop_front();
        }
        let Some(max_age) = max_age else { return };
        while self.records.front().is_some_and(|record| record.at_ms < now - max_age) {
            self.records.pop_front();
        }
    }
}
