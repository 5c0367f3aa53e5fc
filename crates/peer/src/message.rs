//! Messages between hosts.

use crate::error::PeerError;
use serde::{Deserialize, Serialize};
use skylarkdock_membership::Gossip;
use skylarkdock_outcomes::crash_history::CrashHistories;
use skylarkdock_outcomes::handover;
use skylarkdock_ownership::Message;
use skylarkdock_timeline::clock::Stamp;
use skylarkdock_units::ids::{Offset, RangeId, ServiceName};

/// A message with a timestamp of the sender's hybrid logical clock.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Packet {
    /// Timestamp of the sender's clock.
    pub stamp: Stamp,
    /// The message.
    pub payload: Payload,
}

/// A message from one host to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// Message of the lease protocol.
    Lease(Message),
    /// Message of the membership protocol.
    Gossip(Gossip),
    /// Requests the records after an offset, or the state if those records are no longer kept.
    Fetch(Fetch),
    /// Records that follow the requested offset.
    Records(Records),
    /// A part of the state, sent if the requested records are no longer kept.
    StatePart(StatePart),
    /// A part of a range's deduplication memory.
    Memory(MemoryPart),
    /// Requests a [`Pong`](Payload::Pong).
    Ping,
    /// Response to a [`Ping`](Payload::Ping).
    Pong,
    /// Crash histories of requests. The next holder of a range needs them to refuse a request that crashes upstreams.
    Crashes(Crashes),
}

/// Requests the records after an offset, or the state if those records are no longer kept.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fetch {
    /// Last offset that the sender has applied.
    pub applied: Offset,
}

/// Crash histories of requests to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// The service.
    pub service: ServiceName,
    /// Histories of the requests that were in flight at a crash.
    pub histories: CrashHistories,
}

/// Consecutive records of the log, as read by the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Offset of the first record.
    pub first: Offset,
    /// Texts of the records.
    pub texts: Vec<String>,
}

/// A part of the state that results from the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatePart {
    /// Last offset that the state includes.
    pub base: Offset,
    /// Digest of the whole state.
    pub digest: String,
    /// Index of this part.
    pub index: u32,
    /// Total number of parts.
    pub count: u32,
    /// Text of this part.
    pub data: String,
}

/// A part of a range's deduplication memory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemoryPart {
    /// The range.
    pub range: RangeId,
    /// The part.
    pub chunk: handover::Chunk,
}

impl Packet {
    /// Encodes the packet.
    ///
    /// # Errors
    ///
    /// Returns an error if serialization fails.
    pub fn encode(&self) -> Result<Vec<u8>, PeerError> {
        Ok(postcard::to_stdvec(self)?)
    }

    /// Decodes a packet.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed or continue after the packet.
    pub fn decode(bytes: &[u8]) -> Result<Self, PeerError> {
        let (packet, trailing) = postcard::take_from_bytes(bytes)?;
        if trailing.is_empty() {
            return Ok(packet);
        }
        Err(PeerError::Malformed { detail: format!("{} trailing bytes", trailing.len()) })
    }
}
