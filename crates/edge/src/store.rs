//! The platform's store as an entry host uses it. The adapter of a platform fills in the functions.

use crate::view::{Config, Entry};
use skylarkdock_units::times::Millis;
use std::future::Future;
use std::pin::Pin;
use thiserror::Error;

/// A future that stays on its thread.
pub type Local<T> = Pin<Box<dyn Future<Output = T>>>;

/// A log in the store that keeps the newest record of each key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The operators' configuration.
    Config,
    /// The upstreams' entries.
    Upstreams,
    /// Records of the entry hosts: themselves and the owners of keys.
    Fleet,
}

/// Why a call to the store has no result.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Nothing was done.
    #[error("the store refused the call with status {0}")]
    Refused(u16),
    /// The call may have been carried out.
    #[error("the store gave no answer")]
    Unanswered(#[source] crate::client::Failure),
    /// The records asked for are no longer kept.
    #[error("the records were deleted")]
    Deleted,
    /// Other records were appended in between.
    #[error("other records came first")]
    Conflict,
    /// The answer can't be read.
    #[error("the store's answer can't be read: {0}")]
    Malformed(&'static str),
}

/// A record: its key and value. Without a value the key was dropped.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The value, empty if the key was dropped.
    pub value: Vec<u8>,
}

/// Records and the offset that follows them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The records, in order.
    pub records: Vec<Record>,
    /// Where to read on.
    pub next: u64,
}

/// Why a record of others can't be used.
#[derive(Debug, Error)]
#[error("{field}: {fault}")]
pub struct DecodeError {
    /// The field, as a path.
    pub field: String,
    /// What is wrong.
    pub fault: String,
}

/// Result of a call to the store.
pub type Called<T> = Local<Result<T, StoreError>>;

/// The functions of a platform's store.
pub struct Store {
    /// Returns the newest record of each key of a topic.
    pub newest: Box<dyn Fn(Topic) -> Called<Page>>,
    /// Returns records from an offset on; waits for one up to the given time.
    pub read: Box<dyn Fn(Topic, u64, Millis) -> Called<Page>>,
    /// Appends records to the hosts' topic, if it still ends at the offset given. Returns where it ends now.
    pub append: Box<dyn Fn(Vec<Record>, u64) -> Called<u64>>,
    /// Takes part in the choice of a leader; returns whether this host is it.
    pub join: Box<dyn Fn() -> Called<bool>>,
    /// Takes no further part in the choice of a leader.
    pub leave: Box<dyn Fn() -> Called<()>>,
    /// Decodes the operators' configuration.
    pub decode_config: fn(&Record) -> Result<Option<Config>, DecodeError>,
    /// Decodes an upstream's entry.
    pub decode_entry: fn(&Record) -> Result<Entry, DecodeError>,
}
