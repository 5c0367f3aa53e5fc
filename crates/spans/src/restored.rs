//! Tables of a store that came back from an older copy, which may lack the last versions.
//!
//! Hosts that knew a lost version may go on with it until their proof expires, so the next version has to follow it, or to
//! wait until all grants of lost versions have certainly expired. Each version names the copy that it was recorded in; a
//! read of a later copy proves nothing of it.

use crate::table::{FencingToken, Table};
use crate::timing::Timing;
use serde::{Deserialize, Serialize};
use skylarkdock_units::times::{HostTime, Millis};

/// Versions, and fencing tokens, that are left out for each copy: more than hosts use in the seconds that a copy lacks.
const NUMBERS_PER_COPY: u64 = 10_000;

/// Number of a copy of the store, which rises each time that the store comes back from an older one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreCopy(pub u32);

/// What a host remembers of a table, by its process's own memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Memory {
    /// Newest version that it knows, if any.
    pub table: Option<Table>,
    /// Time since its last proof that this was the newest version; `None` without proof.
    pub proof_age: Option<Millis>,
    /// Time since the process started.
    pub running: Millis,
}

/// Whether a leader knows the last version that an earlier copy of the store had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Recall {
    /// It does: no version is lost, or every host was asked, and remembers what was recorded since the latest proof of any of
    /// them.
    #[default]
    Certain,
    /// The other hosts are being asked.
    Pending,
    /// It may not.
    Uncertain {
        /// When the leader first knew of the copy.
        restored_at: HostTime,
    },
}

impl Recall {
    /// Returns the version and the smallest unused token of the first table that a copy has; `None` while grants of a lost
    /// one may be in force.
    pub fn first_numbers(
        self,
        copy: Option<StoreCopy>,
        timing: Timing,
        now: HostTime,
    ) -> Option<(u64, FencingToken)> {
        match self {
            Self::Certain => Some((1, FencingToken(1))),
            Self::Pending => None,
            Self::Uncertain { restored_at } => {
                let has_expired = now.since(restored_at) >= timing.expiry_without_acks();
                let copies = copy.map_or(0, |copy| u64::from(copy.0));
                let number = 1 + copies * NUMBERS_PER_COPY;
                has_expired.then_some((number, FencingToken(number)))
            }
        }
    }
}

/// Returns what the hosts' memories show, and the newest version among them. `None` stands for a host that did not answer;
/// `own` is the memory of the leader, which first knew of the copy at `restored_at`, and of an earlier one before that if
/// `is_restored`.
pub fn recall(
    own: &Memory,
    others: &[Option<Memory>],
    restored_at: HostTime,
    is_restored: bool,
) -> (Recall, Option<Table>) {
    let answers: Vec<&Memory> = others.iter().flatten().chain([own]).collect();
    let tables = answers.iter().filter_map(|memory| memory.table.as_ref());
    let newest = tables.filter(|table| table.check().is_ok()).max_by_key(|table| table.version);
    // A version that was recorded after the latest proof is known to the process that recorded it, unless that has ended.
    let proof_age = answers.iter().filter_map(|memory| memory.proof_age).min();
    let running = answers.iter().map(|memory| memory.running).min();
    let is_remembered = proof_age.is_some_and(|age| running.is_some_and(|running| running > age));
    // The hosts of a fleet that starts know of none.
    let is_first = newest.is_none() && !is_restored;
    let is_certain = (is_remembered || is_first) && others.iter().all(Option::is_some);
    let recall = if is_certain { Recall::Certain } else { Recall::Uncertain { restored_at } };
    (recall, newest.cloned())
}

/// Returns the last known version of a table as it is carried on in a later copy of the store, before its version rises;
/// `None` while that has to wait.
pub fn carried_on(
    table: &Table,
    copy: StoreCopy,
    recall: Recall,
    timing: Timing,
    now: HostTime,
) -> Option<Table> {
    let copies = table.copy.map_or(0, |former| copy.0.saturating_sub(former.0));
    let skipped = u64::from(copies) * NUMBERS_PER_COPY;
    let mut next = Table {
        copy: Some(copy),
        version: table.version + skipped,
        next_fence: FencingToken(table.next_fence.0 + skipped),
        ..table.clone()
    };
    match recall {
        Recall::Pending => None,
        Recall::Certain => Some(next),
        Recall::Uncertain { restored_at } => {
            if now.since(restored_at) < timing.expiry_without_acks() {
                return None;
            }
            // Owners may have seen larger tokens than the table has, and all grants have expired.
            for span in &mut next.spans {
                span.fence = next.next_fence;
                span.is_granted = false;
                span.former.clear();
            }
            next.next_fence = FencingToken(next.next_fence.0 + 1);
            Some(next)
        }
    }
}
