//! Limits for clients that misbehave: callers, whoever asks for readiness or metrics, and other hosts.

use skylarkdock_dispatch::progress::MinRate;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;

/// Limits of a host for what clients make it hold and wait for. The limits that the operators' configuration sets for requests
/// are not among them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientLimits {
    /// Memory that is held for others; derived from the memory of the host if there is none.
    pub budget: Option<ByteSize>,
    /// Lowest rate at which a client may send a body or read its answers.
    pub min_rate: MinRate,
    /// Time over which the rate is taken at which a client reads. It is longer, as the system takes what is written in large
    /// pieces.
    pub unread_window: Millis,
    /// Number of requests of one connection that may run concurrently.
    pub max_pipelined: usize,
    /// Bytes of answers that a client has not read from which on nothing more is read from it.
    pub max_unread: ByteSize,
    /// Bytes of a body that nobody needs which are read and dropped before its connection is closed.
    pub max_dropped: ByteSize,
    /// Bytes that the system keeps for each connection in either direction. It takes up to twice as much for them.
    pub socket_buffer: ByteSize,
    /// Limits for calls of other hosts.
    pub peers: PeerLimits,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            budget: None,
            min_rate: MinRate::default(),
            unread_window: Millis(60_000),
            max_pipelined: 32,
            max_unread: ByteSize(64 * 1024),
            max_dropped: ByteSize(64 * 1024 * 1024),
            socket_buffer: ByteSize(128 * 1024),
            peers: PeerLimits::default(),
        }
    }
}

/// Limits for calls of other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLimits {
    /// Largest size of a head.
    pub head: ByteSize,
    /// Largest size of a body. Detours of requests may have larger ones, if the configuration allows those.
    pub body: ByteSize,
    /// Longest time to receive a head.
    pub head_time: Millis,
    /// Longest idle time between calls.
    pub idle_time: Millis,
    /// Number of connections; two thirds of the descriptors for control if there is none.
    pub connections: Option<u32>,
}

impl Default for PeerLimits {
    fn default() -> Self {
        Self {
            head: ByteSize(16 * 1024),
            body: ByteSize(16 * 1024 * 1024),
            head_time: Millis(5_000),
            idle_time: Millis(60_000),
            connections: None,
        }
    }
}
