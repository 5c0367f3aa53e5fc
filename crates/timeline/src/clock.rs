//! Hybrid logical clock: wall time and a counter, never behind any stamp issued or observed.

use serde::{Deserialize, Serialize};
use skylarkdock_units::UnitError;
use skylarkdock_units::times::{Millis, WallTime};
use std::fmt;
use std::str::FromStr;
use thiserror::Error;

/// Default limit for the lead of a remote stamp over the local wall clock.
pub const MAX_LEAD_MS: Millis = Millis(60_000);

/// Timestamp of a hybrid logical clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Stamp {
    /// Wall time of the process, or a larger wall time from a stamp that it observed.
    pub wall: WallTime,
    /// Counter that orders stamps with the same wall time.
    pub count: u32,
}

impl Stamp {
    const fn next(self) -> Self {
        match self.count.checked_add(1) {
            Some(count) => Self { wall: self.wall, count },
            None => Self { wall: WallTime(self.wall.0.saturating_add(1)), count: 0 },
        }
    }
}

impl fmt::Display for Stamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.wall, self.count)
    }
}

impl FromStr for Stamp {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let form = "a stamp, for example 1764800000000.3";
        let form_error = || UnitError::Form { text: text.to_owned(), form };
        let (wall, count) = text.split_once('.').ok_or_else(form_error)?;
        Ok(Self { wall: wall.parse()?, count: count.parse().map_err(|_| form_error())? })
    }
}

/// Why a clock rejects a remote stamp.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ClockError {
    /// The stamp leads the local wall clock by more than the limit.
    #[error("stamp {stamp} leads the wall clock at {now} by {lead}, allowed are {max_lead}")]
    TooFarAhead {
        /// The rejected stamp.
        stamp: Stamp,
        /// The local wall time.
        now: WallTime,
        /// Lead of the stamp over the local wall time.
        lead: Millis,
        /// Maximum lead that the clock accepts.
        max_lead: Millis,
    },
}

/// Hybrid logical clock of one process.
#[derive(Debug, Clone)]
pub struct Clock {
    last: Stamp,
    max_lead: Millis,
}

impl Default for Clock {
    fn default() -> Self {
        Self::new(MAX_LEAD_MS)
    }
}

impl Clock {
    /// Creates a clock that accepts remote stamps up to `max_lead` ahead of the wall clock.
    pub const fn new(max_lead: Millis) -> Self {
        Self { last: Stamp { wall: WallTime(0), count: 0 }, max_lead }
    }

    /// Returns the last stamp issued, without advancing the clock.
    pub const fn last(&self) -> Stamp {
        self.last
    }

    /// Issues a stamp larger than all stamps issued or observed before.
    pub fn tick(&mut self, now: WallTime) -> Stamp {
        let wall_stamp = Stamp { wall: now, count: 0 };
        self.last = if wall_stamp > self.last { wall_stamp } else { self.last.next() };
        self.last
    }

    /// Advances the clock past a stamp received in a message, and issues a larger one.
    ///
    /// # Errors
    ///
    /// Returns [`ClockError::TooFarAhead`], and leaves the clock unchanged, if the stamp leads the wall
    /// clock by more than the limit.
    pub fn observe(&mut self, stamp: Stamp, now: WallTime) -> Result<Stamp, ClockError> {
        let lead = Millis(stamp.wall.0.saturating_sub(now.0));
        if lead > self.max_lead {
            return Err(ClockError::TooFarAhead { stamp, now, lead, max_lead: self.max_lead });
        }
        self.last = self.last.max(stamp);
        Ok(self.tick(now))
    }
}
