//! Who reads the store, and from which age of the known records on.

use skylarkdock_units::times::Millis;
use std::fmt;

/// Age of records received from another host at which the first host of an availability zone reads the store itself, in
/// percent of the time within which changes must have an effect. Updates that pass through two hosts are 0.9 s old,
/// and there must still be time to read the store.
const MAX_AGE_PERCENT: u64 = 55;
/// Time between the turns of two hosts of an availability zone, in percent of the same time. Longer than a read of the
/// registry takes on a free link between regions, so that a host usually gets the result of the one before it.
const TURN_PERCENT: u64 = 5;
/// Longest wait for a turn to read the registry, in percent of the same time. An upstream that leaves must get no more
/// requests in time also where no other host has helped; the reads of all hosts of a region take a part of a second.
const MAX_REGISTRY_WAIT_PERCENT: u64 = 20;
/// Factors of that time for large reads: of the configuration, the fleet topic and the whole registry. Hosts that have
/// them send differences, so one that is sent updates leaves it to the first hosts for longer.
const BULK_FACTOR: u64 = 4;
const SOURCED_BULK_FACTOR: u64 = 12;
/// Upper limit of the part of the wait for a large read that doubles with each turn, in percent of the same time, and of the
/// number of doublings. The only host that is left of a zone may have a late turn, and must still read.
const MAX_DOUBLED_PERCENT: u64 = 300;
const MAX_DOUBLINGS: u64 = 8;
/// Age of records of the fleet topic at which the first host of a zone reads that topic. It is read less often than the
/// others.
const MAX_FLEET_AGE: Millis = Millis(4_000);
/// Time without a known heartbeat of a leader from which hosts read the registry to find out whether they could lead. The
/// keepers, which do so before, may all be unable to.
const UNLED_READ_AGE: Millis = Millis(5_000);
/// Longest time that a read of the configuration waits for a record. Well within the time in which a configuration has
/// to be in force, in case the store does not answer as soon as there is a record.
pub const CONFIG_WAIT: Millis = Millis(250);
/// Time that a host gets to read the store itself, after its updates became too old, before it counts as isolated, in
/// percent of the same time. Another host's answer must still arrive in time.
const ISOLATION_PERCENT: u64 = 15;

/// Time after its start for which a host asks others which hosts there are before it reads that from the store itself, in
/// percent of the same time. A configured host that starts at the same time has read the store by then.
const DIRECTORY_PERCENT: u64 = 20;
/// Time after its start within which a configured host is asked by the others of a fleet that starts for the first time, in
/// percent of the same time.
const GATHERING_PERCENT: u64 = 15;
/// Time after its start for which a host that knows the hosts of its zone waits for the first updates of the largest one,
/// in percent of the same time.
const FIRST_UPDATES_PERCENT: u64 = 33;

/// Time between checks whether a host has to read records itself, if that may change at any time, and the longest one if
/// only the age of the records matters.
const CHECK_INTERVAL: Millis = Millis(150);
const MAX_CHECK_INTERVAL: Millis = Millis(600);

/// Place of a host in the order in which the hosts of an availability zone read the store. The first one has place 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Turn(pub u64);

impl Turn {
    /// Turn of the host that the others of its zone ask.
    pub const FIRST: Self = Self(0);

    /// Returns the turn of a host that another one numbered among those which ask it for updates.
    pub const fn of_follower(number: u32) -> Self {
        Self(1 + number as u64)
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

/// How much a read of the store returns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Read {
    /// Changes of the registry since a known state.
    Changes,
    /// Large records, or the whole registry.
    Bulk,
}

const fn bulk_factor(has_source: bool) -> u64 {
    if has_source { SOURCED_BULK_FACTOR } else { BULK_FACTOR }
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

    /// Returns the time after its start for which a host asks others which hosts there are.
    pub const fn directory_time(self) -> Millis {
        Millis(self.effect_time.0 * DIRECTORY_PERCENT / 100)
    }

    /// Returns the time after its start within which a configured host is asked by all that start at the same time.
    pub const fn gathering_time(self) -> Millis {
        Millis(self.effect_time.0 * GATHERING_PERCENT / 100)
    }

    /// Returns the time after its start for which a host waits for the first updates of another.
    pub const fn first_updates_time(self) -> Millis {
        Millis(self.effect_time.0 * FIRST_UPDATES_PERCENT / 100)
    }

    /// Returns the additional time after which a host makes a read itself, by its turn and by whether another host sends it
    /// updates. The wait for large reads doubles with each turn: if those of the hosts before take longer than usual, as
    /// the link is full, further ones at equal intervals would add to it faster than it carries them.
    pub const fn wait_for_turn(self, turn: Turn, read: Read, has_source: bool) -> Millis {
        match read {
            Read::Changes => {
                let percent = TURN_PERCENT * turn.0;
                let is_longer = percent > MAX_REGISTRY_WAIT_PERCENT;
                self.share(if is_longer { MAX_REGISTRY_WAIT_PERCENT } else { percent })
            }
            Read::Bulk => {
                let turn_percent = TURN_PERCENT * bulk_factor(has_source);
                let doublings = if turn.0 > MAX_DOUBLINGS { MAX_DOUBLINGS } else { turn.0 };
                let doubled = turn_percent * ((1 << doublings) - 1);
                let is_longer = doubled > MAX_DOUBLED_PERCENT;
                let doubled = if is_longer { MAX_DOUBLED_PERCENT } else { doubled };
                self.share(doubled + turn_percent * turn.0.saturating_sub(1))
            }
        }
    }

    /// Returns a part of the time within which a change must have an effect, in percent.
    const fn share(self, percent: u64) -> Millis {
        Millis(self.effect_time.0 * percent / 100)
    }

    /// Returns the age of the registry at which a host counts as isolated and asks any other host.
    pub fn isolation_age(self) -> Millis {
        self.max_age() + Millis(self.effect_time.0 * ISOLATION_PERCENT / 100)
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
    /// Whether a read returns all records, as no offset is known from which to read on.
    pub reads_whole: bool,
    /// Time since the latest known heartbeat of a leader that the store accepted; `None` if none is known.
    pub leader_age: Option<Millis>,
    /// Whether another host sends this one updates that are young enough, or could be.
    pub has_source: bool,
    /// The host's turn.
    pub turn: Turn,
}

/// Returns whether a host should read records of the store itself. Leaders do so in any case.
pub fn reads_store(limits: Limits, records: Records, known: &Knowledge) -> bool {
    let is_small = records == Records::Registry && !known.reads_whole;
    let read = if is_small { Read::Changes } else { Read::Bulk };
    let wait = limits.wait_for_turn(known.turn, read, known.has_source);
    if !known.is_known {
        return known.age >= wait;
    }
    if !known.has_source && known.turn == Turn::FIRST {
        return true;
    }
    let unled_wait = limits.share(TURN_PERCENT * bulk_factor(known.has_source) * known.turn.0);
    let is_unled = known.leader_age.is_some_and(|age| age >= UNLED_READ_AGE + unled_wait);
    if records == Records::Registry && is_unled {
        return true;
    }
    let max_age = if records == Records::Fleet { MAX_FLEET_AGE } else { limits.max_age() };
    // A host whose registry is too old has no source that works, so its other records will be too old as well.
    known.age >= max_age + wait || known.registry_age >= limits.max_age() + wait
}

/// Returns whether a host that reads records finds out first how many it misses, as it may need only the newest record of
/// each key. Few keys have large records, so most of what a host that is late misses is replaced.
pub fn skips_replaced(limits: Limits, records: Records, age: Millis) -> bool {
    records == Records::Config && age > limits.isolation_age()
}

/// Returns the time after which a host that need not read records itself checks that again. One that other hosts follow
/// may have to read them at once when it loses its source. Each of the other hosts only has to find out in time that its
/// records are too old, and there are hundreds of these.
pub fn check_interval(limits: Limits, records: Records, known: &Knowledge) -> Millis {
    if !known.is_known || !known.has_source || known.turn == Turn::FIRST {
        return CHECK_INTERVAL;
    }
    let max_age = if records == Records::Fleet { MAX_FLEET_AGE } else { limits.max_age() };
    let until_too_old = max_age
        .saturating_sub(known.age)
        .min(limits.max_age().saturating_sub(known.registry_age))
        .min(UNLED_READ_AGE.saturating_sub(known.leader_age.unwrap_or_default()));
    until_too_old.clamp(CHECK_INTERVAL, MAX_CHECK_INTERVAL)
}

/// Returns whether a host asks any other host for updates, as its registry or configuration is too old. If its source is
/// late as well and can't read the store, it does not wait until it could have read the store itself: others of the region
/// may be up to date, and send differences.
pub fn asks_any_host(
    limits: Limits,
    registry_age: Millis,
    config_age: Millis,
    is_source_late: bool,
) -> bool {
    let limit = if is_source_late { limits.max_age() } else { limits.isolation_age() };
    registry_age > limit || config_age > limit + CONFIG_WAIT
}
