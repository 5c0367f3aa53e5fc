//! Who stands for election when the leader is lost.
//!
//! Each member that joins the store's group may move leadership, and a member that can't hear the store holds it without
//! knowing. So few hosts join: those that read the store successfully anyway, the ones near it first.

use crate::reading::Turn;
use skylarkdock_units::times::Millis;

/// Time after the last heartbeat of a leader from which another host may stand. Longer than the lifetime of its
/// membership, and than news of a heartbeat takes to reach the hosts that read the store.
pub const LEADER_TIMEOUT: Millis = Millis(2_200);
/// Age up to which a successful read of the store shows that a candidate reaches it. Reads of the registry are 0.3 s
/// apart.
const MAX_READ_AGE: Millis = Millis(1_000);
/// Latency of a store call from which the store counts as being in another region.
const REMOTE_STORE_LATENCY: Millis = Millis(15);
/// Additional delay of a candidate of another region than the store's. Over a full link it may hold the leadership without
/// hearing of it.
const REMOTE_DELAY: Millis = Millis(4_000);
/// Additional delay of a candidate whose region has a much larger host.
const SMALL_DELAY: Millis = Millis(300);
/// Additional delay of a candidate for each turn after the first, so that the first hosts of the zones can make
/// themselves known, and its upper limit.
const TURN_DELAY: Millis = Millis(400);
const MAX_TURN_DELAY: Millis = Millis(6_000);
/// Time after its start for which a host that knows of other hosts waits for news of a leader.
const FIRST_NEWS_TIME: Millis = Millis(500);
/// Time for which a candidate whose heartbeat got no answer does not stand: its membership must end, as the store may
/// have made it the leader.
pub const FAILED_PAUSE: Millis = Millis(2_500);

/// What a host decides on whether to stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Time since the latest known heartbeat of a leader that the store accepted; `None` if none is known.
    pub leader_age: Option<Millis>,
    /// Time since the start of the host's process.
    pub uptime: Millis,
    /// Time since the host's last successful read of the store; `None` if there was none.
    pub read_age: Option<Millis>,
    /// Shortest latency of the host's reads.
    pub min_latency: Millis,
    /// Whether the host knows others of the fleet.
    pub knows_hosts: bool,
    /// Whether its region has a much larger host.
    pub is_small: bool,
    /// The host's turn in reading the store.
    pub turn: Turn,
}

/// Returns whether, as far as a host knows, the store has accepted no heartbeat of a leader for so long that another
/// host should lead.
pub fn lacks_leader(leader_age: Option<Millis>) -> bool {
    leader_age.is_some_and(|age| age > LEADER_TIMEOUT)
}

/// Returns whether a host has read the store lately. Others don't stand.
pub fn has_read(candidate: &Candidate) -> bool {
    candidate.read_age.is_some_and(|age| age <= MAX_READ_AGE)
}

/// Returns whether a host stands for election.
pub fn stands(candidate: &Candidate) -> bool {
    let reads = has_read(candidate);
    let is_remote = candidate.min_latency >= REMOTE_STORE_LATENCY;
    let remote_delay = if is_remote { REMOTE_DELAY } else { Millis(0) };
    let small_delay = if candidate.is_small { SMALL_DELAY } else { Millis(0) };
    let turn_delay = MAX_TURN_DELAY.min(Millis(TURN_DELAY.0 * candidate.turn.0));
    let delay = remote_delay + small_delay + turn_delay;
    let is_due = match candidate.leader_age {
        Some(age) => age > LEADER_TIMEOUT + delay,
        None => {
            let wait = if candidate.knows_hosts { FIRST_NEWS_TIME } else { Millis(0) };
            candidate.uptime >= wait + delay
        }
    };
    reads && is_due
}
