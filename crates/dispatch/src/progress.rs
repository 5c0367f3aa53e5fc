//! Progress of a client: whether it moves enough bytes in a window while its host waits for it.
//!
//! Load pattern: clients that send or read a byte now and then hold a connection, and memory with it, for as long as they
//! like. A limit for the whole time of a request would also end large bodies over slow links, so what is judged is the rate.

use skylarkdock_units::times::{HostTime, Millis};

/// Lowest rate at which a client may send or read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MinRate {
    /// Bytes per second.
    pub bytes_per_s: u64,
    /// Time over which the rate is taken.
    pub window: Millis,
}

impl Default for MinRate {
    /// 100 bytes a second over 10 s. A link of 10 Mbit/s that all 2,734 callers of a host with 4,100 descriptors share
    /// leaves each of them 457 bytes a second. Resent packets, with 3 in 100 lost, rarely take longer than 3 s.
    fn default() -> Self {
        Self { bytes_per_s: 100, window: Millis(10_000) }
    }
}

impl MinRate {
    /// Returns how many bytes have to be moved in a window.
    pub const fn bytes(&self) -> u64 {
        self.bytes_per_s.saturating_mul(self.window.0) / 1_000
    }
}

/// Window in which a client is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Window {
    started: HostTime,
    /// Bytes that were moved before it.
    moved_before: u64,
}

/// Progress of one connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Progress {
    window: Option<Window>,
}

/// What the progress of a client shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// The client is judged at this time.
    JudgedAt(HostTime),
    /// It has moved too little.
    TooSlow,
}

impl Progress {
    /// Judges a client for which the host waits. `moved` is how many bytes its connection has moved since its start.
    pub fn check(&mut self, moved: u64, rate: MinRate, now: HostTime) -> Pace {
        let fresh = Window { started: now, moved_before: moved };
        let window = self.window.get_or_insert(fresh);
        if now.since(window.started) >= rate.window {
            if moved.saturating_sub(window.moved_before) < rate.bytes() {
                return Pace::TooSlow;
            }
            *window = fresh;
        }
        Pace::JudgedAt(window.started + rate.window)
    }

    /// Ends the window, as the host waits for nothing of the client. Time that the host takes itself does not count.
    pub const fn pause(&mut self) {
        self.window = None;
    }
}
