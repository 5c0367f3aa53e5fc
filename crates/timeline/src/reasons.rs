//! Enumerations with a text form, for the reasons that events carry.

use serde::{Deserialize, Serialize};
use skylarkdock_units::UnitError;
use std::fmt;
use std::str::FromStr;

macro_rules! text_enum {
    ($(#[$doc:meta])* $name:ident, $form:literal { $($(#[$vdoc:meta])* $variant:ident = $text:literal,)* }) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum $name {
            $($(#[$vdoc])* $variant,)*
        }

        impl $name {
            /// All values, in order of declaration.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the text form, as displayed and parsed.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)*
                }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let matching = Self::ALL.iter().find(|value| value.as_str() == text);
                matching.copied().ok_or_else(|| UnitError::Form { text: text.to_owned(), form: $form })
            }
        }
    };
}

pub(crate) use text_enum;

text_enum!(
    /// Why a host acquired a lease.
    AcquireReason, "a reason for a lease, for example takeover" {
        /// The range had no previous holder.
        First = "first",
        /// The previous holder was silent until its lease had expired.
        Takeover = "takeover",
        /// The previous holder released the lease to this host.
        Handover = "handover",
        /// The host held the lease before and had lost it.
        Regained = "regained",
    }
);

text_enum!(
    /// Why a host lost a lease.
    LossReason, "a reason for a lost lease, for example expired" {
        /// The lease was not renewed in time.
        Expired = "expired",
        /// The host was suspended for longer than the lease ran.
        Suspended = "suspended",
        /// A later record names other members.
        Reassigned = "reassigned",
        /// A witness has seen a larger epoch.
        Superseded = "superseded",
        /// The range's service was retired.
        Retired = "retired",
    }
);

text_enum!(
    /// Why an upstream was assigned to a range.
    AssignReason, "a reason for an upstream, for example down" {
        /// The range had no previous upstream.
        First = "first",
        /// The previous upstream is down.
        Down = "down",
        /// The previous upstream was ejected.
        Ejected = "ejected",
        /// The previous upstream is draining.
        Draining = "draining",
        /// The record in force no longer lists the previous upstream.
        Record = "record",
        /// The previous upstream carried too much load.
        Balance = "balance",
        /// The lease changed hands and the upstream was kept.
        Kept = "kept",
    }
);

text_enum!(
    /// Why a routing record was refused.
    RecordReason, "a reason for a refused record, for example conflict" {
        /// The revision that the record is based on is no longer in force.
        Conflict = "conflict",
        /// The record is invalid.
        Invalid = "invalid",
        /// A host can't read the record's schema version.
        UnsupportedSchema = "unsupported-schema",
        /// The record retires a service that has no record.
        NotFound = "not-found",
    }
);

text_enum!(
    /// Why a message or connection of a peer was refused.
    PeerReason, "a reason for a refused peer, for example signature" {
        /// The authentication code is wrong.
        Signature = "signature",
        /// The peer uses another protocol version.
        Version = "version",
        /// The message was received before.
        Replay = "replay",
        /// The message can't be decoded.
        Malformed = "malformed",
        /// The message exceeds a size limit.
        TooLarge = "too-large",
        /// The message or connection is meant for another host or an earlier incarnation of this one.
        WrongHost = "wrong-host",
        /// The message's stamp is too far ahead of the local wall clock.
        ClockLead = "clock-lead",
    }
);

text_enum!(
    /// Execution guarantee of a request: how often it may run.
    Class, "a class of requests, for example at-most-once" {
        /// The request may run more than once.
        Idempotent = "idempotent",
        /// The request may run once or not at all.
        AtMostOnce = "at-most-once",
    }
);
