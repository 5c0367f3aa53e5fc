//! Interface to the platform's store. The adapter of each platform implements the functions.

use crate::view::{Config, Entry};
use skylarkdock_units::ids::Zone;
use skylarkdock_units::times::Millis;
use std::future::Future;
use std::pin::Pin;
use thiserror::Error;

/// Boxed future that is not `Send`.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// Compacted log in the store, which keeps the newest record of each key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The operators' configuration.
    Config,
    /// The upstreams' entries.
    Upstreams,
    /// Records written by the entry hosts: one per host, and the tables of key owners.
    Fleet,
}

/// Error of a call to the store.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The store rejected the call and did not carry it out.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// No valid answer arrived; the call may have been carried out.
    #[error("the store gave no answer")]
    Unanswered(#[source] crate::client::Failure),
    /// The store no longer keeps the requested records.
    #[error("the store no longer keeps the requested records")]
    Deleted,
    /// The answer is from an earlier copy of the store than another answer was, so it counts as none.
    #[error("the answer is from a copy of the store that has been replaced")]
    EarlierCopy,
    /// The log no longer ended at the expected offset, because other records were appended first.
    #[error("other records were appended first")]
    Conflict,
    /// The answer can't be parsed.
    #[error("can't parse the store's answer: {0}")]
    Malformed(&'static str),
    /// A record is larger than the store takes, also compressed. Nothing was sent.
    #[error("a record is too large for the store")]
    TooLarge,
    /// A record can't be compressed. Nothing was sent.
    #[error("can't compress a record")]
    Compression(#[source] skylarkdock_deltas::DeltaError),
}

/// Record of a key. An empty value marks the key as deleted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value, empty if the key was deleted.
    pub value: Vec<u8>,
}

/// Consecutive records and the offset after them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The records, in log order.
    pub records: Vec<Record>,
    /// Offset from which to continue reading; see [`skylarkdock_freshness::copies`].
    pub next: u64,
}

/// Change of an evacuation by operators.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Evacuation {
    /// The availability zone.
    pub zone: Zone,
    /// Whether its upstreams get no new requests from now on.
    pub is_active: bool,
}

/// Longest text of each part of a [`DecodeError`], in bytes. The texts contain what the record contains, which may be
/// large, and are logged at each read.
const MAX_ERROR_TEXT: usize = 200;

/// Error in a record that was written by another program.
#[derive(Debug, Error)]
#[error("{field}: {fault}")]
pub struct DecodeError {
    /// Path of the invalid field.
    pub field: String,
    /// Description of the fault.
    pub fault: String,
}

impl DecodeError {
    /// Creates an error with the path of the invalid field. Long texts are cut.
    pub fn new(field: &str, fault: &str) -> Self {
        Self { field: shorten(field), fault: shorten(fault) }
    }
}

/// Returns the first and the last part of a long text.
fn shorten(text: &str) -> String {
    if text.len() <= MAX_ERROR_TEXT {
        return text.to_owned();
    }
    let half = MAX_ERROR_TEXT / 2;
    let (start, end) = (text.floor_char_boundary(half), text.ceil_char_boundary(text.len() - half));
    format!("{} ... {}", &text[..start], &text[end..])
}

/// Future of the result of a store call.
pub type StoreFuture<T> = LocalFuture<Result<T, StoreError>>;

/// Appends records to [`Topic::Fleet`]. With an offset, only if the topic still ends there.
pub type AppendCall = Box<dyn Fn(Vec<Record>, Option<u64>) -> StoreFuture<u64>>;

/// Operations of a platform's store.
pub struct Store {
    /// Returns the newest record of each key of a topic.
    pub newest: Box<dyn Fn(Topic) -> StoreFuture<Page>>,
    /// Returns the end offset of a topic, without records.
    pub end: Box<dyn Fn(Topic) -> StoreFuture<u64>>,
    /// Returns the records from an offset on. If there are none yet, waits for one up to the given time.
    pub read: Box<dyn Fn(Topic, u64, Millis) -> StoreFuture<Page>>,
    /// Appends records and returns the new end offset of the topic.
    pub append: AppendCall,
    /// Takes part in the leader election. Returns whether this host is the leader.
    pub join: Box<dyn Fn() -> StoreFuture<bool>>,
    /// Leaves the leader election.
    pub leave: Box<dyn Fn() -> StoreFuture<()>>,
    /// Decodes the operators' configuration.
    pub decode_config: fn(&Record) -> Result<Option<Config>, DecodeError>,
    /// Decodes a record that evacuates an availability zone, or ends that. Returns `None` for other records.
    pub decode_evacuation: fn(&Record) -> Option<Evacuation>,
    /// Decodes an upstream's entry.
    pub decode_entry: fn(&Record) -> Result<Entry, DecodeError>,
}
