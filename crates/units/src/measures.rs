//! Sizes and rates.

use crate::UnitError;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// A size in bytes.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ByteSize(pub u64);

const KIB: u64 = 1024;
const MIB: u64 = KIB * 1024;
const GIB: u64 = MIB * 1024;

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (unit_bytes, suffix) in [(GIB, "GiB"), (MIB, "MiB"), (KIB, "KiB")] {
            if self.0 >= unit_bytes && self.0.is_multiple_of(unit_bytes) {
                return write!(f, "{}{suffix}", self.0 / unit_bytes);
            }
        }
        write!(f, "{}B", self.0)
    }
}

impl FromStr for ByteSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let form_error =
            || UnitError::Form { text: text.to_owned(), form: "a size, for example 64KiB or 512B" };
        let unit_start = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
        let (digits, unit) = text.split_at(unit_start);
        let bytes_per_unit = match unit.trim() {
            "" | "B" => 1,
            "KiB" => KIB,
            "MiB" => MIB,
            "GiB" => GIB,
            _ => return Err(form_error()),
        };
        let number: u64 = digits.parse().map_err(|_| form_error())?;
        number.checked_mul(bytes_per_unit).map(Self).ok_or_else(form_error)
    }
}

/// A rate in events per second.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct PerSecond(pub u32);

impl fmt::Display for PerSecond {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for PerSecond {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = text.strip_suffix("/s").unwrap_or(text).parse();
        number.map(Self).map_err(|_| UnitError::Form {
            text: text.to_owned(),
            form: "a rate, for example 300/s",
        })
    }
}

/// Size of a host: the CPU time that it may use, in millicores (thousandths of a core).
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct HostSize(pub u32);

/// A host counts as much larger than another from this multiple of the other's size.
const MUCH_LARGER_FACTOR: u32 = 2;

impl HostSize {
    /// Returns whether this host is so much larger than the other that a role which only one of them
    /// can have should be this host's.
    pub const fn is_much_larger_than(self, other: Self) -> bool {
        self.0 > other.0 && self.0 >= other.0.saturating_mul(MUCH_LARGER_FACTOR)
    }
}

impl fmt::Display for HostSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

impl FromStr for HostSize {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = text.strip_suffix('m').unwrap_or(text).parse();
        number.map(Self).map_err(|_| UnitError::Form {
            text: text.to_owned(),
            form: "a size in thousandths of a core, for example 200m",
        })
    }
}

/// A rate of requests per second, which may be a fraction.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestRate(pub f32);

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for RequestRate {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let number = text.strip_suffix("/s").unwrap_or(text).parse().ok();
        let rate = number.filter(|rate: &f32| rate.is_finite() && *rate >= 0.0);
        rate.map(Self).ok_or_else(|| UnitError::Form {
            text: text.to_owned(),
            form: "a rate, for example 6.3/s",
        })
    }
}
