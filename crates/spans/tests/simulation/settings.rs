//! Settings of a simulation, and counts of the faults that it injected.

use skylarkdock_spans::timing::Timing;
use skylarkdock_units::times::Millis;
use std::ops::AddAssign;

/// Timing of the hosts, and the safeguards that a test can disable.
#[derive(Debug, Clone, Copy)]
pub struct Safeguards {
    /// Timing that leaders assume.
    pub leader_timing: Timing,
    /// Timing that keepers follow.
    pub keeper_timing: Timing,
    /// Whether upstreams refuse grants with stale fencing tokens.
    pub has_fencing: bool,
    /// Whether a host without recent proof stops sending grants.
    pub needs_proof: bool,
    /// Whether a grant that has waited is sent only if it is still due.
    pub confirms_sends: bool,
    /// Whether a table that has waited is written only if no other one was recorded meanwhile.
    pub confirms_writes: bool,
    /// Whether hosts stop or lose the store and upstreams crash several times as often, and hosts renew before they read
    /// the store. Not a safeguard, but some are needed only then.
    pub has_frequent_faults: bool,
    /// Whether upstreams start anew at other addresses, and other writers replace entries of running upstreams by ones
    /// with a later start. Not a safeguard either.
    pub has_foreign_entries: bool,
    /// Whether a leader looks for the version before a record that can't be read, and such a record is no proof.
    pub searches_former_tables: bool,
    /// Whether hosts ask the store for fresh proof before they open a connection to a holder.
    pub refreshes_proof: bool,
    /// Whether reads of the store wait for records, so that hosts have proof of seconds ago while nothing changes. Not a
    /// safeguard either.
    pub has_late_proof: bool,
    /// Whether another writer damages the record of the table. Not a safeguard either.
    pub has_damaged_records: bool,
    /// Whether hosts see entries of earlier incarnations, also without the store. Not a safeguard either.
    pub has_late_registry: bool,
    /// Whether the store comes back from older copies of itself. Not a safeguard either.
    pub has_restored_store: bool,
    /// Whether a leader asks the other hosts for the versions of the table that the store may have lost.
    pub recalls_lost_tables: bool,
    /// Whether keys are first granted just before the store comes back from an older copy, while some or all hosts end.
    /// Not a safeguard either.
    pub has_lost_first_tables: bool,
    /// Whether a leader takes a missing table for a first start only by proof, and not as no host remembers one.
    pub doubts_missing_tables: bool,
    /// Whether the first table of a later copy has larger numbers than those of earlier copies.
    pub numbers_copies: bool,
    /// Whether a read of a later copy without a table proves nothing.
    pub doubts_reads_of_later_copies: bool,
    /// Whether a leader waits until hosts whose records were lost are recorded again, and asks those too.
    pub awaits_lost_hosts: bool,
    /// Whether hosts whose records were lost write them again.
    pub records_lost_hosts: bool,
    /// Whether a table that has waited is written only to the copy of the store that it was planned for.
    pub checks_planned_copies: bool,
    /// Whether a refusal that names no process ends no wait for a holder.
    pub doubts_bare_refusals: bool,
    /// Whether a refusal ends the wait for a holder only if it names another process.
    pub compares_names: bool,
    /// Whether calls name the process that they are meant for, so that another one refuses them.
    pub names_processes: bool,
    /// Whether hosts open connections to holders only by recent proof or a recent answer.
    pub checks_connections: bool,
    /// Whether proof that a host takes from another one gets older on its way.
    pub ages_proof: bool,
    /// Whether a release of another host, whose answer is lost, ends no wait.
    pub needs_peer_answers: bool,
    /// Whether a release without an answer ends no wait.
    pub needs_release_answers: bool,
    /// Further troubles, which are no safeguards.
    pub troubles: Troubles,
}

/// Troubles that are drawn from random numbers of their own, so that the other faults do not depend on them.
#[derive(Debug, Clone, Copy, Default)]
pub struct Troubles {
    /// Whether upstreams refuse calls before they look at them, some with a bare status and some by their own name.
    pub refusals: bool,
    /// Whether other processes listen at addresses that upstreams have left, also while the registry still shows the
    /// former ones.
    pub reused_addresses: bool,
    /// Whether hosts see entries late, each by another time.
    pub late_entries: bool,
    /// Whether hosts take proof of the newest table from others instead of the store.
    pub followers: bool,
    /// Whether hosts send releases for others that had no answer, and their answers get lost.
    pub peer_releases: bool,
    /// Whether upstreams work on keys for some seconds, and answer a release only when that work has ended.
    pub running_work: bool,
}

impl Troubles {
    const NONE: Self = Self {
        refusals: false,
        reused_addresses: false,
        late_entries: false,
        followers: false,
        peer_releases: false,
        running_work: false,
    };

    /// Returns whether hosts see the entries that upstreams wrote rather than the upstreams that run.
    pub const fn has_registry(&self) -> bool {
        self.reused_addresses || self.late_entries
    }

    /// Returns the settings with all troubles at once.
    pub const fn all() -> Self {
        Self {
            refusals: true,
            reused_addresses: true,
            late_entries: true,
            followers: true,
            peer_releases: true,
            running_work: true,
        }
    }
}

pub const TIMING: Timing =
    Timing { hold: Millis(3_000), call_timeout: Millis(400), proof_lifetime: Millis(14_000) };

impl Safeguards {
    /// All safeguards, and no troubles.
    pub const NONE_MISSING: Self = Self {
        leader_timing: TIMING,
        keeper_timing: TIMING,
        has_fencing: true,
        needs_proof: true,
        confirms_sends: true,
        confirms_writes: true,
        has_frequent_faults: false,
        has_foreign_entries: false,
        searches_former_tables: true,
        refreshes_proof: true,
        has_late_proof: false,
        has_damaged_records: false,
        has_late_registry: false,
        has_restored_store: false,
        recalls_lost_tables: true,
        has_lost_first_tables: false,
        doubts_missing_tables: true,
        numbers_copies: true,
        doubts_reads_of_later_copies: true,
        awaits_lost_hosts: true,
        records_lost_hosts: true,
        checks_planned_copies: true,
        doubts_bare_refusals: true,
        compares_names: true,
        names_processes: true,
        checks_connections: true,
        ages_proof: true,
        needs_peer_answers: true,
        needs_release_answers: true,
        troubles: Troubles::NONE,
    };
}

impl Default for Safeguards {
    fn default() -> Self {
        Self::NONE_MISSING
    }
}

/// How often each fault was injected or took effect.
#[derive(Debug, Default, Clone, Copy)]
pub struct FaultCounts {
    pub late_grants: u64,
    pub lost_grants: u64,
    pub store_cuts: u64,
    pub host_restarts: u64,
    pub upstream_crashes: u64,
    pub steps_with_several_leaders: u64,
    pub moves: u64,
    pub lost_releases: u64,
    /// Hosts that lost their paths to all upstreams.
    pub cut_offs: u64,
    /// Grants and renewals that went over another host.
    pub detours: u64,
    /// Grants that were decided on, and not sent when their turn came.
    pub withheld_grants: u64,
    /// Grants on a connection that a later incarnation than their holder accepted.
    pub later_incarnations: u64,
    /// Entries of running upstreams that another writer replaced.
    pub foreign_entries: u64,
    /// Records of the table that another writer damaged, and searches that found nothing.
    pub damaged_records: u64,
    pub lost_tables: u64,
    /// Holders that were resumed by an entry although a later incarnation ran.
    pub late_entries: u64,
    /// Times that the store came back from an older copy, tables that it lost, and times that it lost some while keys moved.
    pub losses: u64,
    pub lost_records: u64,
    pub losses_in_moves: u64,
    /// Steps in which a leader did not know whether it knew the last version that the store had.
    pub uncertain_recalls: u64,
    /// Losses after which the store had no table, and of these the ones after which no host knew one.
    pub lost_first_tables: u64,
    pub forgotten_first_tables: u64,
    /// Hosts whose records were lost.
    pub lost_hosts: u64,
    /// Releases that a running holder refused before it looked at them, and grants and renewals.
    pub refused_releases: u64,
    pub refused_grants: u64,
    /// Upstreams that started at the former address of another one.
    pub reused_addresses: u64,
    /// Calls that reached another process than the one that they were meant for.
    pub replaced_holders: u64,
    /// Renewals that were resumed by an entry written before their suspension.
    pub stale_resumptions: u64,
    /// Answers by which hosts took proof from others.
    pub told_proofs: u64,
    /// Releases that were sent over another host, and of these the ones whose answer was lost.
    pub peer_releases: u64,
    pub lost_peer_answers: u64,
    /// Releases that waited for work, and of these the ones that were sent again meanwhile.
    pub waiting_releases: u64,
    pub repeated_releases: u64,
}

impl AddAssign for FaultCounts {
    fn add_assign(&mut self, other: Self) {
        self.late_grants += other.late_grants;
        self.lost_grants += other.lost_grants;
        self.store_cuts += other.store_cuts;
        self.host_restarts += other.host_restarts;
        self.upstream_crashes += other.upstream_crashes;
        self.steps_with_several_leaders += other.steps_with_several_leaders;
        self.moves += other.moves;
        self.lost_releases += other.lost_releases;
        self.cut_offs += other.cut_offs;
        self.detours += other.detours;
        self.withheld_grants += other.withheld_grants;
        self.later_incarnations += other.later_incarnations;
        self.foreign_entries += other.foreign_entries;
        self.damaged_records += other.damaged_records;
        self.lost_tables += other.lost_tables;
        self.late_entries += other.late_entries;
        self.losses += other.losses;
        self.lost_records += other.lost_records;
        self.losses_in_moves += other.losses_in_moves;
        self.uncertain_recalls += other.uncertain_recalls;
        self.lost_first_tables += other.lost_first_tables;
        self.forgotten_first_tables += other.forgotten_first_tables;
        self.lost_hosts += other.lost_hosts;
        self.refused_releases += other.refused_releases;
        self.refused_grants += other.refused_grants;
        self.reused_addresses += other.reused_addresses;
        self.replaced_holders += other.replaced_holders;
        self.stale_resumptions += other.stale_resumptions;
        self.told_proofs += other.told_proofs;
        self.peer_releases += other.peer_releases;
        self.lost_peer_answers += other.lost_peer_answers;
        self.waiting_releases += other.waiting_releases;
        self.repeated_releases += other.repeated_releases;
    }
}
