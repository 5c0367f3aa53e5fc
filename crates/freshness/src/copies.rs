//! Copies of the store: it may come back from an older copy of itself and lose what was written since.
//!
//! Such a store gives offsets out again. So an offset contains the number of the copy that it belongs to, in its high part,
//! and offsets of a later copy are larger than all before.

use skylarkdock_units::times::{HostTime, Millis};
use std::fmt;

/// Number of bits of an offset that count records.
const INDEX_BITS: u32 = 40;
/// Time after the store came back within which operators have written again what it lost.
pub const REWRITE_TIME: Millis = Millis(5_000);

/// Number of a copy of the store, which rises each time that the store comes back from an older one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct CopyNumber(u32);

impl CopyNumber {
    /// Creates a number of the bits that fit into an offset. A store may begin to count at any number, so higher ones must not
    /// keep hosts from using it.
    pub const fn of(number: u64) -> Self {
        Self((number & ((1 << (u64::BITS - INDEX_BITS)) - 1)) as u32)
    }

    /// Returns the number without its type.
    pub const fn get(self) -> u32 {
        self.0
    }
}

impl fmt::Display for CopyNumber {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Place of a record in a topic of a copy of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    /// The copy.
    pub copy: CopyNumber,
    /// Number of records before it in the topic.
    pub index: u64,
}

impl Position {
    /// Returns the position that an offset stands for.
    pub const fn of(offset: u64) -> Self {
        let copy = CopyNumber((offset >> INDEX_BITS) as u32);
        Self { copy, index: offset & ((1 << INDEX_BITS) - 1) }
    }

    /// Returns the offset that stands for this position; `None` if a topic has more records than fit.
    pub const fn offset(self) -> Option<u64> {
        if self.index >> INDEX_BITS != 0 {
            return None;
        }
        Some(((self.copy.0 as u64) << INDEX_BITS) | self.index)
    }
}

/// The latest copy of the store that a host knows, and since when.
#[derive(Debug, Clone, Copy, Default)]
pub struct KnownCopy {
    /// The copy; `None` until anything is known of the store.
    copy: Option<CopyNumber>,
    /// When this host first knew it.
    known_at: HostTime,
}

impl KnownCopy {
    /// Returns the number of the copy; zero until anything is known of the store.
    pub fn number(&self) -> CopyNumber {
        self.copy.unwrap_or_default()
    }

    /// Records that records of a copy have become known at `now`. Returns the copy known before, if the store came back
    /// from an older one since.
    pub fn on_records(&mut self, copy: CopyNumber, now: HostTime) -> Option<CopyNumber> {
        if self.copy.is_some_and(|known| copy <= known) {
            return None;
        }
        let before = self.copy.replace(copy);
        self.known_at = now;
        before
    }

    /// Returns when this host first knew the copy; zero until anything is known of the store.
    pub const fn known_at(&self) -> HostTime {
        self.known_at
    }

    /// Returns whether a read that was sent at `asked_at` shows which configuration is the newest one. While operators
    /// write again what the store lost, it does not. A host that starts can't tell when the store came back.
    pub fn shows_newest(&self, asked_at: HostTime) -> bool {
        self.copy.is_none_or(|copy| copy == CopyNumber::default())
            || asked_at >= self.known_at + REWRITE_TIME
    }
}
