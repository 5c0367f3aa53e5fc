//! Limits on one holder's concurrent requests (slots) and connections to one upstream.

use crate::ramp::Ramp;
use skylarkdock_units::times::{HostTime, Millis};
use thiserror::Error;

const DEFAULT_SLOTS: u32 = 2;
const DEFAULT_CONNECTIONS: u32 = 8;
const DEFAULT_RAMP_MS: u64 = 10_000;

/// The fraction of an upstream's ranges that one holder holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RangeShare {
    /// Number of the upstream's ranges that this holder holds.
    pub held: u32,
    /// Number of all ranges of the upstream.
    pub total: u32,
}

impl RangeShare {
    /// The share of a holder that holds every range.
    pub const WHOLE: Self = Self { held: 1, total: 1 };

    /// Returns this share of `full`, rounded down, but at least one while any range is held.
    pub fn of(self, full: u32) -> u32 {
        if self.held == 0 || full == 0 {
            return 0;
        }
        let total = u64::from(self.total.max(1));
        let part = u64::from(full) * u64::from(self.held) / total;
        u32::try_from(part).unwrap_or(full).clamp(1, full)
    }
}

/// A slot in use, to be released with [`Limiter::release`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a slot that is not released stays in use"]
pub struct Slot(());

/// An open connection, to be released with [`Limiter::release_connection`].
#[derive(Debug, PartialEq, Eq)]
#[must_use = "a connection that is not released stays counted"]
pub struct Connection(());

/// Why a slot or connection was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum LimitError {
    /// The upstream is draining and gets no new requests.
    #[error("the upstream is draining")]
    Draining,
    /// Every slot that this holder may use is in use.
    #[error("all {limit} slots are in use")]
    Busy {
        /// The limit in force.
        limit: u32,
    },
    /// Every connection that this holder may open is open.
    #[error("all {limit} connections are open")]
    Connections {
        /// The limit in force.
        limit: u32,
    },
}

/// Limits one holder's requests in flight and connections to an upstream.
#[derive(Debug)]
pub struct Limiter {
    slots: u32,
    connections: u32,
    share: RangeShare,
    ramp: Ramp,
    draining: bool,
    in_flight: u32,
    open_connections: u32,
}

impl Limiter {
    /// Acquires a slot for one request.
    ///
    /// # Errors
    ///
    /// Fails if the upstream is draining or the limit is reached.
    pub fn acquire(&mut self, now: HostTime) -> Result<Slot, LimitError> {
        if self.draining {
            return Err(LimitError::Draining);
        }
        let limit = self.limit(now);
        if self.in_flight >= limit {
            return Err(LimitError::Busy { limit });
        }
        self.in_flight += 1;
        Ok(Slot(()))
    }

    /// Releases the slot of a request that has ended.
    pub fn release(&mut self, slot: Slot) {
        let Slot(()) = slot;
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Counts a connection that is about to be opened.
    ///
    /// # Errors
    ///
    /// Fails if the holder's share of the connections is already open.
    pub fn acquire_connection(&mut self) -> Result<Connection, LimitError> {
        let limit = self.connection_limit();
        if self.open_connections >= limit {
            return Err(LimitError::Connections { limit });
        }
        self.open_connections += 1;
        Ok(Connection(()))
    }

    /// Releases a connection that was closed.
    pub fn release_connection(&mut self, connection: Connection) {
        let Connection(()) = connection;
        self.open_connections = self.open_connections.saturating_sub(1);
    }

    /// Marks the upstream as healthy and starts the ramp-up if it was not.
    pub fn mark_healthy(&mut self, now: HostTime) {
        self.ramp.mark_healthy(now);
    }

    /// Marks the upstream as lost, so that the ramp-up starts over when it is healthy again.
    pub fn mark_lost(&mut self) {
        self.ramp.reset();
    }

    /// Sets whether the upstream is draining.
    pub fn set_draining(&mut self, draining: bool) {
        self.draining = draining;
    }

    /// Sets the fraction of the upstream's ranges that this holder holds.
    pub fn set_share(&mut self, share: RangeShare) {
        self.share = share;
    }

    /// Sets how many slots the upstream has.
    pub fn set_slots(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns the limit on requests in flight: this holder's share of the slots, lowered by the ramp-up.
    pub fn limit(&self, now: HostTime) -> u32 {
        if self.draining {
            return 0;
        }
        self.ramp.limit(self.share.of(self.slots), now)
    }

    /// Returns how many connections this holder may have open.
    pub fn connection_limit(&self) -> u32 {
        self.share.of(self.connections)
    }

    /// Returns how many slots are free now.
    pub fn free(&self, now: HostTime) -> u32 {
        self.limit(now).saturating_sub(self.in_flight)
    }

    /// Returns how many requests are in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many connections are open.
    pub fn open_connections(&self) -> u32 {
        self.open_connections
    }

    /// Returns whether the upstream is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }
}

/// Builds a [`Limiter`].
#[derive(Debug, Clone, Copy)]
pub struct LimiterBuilder {
    slots: u32,
    connections: u32,
    share: RangeShare,
    ramp: Millis,
}

impl Default for LimiterBuilder {
    fn default() -> Self {
        Self::new()
    }
}

impl LimiterBuilder {
    /// Creates a builder with the default limits and [`RangeShare::WHOLE`].
    pub fn new() -> Self {
        Self {
            slots: DEFAULT_SLOTS,
            connections: DEFAULT_CONNECTIONS,
            share: RangeShare::WHOLE,
            ramp: Millis(DEFAULT_RAMP_MS),
        }
    }

    /// Sets how many slots the upstream has.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Sets how many connections the upstream accepts.
    #[must_use]
    pub fn connections(mut self, connections: u32) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the fraction of the upstream's ranges that this holder holds.
    #[must_use]
    pub fn share(mut self, share: RangeShare) -> Self {
        self.share = share;
        self
    }

    /// Sets the time in which the limit of a cold upstream grows from one slot to all.
    #[must_use]
    pub fn ramp(mut self, duration: Millis) -> Self {
        self.ramp = duration;
        self
    }

    /// Builds a limiter with nothing in flight and a cold upstream.
    pub fn build(self) -> Limiter {
        Limiter {
            slots: self.slots,
            connections: self.connections,
            share: self.share,
            ramp: Ramp::new(self.ramp),
            draining: false,
            in_flight: 0,
            open_connections: 0,
        }
    }
}
