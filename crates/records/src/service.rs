//! The internal form of a routing record, independent of its schema version.

use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::{RangeIndex, ServiceName, UpstreamId, Zone};
use skylarkdock_units::keys::KeyHash;
use skylarkdock_units::times::Millis;
use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

/// A service as described by its routing record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// Number of key ranges.
    pub ranges: u32,
    /// Operations; the first one that matches a request determines its class and priority.
    pub operations: Vec<Operation>,
    /// Maximum duration of a request.
    pub deadline: Millis,
    /// What happens to the ranges of an availability zone that is cut off from the others.
    pub on_cut: OnCut,
    /// Upstreams, ordered by id.
    pub upstreams: Vec<Upstream>,
}

impl Service {
    /// Returns the range that a key falls in.
    pub fn range_of(&self, key: KeyHash) -> RangeIndex {
        key.range(self.ranges)
    }

    /// Returns the upstream with the given id.
    pub fn upstream(&self, id: &UpstreamId) -> Option<&Upstream> {
        let found = self.upstreams.binary_search_by(|upstream| upstream.id.cmp(id));
        found.ok().map(|index| &self.upstreams[index])
    }

    /// Returns the class and priority of a request, given its method and the part of its path after the
    /// key. If no operation matches, GET and HEAD are repeatable and other methods once-only.
    pub fn classify(&self, method: &str, path: &str) -> (Class, Priority) {
        let found = self.operations.iter().find(|operation| operation.matches(method, path));
        match found {
            Some(operation) => (operation.class, operation.priority),
            None if matches!(method, "GET" | "HEAD") => (Class::Repeatable, Priority::Interactive),
            None => (Class::OnceOnly, Priority::Critical),
        }
    }
}

/// Matches requests by method and path and gives them a class and priority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Operation {
    /// HTTP method.
    pub method: String,
    /// Prefix of the path after the key; an empty prefix matches every path.
    pub path_prefix: String,
    /// Whether a matching request may run more than once.
    pub class: Class,
    /// Precedence of a matching request when slots are scarce.
    pub priority: Priority,
}

impl Operation {
    fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && path.starts_with(&self.path_prefix)
    }
}

/// An upstream of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    /// Id, unique within the service.
    pub id: UpstreamId,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Maximum number of connections that it accepts from all hosts together.
    pub connections: u32,
    /// Whether it checks tokens and grants.
    pub checks_orders: bool,
}

macro_rules! string_enum {
    ($(#[$doc:meta])* $name:ident { $($(#[$variant_doc:meta])* $variant:ident = $word:literal),+ $(,)? }) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(rename_all = "kebab-case")]
        pub enum $name { $($(#[$variant_doc])* $variant),+ }

        impl $name {
            /// Text forms of all variants, in their order.
            pub const WORDS: &'static [&'static str] = &[$($word),+];
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(match self { $(Self::$variant => $word),+ })
            }
        }

        impl FromStr for $name {
            type Err = UnknownWord;

            fn from_str(text: &str) -> Result<Self, UnknownWord> {
                match text { $($word => Ok(Self::$variant),)+ _ => Err(UnknownWord) }
            }
        }
    };
}

/// Error from parsing a word that is not the text form of any variant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("unknown word")]
pub struct UnknownWord;

string_enum!(
    /// Whether a request may run more than once.
    Class {
        /// May be repeated, for example a read.
        Repeatable = "repeatable",
        /// Runs at most once, for example an order or a payment.
        OnceOnly = "once-only",
    }
);

string_enum!(
    /// Precedence of requests when slots are scarce, highest first.
    Priority {
        /// Requests whose loss costs money, for example payments.
        Critical = "critical",
        /// Requests for whose response somebody is waiting.
        Interactive = "interactive",
        /// Large transfers that can be delayed.
        Bulk = "bulk",
    }
);

string_enum!(
    /// What happens to the ranges of an availability zone that a network partition cuts off from the
    /// others.
    OnCut {
        /// The hosts of that zone keep the ranges; no other host takes them over.
        Hold = "hold",
        /// Hosts in other zones take the ranges over.
        Move = "move",
    }
);
