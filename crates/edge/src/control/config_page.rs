//! Selection of the configuration that a page of records puts in force, and the newest record if it can't be read.

use super::encoded::{EncodedRecord, Versions};
use crate::store::{DecodeError, Page, Record};
use crate::view::Config;
use skylarkdock_deltas::ContentHash;

/// Size of the largest record that is kept and passed on although it can't be read, in bytes.
const MAX_UNREAD_SIZE: usize = 1_048_576;
/// Value that takes the place of a larger one. It is no configuration, so hosts that get it know that there is a newer one.
const WITHHELD: &[u8] = &[0];

/// Newest record of the configuration, which this host can't read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnreadRecord {
    /// The record.
    pub record: Record,
    /// Offset after the page that contained it.
    pub offset: u64,
    hash: ContentHash,
}

impl UnreadRecord {
    /// Creates the value for a record of a page that ends at `offset`. A value that is too large is not kept.
    pub fn new(mut record: Record, offset: u64) -> Self {
        let hash = ContentHash::of(&record.value);
        if record.value.len() > MAX_UNREAD_SIZE {
            record.value = WITHHELD.to_vec();
        }
        Self { record, offset, hash }
    }

    /// Encodes the record for another host. Returns `None` if the encoder fails.
    pub fn encode(&self) -> Option<EncodedRecord> {
        Versions::default().encode(&self.record.key, &self.record.value, 0)
    }

    /// Returns whether a record has the same content.
    pub fn is_same(&self, record: &Record) -> bool {
        self.record.key == record.key && self.hash == ContentHash::of(&record.value)
    }
}

/// What a page of records says about the configuration.
#[derive(Debug)]
pub struct ConfigPage {
    /// The readable configuration with the highest version, and its record.
    pub newest: Option<(Config, Record)>,
    /// The newest record that is known after the page, if it can't be read.
    pub unread: Option<UnreadRecord>,
    /// Records that can't be read and were not known, in log order.
    pub rejected: Vec<(Record, DecodeError)>,
}

impl ConfigPage {
    /// Reads a page. The record `unread`, known from before, is forgotten if a record follows it that can be read or says
    /// that the key is deleted. With `is_whole` the page has the newest record of each key, so it is also forgotten if the
    /// page does not have it.
    pub fn read(
        page: Page,
        is_whole: bool,
        unread: Option<UnreadRecord>,
        decode: fn(&Record) -> Result<Option<Config>, DecodeError>,
    ) -> Self {
        let mut newest: Option<(Config, Record)> = None;
        let mut rejected = Vec::new();
        let known = unread;
        let mut unread = known.clone().filter(|_| !is_whole);
        for record in page.records {
            match decode(&record) {
                Ok(Some(config)) => {
                    unread = None;
                    if newest.as_ref().is_none_or(|(newest, _)| newest.version < config.version) {
                        newest = Some((config, record));
                    }
                }
                Ok(None) => unread = unread.filter(|unread| unread.record.key != record.key),
                Err(e) => {
                    // Each read of all records returns it again.
                    if !known.as_ref().is_some_and(|known| known.is_same(&record)) {
                        rejected.push((record.clone(), e));
                    }
                    unread = Some(UnreadRecord::new(record, page.next));
                }
            }
        }
        Self { newest, unread, rejected }
    }
}
