//! Leases of ranges as folded from the log, and the order of succession.
//!
//! Place `k` belongs to member `k` modulo the number of members. Members can thus succeed one
//! another for more than one round while the log accepts no new record.

use skylarkdock_fold::state::{Assignment, PreviousLease};
use skylarkdock_units::ids::{Epoch, Member, Offset};
use skylarkdock_units::times::HostTime;

/// Returns the member that may hold the range under an epoch of the lease.
pub fn holder(members: &[Member], epoch: Epoch) -> Option<&Member> {
    let place = usize::from(epoch.place).checked_rem(members.len())?;
    members.get(place)
}

/// Returns how many members are a majority.
pub fn majority(members: &[Member]) -> usize {
    members.len() / 2 + 1
}

/// The lease of a range as folded from the log.
#[derive(Debug, Clone)]
pub(crate) struct Lease {
    /// Offset of the newest assignment.
    pub assignment: Offset,
    /// Offset of the record that set the members; identifies the lease.
    pub offset: Offset,
    pub members: Vec<Member>,
    pub previous: Vec<PreviousLease>,
    /// When this host folded the record that set the members.
    pub folded_at: HostTime,
}

impl Lease {
    pub fn new(assignment: &Assignment, folded_at: HostTime) -> Self {
        Self {
            assignment: assignment.offset,
            offset: assignment.lease,
            members: assignment.members.clone(),
            previous: assignment.previous.clone(),
            folded_at,
        }
    }

    pub fn index_of(&self, member: &Member) -> Option<usize> {
        self.members.iter().position(|found| found == member)
    }

    pub fn first_member(&self) -> Option<&Member> {
        self.members.first()
    }

    pub fn first_epoch(&self) -> Epoch {
        Epoch { offset: self.offset, place: 0 }
    }

    /// Returns whether a host is a member of this lease or of one that it replaces.
    pub fn involves(&self, member: &Member) -> bool {
        let earlier = self.previous.iter().flat_map(|lease| &lease.members);
        self.members.iter().chain(earlier).any(|found| found == member)
    }

    /// Returns how many places the member at `index` is behind the holder of `epoch`.
    pub fn rank(&self, index: usize, epoch: Epoch) -> usize {
        let count = self.members.len();
        (index + count - usize::from(epoch.place) % count) % count
    }

    /// Returns the first epoch after `epoch` that belongs to the member at `index`, or `None` if
    /// its place would exceed 255.
    pub fn next_epoch(&self, index: usize, epoch: Epoch) -> Option<Epoch> {
        let rank = self.rank(index, epoch);
        let step = if rank == 0 { self.members.len() } else { rank };
        let place = u8::try_from(usize::from(epoch.place) + step).ok()?;
        Some(Epoch { offset: self.offset, place })
    }
}
