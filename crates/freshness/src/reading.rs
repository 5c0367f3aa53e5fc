//! Who reads the store, and from which age of the known records on.

use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::Millis;
use std::fmt;
use xxhash_rust::xxh3;

/// Age of records received from another host at which the first host of an availability zone reads the store itself, in
/// percent of the time within which changes must have an effect. Updates that pass through two hosts are 0.9 s old,
/// and there must still be time to read the store.
const MAX_AGE_PERCENT: u64 = 55;
/// Time between the turns of two hosts of an availability zone, in percent of the same time. Longer than a read of the
/// registry takes on a free link between regions, so that a host usually gets the result of the one before it.
const TURN_PERCENT: u64 = 5;
/// Turns that a host of an availability zone lets pass for each one of the registry before it reads the configuration
/// or the fleet topic. Their records are large, and hosts that have them send differences.
const BULK_TURNS: u64 = 4;
/// Age of records of the fleet topic at which the first host of a zone reads that topic. It is read less often than the
/// others.
const MAX_FLEET_AGE: Millis = Millis(4_000);
/// Time without a known heartbeat of a leader from which hosts read the registry to find out whether they could lead. The
/// keepers, which do so before, may all be unable to.
const UNLED_READ_AGE: Millis = Millis(5_000);
/// Time that a host gets to read the store itself, after its updates became too old, before it counts as isolated.
const ISOLATION_MARGIN: Millis = Millis(500);

/// Place of a host in the order in which the hosts of an availability zone read the store. The first one has place 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Turn(pub u64);

impl Turn {
    /// Turn of the host that the others of its zone ask.
    pub const FIRST: Self = Self(0);

    /// Returns the turn of a host that asks another one, which is asked by `followers` hosts. Few of them have the same
    /// turn, although they need not know each other.
    pub fn of_follower(host: &HostId, followers: u32) -> Self {
        let hash = xxh3::xxh3_64(host.as_str().as_bytes());
        Self(1 + hash % u64::from(followers.max(1)))
    }
}

impl fmt::Display for Turn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// Group of records that hosts keep up to date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Records {
    /// The registry of upstreams, whose changes must have an effect soonest.
    Registry,
    /// The operators' configuration.
    Config,
    /// Hosts and tables of owners.
    Fleet,
}

/// Limits of the age of what hosts know.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Time within which a change must have an effect.
    effect_time: Millis,
}

impl Limits {
    /// Creates the limits for the times within which a configuration has to be in force and an upstream that leaves must
    /// get no new requests.
    pub fn new(apply_time: Millis, drain_time: Millis) -> Self {
        Self { effect_time: apply_time.min(drain_time) }
    }

    /// Returns the age of records received from another host at which the first host of a zone reads the store itself.
    pub const fn max_age(self) -> Millis {
        Millis(self.effect_time.0 * MAX_AGE_PERCENT / 100)
    }

    /// Returns the additional time after which a host reads records itself, by its turn.
    pub const fn wait_for_turn(self, turn: Turn, records: Records) -> Millis {
        let turns = match records {
            Records::Registry => turn.0,
            Records::Config | Records::Fleet => turn.0 * BULK_TURNS,
        };
        Millis(self.effect_time.0 * TURN_PERCENT / 100 * turns)
    }

    /// Returns the age of the registry at which a host counts as isolated and asks any other host.
    pub fn isolation_age(self) -> Millis {
        self.max_age() + ISOLATION_MARGIN
    }
}

/// What a host decides on whether to read records of the store itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Knowledge {
    /// Age of the records; the time since the start if none are known.
    pub age: Millis,
    /// The same for the registry.
    pub registry_age: Millis,
    /// Whether the records are known at all.
    pub is_known: bool,
    /// Time since the latest known heartbeat of a leader that the store accepted; `None` if none is known.
    pub leader_age: Option<Millis>,
    /// Whether another host sends this one updates.
    pub has_source: bool,
    /// The host's turn.
    pub turn: Turn,
}

/// Returns whether a host should read records of the store itself. Leaders do so in any case.
pub fn reads_store(limits: Limits, records: Records, known: &Knowledge) -> bool {
    let wait = limits.wait_for_turn(known.turn, records);
    if !known.is_known {
        return known.age >= wait;
    }
    if !known.has_source && known.turn == Turn::FIRST {
        return true;
    }
    let is_unled = known.leader_age.is_some_and(|age| age >= UNLED_READ_AGE + wait);
    if records == Records::Registry && is_unled {
        return true;
    }
    let max_age = if records == Records::Fleet { MAX_FLEET_AGE } else { limits.max_age() };
    // A host whose registry is too old has no source that works, so its other records will be too old as well.
    known.age >= max_age + wait || known.registry_age >= limits.max_age() + wait
}
