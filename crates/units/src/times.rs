//! Durations, readings of a host's monotonic clock and readings of the wall clock.
//!
//! Leases use only [`HostTime`], which never goes back and advances while the host is suspended.

use crate::UnitError;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

/// A duration in milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Converts to the standard library's [`Duration`].
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Returns the time in seconds, with three decimals.
    pub fn seconds(self) -> String {
        format!("{}.{:03}", self.0 / 1_000, self.0 % 1_000)
    }

    /// Returns the difference to `other`, or zero if `other` is longer.
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}ms", self.0)
    }
}

impl FromStr for Millis {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let form = "a duration, for example 250ms or 3s";
        let form_error = || UnitError::Form { text: text.to_owned(), form };
        let (digits, millis_per_unit) = match (text.strip_suffix("ms"), text.strip_suffix('s')) {
            (Some(digits), _) => (digits, 1),
            (None, Some(digits)) => (digits, 1000),
            (None, None) => return Err(form_error()),
        };
        let number: u64 = digits.trim().parse().map_err(|_| form_error())?;
        number.checked_mul(millis_per_unit).map(Self).ok_or_else(form_error)
    }
}

/// A reading of a host's monotonic clock, in milliseconds since an arbitrary start. The clock advances
/// while the host is suspended. Readings of different hosts can't be compared.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HostTime(pub u64);

impl HostTime {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is the later reading.
    pub const fn since(self, earlier: Self) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Millis> for HostTime {
    type Output = Self;

    fn add(self, duration: Millis) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<Millis> for HostTime {
    type Output = Self;

    fn sub(self, duration: Millis) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

impl fmt::Display for HostTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "@{}", self.0)
    }
}

impl FromStr for HostTime {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let form = "a host time, for example @1500";
        let number = text.strip_prefix('@').and_then(|digits| digits.parse().ok());
        number.map(Self).ok_or_else(|| UnitError::Form { text: text.to_owned(), form })
    }
}

/// A reading of the wall clock, in milliseconds since the Unix epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(pub u64);

impl Add<Millis> for WallTime {
    type Output = Self;

    fn add(self, duration: Millis) -> Self {
        Self(self.0.saturating_add(duration.0))
    }
}

impl Sub<Millis> for WallTime {
    type Output = Self;

    fn sub(self, duration: Millis) -> Self {
        Self(self.0.saturating_sub(duration.0))
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

impl FromStr for WallTime {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let form = "a wall time in Unix milliseconds, for example 1764800000000";
        text.parse().map(Self).map_err(|_| UnitError::Form { text: text.to_owned(), form })
    }
}
