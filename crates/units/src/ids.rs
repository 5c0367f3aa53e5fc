//! Ids of hosts, services, upstreams, key ranges, log records and leases.

use crate::UnitError;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// Maximum length of a name, in characters.
pub const MAX_NAME_LEN: usize = 63;

fn validate_name(type_name: &'static str, text: &str) -> Result<(), UnitError> {
    let len = text.chars().count();
    if len == 0 || len > MAX_NAME_LEN {
        return Err(UnitError::Length { type_name, len, max: MAX_NAME_LEN });
    }
    let is_allowed =
        |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !is_allowed(*c)) {
        Some(found) => Err(UnitError::Character { type_name, found }),
        None => Ok(()),
    }
}

macro_rules! name_newtype {
    ($(#[$doc:meta])* $name:ident, $type_name:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                validate_name($type_name, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = UnitError;

            fn try_from(text: String) -> Result<Self, UnitError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }
    };
}

name_newtype!(
    /// Name of a host that accepts requests and routes them to upstreams.
    HostId,
    "host id"
);
name_newtype!(
    /// Name of an availability zone.
    Zone,
    "availability zone"
);
name_newtype!(
    /// Name of a region, a group of availability zones.
    Region,
    "region"
);
name_newtype!(
    /// Name of a service.
    ServiceName,
    "service name"
);
name_newtype!(
    /// Name of an upstream, unique within its service.
    UpstreamId,
    "upstream id"
);

macro_rules! number_newtype {
    ($(#[$doc:meta])* $name:ident($inner:ty), $form:literal) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = UnitError;

            fn from_str(text: &str) -> Result<Self, UnitError> {
                let number = text.parse();
                number
                    .map(Self)
                    .map_err(|_| UnitError::Form { text: text.to_owned(), form: $form })
            }
        }
    };
}

number_newtype!(
    /// Position of a record in the platform's log; the first record has offset 1.
    Offset(u64),
    "an offset, for example 42"
);
number_newtype!(
    /// Number of one run of a host's daemon; each restart gets a larger one.
    Incarnation(u64),
    "an incarnation, for example 1764800000000"
);
number_newtype!(
    /// Index of a key range within its service.
    RangeIndex(u32),
    "a range index, for example 7"
);

/// A host in one incarnation; after a restart of its daemon the host is another member.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// The host.
    pub host: HostId,
    /// The incarnation of its daemon.
    pub incarnation: Incarnation,
}

impl fmt::Display for Member {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.host, self.incarnation)
    }
}

impl FromStr for Member {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let form = "a member, for example host-1#1764800000000";
        let (host, incarnation) =
            text.split_once('#').ok_or_else(|| UnitError::Form { text: text.to_owned(), form })?;
        Ok(Self { host: host.parse()?, incarnation: incarnation.parse()? })
    }
}

/// A key range of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RangeId {
    /// The service.
    pub service: ServiceName,
    /// Index of the range within the service.
    pub index: RangeIndex,
}

impl fmt::Display for RangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.index)
    }
}

impl FromStr for RangeId {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let form = "a range, for example orders/7";
        let (service, index) =
            text.rsplit_once('/').ok_or_else(|| UnitError::Form { text: text.to_owned(), form })?;
        Ok(Self { service: service.parse()?, index: index.parse()? })
    }
}

/// Fencing token of a range lease: the offset of the log record that named the lease's members and
/// the holder's index among them.
///
/// Epochs compare by offset, then by place: a later lease of the same range always has the larger
/// epoch.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Epoch {
    /// Offset of the record that named the lease's members.
    pub offset: Offset,
    /// Index of the holder in the list of members.
    pub place: u8,
}

impl fmt::Display for Epoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.offset, self.place)
    }
}

impl FromStr for Epoch {
    type Err = UnitError;

    fn from_str(text: &str) -> Result<Self, UnitError> {
        let form = "an epoch, for example 42.0";
        let form_error = || UnitError::Form { text: text.to_owned(), form };
        let (offset, place) = text.split_once('.').ok_or_else(form_error)?;
        Ok(Self { offset: offset.parse()?, place: place.parse().map_err(|_| form_error())? })
    }
}
