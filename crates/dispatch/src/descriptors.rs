//! Shares of a host's descriptors: what is kept back for control, for upstreams and for callers.
//!
//! Load pattern: a burst brings a host more callers in seconds than it has descriptors, and most of their connections stay
//! open without a request. Whoever opens a connection first then has it. With nothing kept back, no connection to an upstream,
//! to the store or to another host can be opened, grants are not renewed, and requests wait unread beside idle connections.

use std::fmt;

/// Part of the descriptors that is kept back for the store, other hosts, grants and releases, readiness checks, metrics and
/// files, as one in so many.
const CONTROL_PART: u32 = 6;
/// Part of the descriptors that is kept back for connections to upstreams, as one in so many.
const UPSTREAM_PART: u32 = 6;

/// Part of the callers' share that must be free again until it no longer counts as full, as one in so many.
const ROOM_PART: u32 = 8;

/// Largest number of descriptors that a process may have open.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct DescriptorLimit(pub u32);

impl fmt::Display for DescriptorLimit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Numbers of descriptors by purpose. Their sum is the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shares {
    /// For the store, other hosts, grants and releases, readiness checks, metrics and files.
    pub control: u32,
    /// For connections to upstreams.
    pub upstreams: u32,
    /// For connections of callers.
    pub callers: u32,
}

impl Shares {
    /// Divides a limit.
    pub const fn of(limit: DescriptorLimit) -> Self {
        let control = limit.0.div_ceil(CONTROL_PART);
        let upstreams = limit.0.div_ceil(UPSTREAM_PART);
        let callers = limit.0.saturating_sub(control).saturating_sub(upstreams);
        Self { control, upstreams, callers }
    }

    /// Returns whether callers have their share. Once they do, that ends only when a part of it is free.
    pub const fn is_full(&self, open: u32, was_full: bool) -> bool {
        let free = self.callers.saturating_sub(open);
        free == 0 || (was_full && free < self.callers.div_ceil(ROOM_PART))
    }

    /// Decides on the next connection of a caller, with `open` connections of callers of which `idle` have no request.
    pub const fn admit(&self, open: u32, idle: u32) -> CallerAdmission {
        if open < self.callers {
            CallerAdmission::Accept
        } else if idle > 0 {
            CallerAdmission::CloseIdle
        } else {
            CallerAdmission::Wait
        }
    }
}

/// What becomes of the next connection of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerAdmission {
    /// It is accepted, as the share of callers is not full.
    Accept,
    /// It is accepted for the connection that has had no request for longest, which is closed.
    CloseIdle,
    /// It waits in the listener's queue, as all connections of the share have requests.
    Wait,
}
