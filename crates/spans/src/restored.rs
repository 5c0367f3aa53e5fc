//! Tables of a store that came back from an older copy, which may lack the last versions.
//!
//! Hosts that knew a lost version may go on with it until their proof expires, so the next version has to follow it, or to
//! wait until all grants of lost versions have certainly expired. Each version names the copy that it was recorded in; a
//! read of a later copy proves nothing of it.

use crate::table::{FencingToken, Table};
use crate::timing::Timing;
use serde::{Deserialize, Serialize};
use skylarkdock_units::ids::HostId;
use skylarkdock_units::times::{HostTime, Millis};

/// Uptime before which no process records the first table of a service.
pub const MIN_FIRST_TABLE_UPTIME: Millis = Millis(2_000);
/// Uptime up to which no other process of a fleet that starts can have recorded a table either: its processes start within
/// a fraction of a second of each other.
const FIRST_READ_UPTIME: Millis = Millis(1_000);
/// Versions, and fencing tokens, that are left out for each copy: more than hosts use in the seconds that a copy lacks.
pub(crate) const NUMBERS_PER_COPY: u64 = 10_000;

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
    /// Copy of the store that it read when the fleet started for the first time, before any host could record a table.
    /// `None` also from hosts of earlier versions, which don't tell.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub first_copy: Option<StoreCopy>,
}

/// Whether a leader knows the last version that an earlier copy of the store had.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Recall {
    /// It does: no version is lost, or every host was asked, and remembers what was recorded since the latest proof of any of
    /// them.
    #[default]
    Certain,
    /// The other hosts are being asked, or may not be recorded yet in the copy.
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
        let may_be_written = match self {
            Self::Certain => true,
            Self::Pending => false,
            Self::Uncertain { restored_at } => {
                now.since(restored_at) >= timing.expiry_without_acks()
            }
        };
        let number = 1 + numbers_before(copy);
        may_be_written.then_some((number, FencingToken(number)))
    }
}

/// Returns how many versions and tokens are left out for the copies of the store up to `copy`.
pub(crate) fn numbers_before(copy: Option<StoreCopy>) -> u64 {
    copy.map_or(0, |copy| u64::from(copy.0)) * NUMBERS_PER_COPY
}

/// Returns the copy that a process first knew of at an uptime, if no host can have recorded a table by then. Only the start of
/// the whole fleet shows that: a process that starts alone can't tell how long the others have run.
pub fn first_copy(is_first_start: bool, copy: StoreCopy, uptime: Millis) -> Option<StoreCopy> {
    (is_first_start && uptime <= FIRST_READ_UPTIME).then_some(copy)
}

/// Memories of the table that hosts told the leader of, once it knew of a copy of the store.
#[derive(Debug, Clone)]
pub struct Asked {
    /// The leader, and its own memory.
    pub own: (HostId, Memory),
    /// The other recorded hosts; `None` for one that did not answer.
    pub others: Vec<(HostId, Option<Memory>)>,
    /// Copy that the leader knows of, in which it carries the table on.
    pub copy: StoreCopy,
    /// When the leader first knew of the copy.
    pub restored_at: HostTime,
}

impl Asked {
    /// Returns what the memories show at `now`, and the newest version among them.
    ///
    /// That no host remembers a table proves nothing: those that did may have ended, or their records may be lost.
    pub fn recall(&self, timing: Timing, now: HostTime) -> (Recall, Option<Table>) {
        let answers = self.others.iter().filter_map(|(_, memory)| memory.as_ref());
        let answers: Vec<&Memory> = answers.chain([&self.own.1]).collect();
        let tables = answers.iter().filter_map(|memory| memory.table.as_ref());
        let newest = tables.filter(|table| table.check().is_ok()).max_by_key(|table| table.version);
        let is_first =
            newest.is_none() && answers.iter().any(|memory| memory.first_copy == Some(self.copy));
        let recall = if is_first || self.is_remembered(&answers, newest) {
            // A host whose record is lost may have recorded a version that no other knows. If it runs, it is recorded
            // again by then; if it has ended, its grants have.
            let is_settled = now.since(self.restored_at) >= timing.grant_expiry();
            if is_first || is_settled { Recall::Certain } else { Recall::Pending }
        } else {
            Recall::Uncertain { restored_at: self.restored_at }
        };
        (recall, newest.cloned())
    }

    /// Returns whether all hosts have answered, and ran when any of them last had proof. A version that was recorded later is
    /// known to the process that recorded it, unless that has ended.
    fn is_remembered(&self, answers: &[&Memory], newest: Option<&Table>) -> bool {
        let proof_age = answers.iter().filter_map(|memory| memory.proof_age).min();
        let running = answers.iter().map(|memory| memory.running).min();
        let has_answered = |host: &HostId| {
            let other = self.others.iter().find(|(other, _)| other == host);
            *host == self.own.0 || other.is_some_and(|(_, memory)| memory.is_some())
        };
        proof_age.is_some_and(|age| running.is_some_and(|running| running > age))
            && self.others.iter().all(|(_, memory)| memory.is_some())
            && newest.is_none_or(|table| {
                has_answered(&table.leader)
                    && table.keepers.iter().all(|keeper| has_answered(&keeper.host))
            })
    }
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
    let skipped = table.copy.map_or(0, |former| {
        numbers_before(Some(copy)).saturating_sub(numbers_before(Some(former)))
    });
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
