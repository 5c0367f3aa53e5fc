//! Evidence that a former holder's grants of a span are no longer in force.
//!
//! The next owner gets the keys only then. An answer with a bare status is no evidence: the holder itself, or a process
//! between it and the host, may have given it without a look at the call.

use crate::table::Holder;
use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::UpstreamId;
use std::fmt;

/// The end of a holder's grants of a span. It can only be made from the holder's own release, from the name of another
/// process at its address, or, within this crate, from the time since the last grant was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GrantEnd(Cause);

#[derive(Debug, Clone, PartialEq, Eq)]
enum Cause {
    Released { handover: Option<String> },
    Replaced { by: UpstreamId },
    Expired,
}

/// Reason for which a release did not show that the holder's grants have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NotEnded {
    /// The holder itself, or a process that did not say which one it is, refused the call.
    Refused,
    /// There was no answer, or it does not tell whether the call was carried out.
    Unknown,
}

impl GrantEnd {
    /// Returns the end by a release that the holder confirmed, with the state that it handed over.
    pub const fn released(handover: Option<String>) -> Self {
        Self(Cause::Released { handover })
    }

    /// Returns the end of a process whose address another one has, `None` if `found` is the holder itself.
    pub fn replaced(holder: &Holder, found: &UpstreamId) -> Option<Self> {
        (holder.id != *found).then(|| Self(Cause::Replaced { by: found.clone() }))
    }

    /// Returns the end by time: all grants that may have been sent have expired.
    pub(crate) const fn expired() -> Self {
        Self(Cause::Expired)
    }

    /// Returns whether the holder itself released the keys.
    pub const fn is_release(&self) -> bool {
        matches!(self.0, Cause::Released { .. })
    }

    /// Returns the process that has the holder's address now, if that is the reason.
    pub const fn replaced_by(&self) -> Option<&UpstreamId> {
        match &self.0 {
            Cause::Replaced { by } => Some(by),
            Cause::Released { .. } | Cause::Expired => None,
        }
    }

    /// Returns the state that the holder handed over, if it did.
    pub fn handover(&self) -> Option<&str> {
        match &self.0 {
            Cause::Released { handover } => handover.as_deref(),
            Cause::Replaced { .. } | Cause::Expired => None,
        }
    }
}

impl fmt::Display for GrantEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Cause::Released { .. } => f.write_str("released"),
            Cause::Replaced { by } => write!(f, "replaced by {by}"),
            Cause::Expired => f.write_str("expired"),
        }
    }
}

impl fmt::Display for NotEnded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused => "refused",
            Self::Unknown => "unknown",
        })
    }
}
