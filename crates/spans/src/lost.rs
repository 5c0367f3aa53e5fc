//! Search for the newest version of a table whose record can't be read.
//!
//! Hosts that know the former table go on with it, so another one may only follow it. The log keeps replaced records for
//! a while, and other hosts know the table longer than that. If neither has it, keys may be granted again once all grants
//! have certainly expired: no host gets proof of its table while the record can't be read.

use crate::restored::{self, StoreCopy};
use crate::table::{FencingToken, Table};
use crate::timing::Timing;
use skylarkdock_units::times::HostTime;

/// Number of records in the first part of the log that is read; it doubles with each further part.
const FIRST_PART: u64 = 64;

/// State of the search for the version before an unreadable record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Search {
    /// The leader knows the newest version, or the record can be read.
    #[default]
    Ended,
    /// The search is under way.
    Pending,
    /// Neither the log nor any host that answered has a version.
    Nothing(LostTable),
}

/// A table that neither the log nor any host that answered has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LostTable {
    /// When this host first saw that the record can't be read.
    pub unreadable_since: HostTime,
    /// Number of records that the log has ever had.
    pub records: u64,
}

impl Search {
    /// Returns a version and a fencing token that no earlier table has reached; `None` unless the table is lost and all its
    /// grants have expired. Each table takes a record; its version is by one larger than that of the table before, and its
    /// smallest unused token by one at most, except that both leave out numbers for each copy of the store. Records that a
    /// copy lacks don't count, but are fewer than the numbers that are left out for it.
    pub fn unused_numbers(
        self,
        copy: Option<StoreCopy>,
        timing: Timing,
        now: HostTime,
    ) -> Option<(u64, FencingToken)> {
        let Self::Nothing(lost) = self else { return None };
        let has_expired = now.since(lost.unreadable_since) >= timing.expiry_without_acks();
        let number = lost.records + 1 + restored::numbers_before(copy);
        has_expired.then_some((number, FencingToken(number)))
    }
}

/// Returns the state of the search after the log was read and other hosts were asked, and the table to adopt first, if one
/// was found. `known` is the leader's own, and `logged` the last one in the log that can be read.
pub fn conclude(
    lost: LostTable,
    known: Option<&Table>,
    logged: Option<Table>,
    told: Vec<Table>,
) -> (Search, Option<Table>) {
    let others = logged.into_iter().chain(told).filter(|table| table.check().is_ok());
    let newest = others.max_by_key(|table| table.version);
    let known_version = known.map_or(0, |table| table.version);
    match newest {
        Some(table) if table.version > known_version => (Search::Ended, Some(table)),
        _ if known.is_some() => (Search::Ended, None),
        _ => (Search::Nothing(lost), None),
    }
}

/// Order in which the log is read for the last readable version of a table: in growing parts, the last one first, back to
/// the first retained record, whose offset is not known.
#[derive(Debug, Clone, Copy)]
pub struct LogSearch {
    /// Records from this offset on have been read.
    read_from: u64,
    /// Records before this offset are no longer retained.
    deleted_before: u64,
    part: u64,
}

impl LogSearch {
    /// Starts a search in a log that ends at an offset.
    pub const fn new(end: u64) -> Self {
        Self { read_from: end, deleted_before: 0, part: FIRST_PART }
    }

    /// Returns the offsets between which to read next; `None` if all retained records have been read.
    pub fn next_part(&self) -> Option<(u64, u64)> {
        let from = self.read_from.saturating_sub(self.part).max(self.deleted_before);
        (from < self.read_from).then_some((from, self.read_from))
    }

    /// Records that the records from `from` on were read, without a readable version.
    pub const fn on_read(&mut self, from: u64) {
        self.read_from = from;
        self.part *= 2;
    }

    /// Records that the record at `from` is no longer retained.
    pub const fn on_deleted(&mut self, from: u64) {
        self.deleted_before = from + 1;
        self.part = (self.read_from - from) / 2;
    }
}
