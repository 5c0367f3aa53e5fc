//! Leader election among the hosts. A host becomes leader by joining a group of the store, which has the leader as its
//! only member while nothing changes. It hands leadership over when it is told to stop or a much larger host of its
//! region is available.

use super::Control;
use crate::clock;
use async_io::Timer;
use futures_lite::FutureExt;
use metrics::counter;
use skylarkdock_freshness::election::{self, Candidate};
use skylarkdock_spans::leader::Leader;
use skylarkdock_units::times::{HostTime, Millis};
use std::rc::Rc;

/// Time between heartbeats to the store's group.
const JOIN_INTERVAL: Millis = Millis(600);
/// Time after the last heartbeat that the store accepted, from which another host may lead.
const LEADERSHIP_LIFETIME: Millis = Millis(1_900);
/// Time between the checks of a host that sends no heartbeats whether it should stand for election, and of one that does
/// not read the store, unless it does so meanwhile.
const CANDIDACY_CHECK_INTERVAL: Millis = Millis(150);
const MAX_CANDIDACY_CHECK_INTERVAL: Millis = Millis(2_000);
/// Time between a leader's checks whether to hand over, and during a handover between checks for pending moves.
const HANDOVER_CHECK_INTERVAL: Millis = Millis(100);
/// Time between the checks of a host that does not lead whether it was told to stop.
const IDLE_CHECK_INTERVAL: Millis = Millis(500);
/// Longest time that a handover waits for pending moves. A process that is told to stop is killed later than that.
const MAX_HANDOVER_WAIT: Millis = Millis(1_500);
/// Time for which a host leads before it yields to a much larger host. By then it knows which hosts are available.
const MIN_LEADERSHIP_TIME: Millis = Millis(3_000);
/// Time for which a host that yielded to a larger one takes no part in the election.
const RESIGNATION_TIME: Millis = Millis(3_000);
/// Shortest time between two resignations in favour of a larger host, in case that host can't lead.
const MIN_RESIGNATION_INTERVAL: Millis = Millis(60_000);

/// Starts the tasks that take part in the election and hand leadership over.
pub(super) fn start(control: &Rc<Control>) {
    control.spawn("election", Rc::clone(control).take_part_in_election());
    control.spawn("handover", Rc::clone(control).hand_over_leadership());
}

impl Control {
    /// Takes part in the election while no leader is known, if this host could lead. So the leader stays the only member
    /// of the group, and hosts that start, stop or are late don't cause another election.
    async fn take_part_in_election(self: Rc<Self>) {
        let mut is_member = false;
        let mut last_outcome = None;
        let mut paused_until = HostTime(0);
        loop {
            let now = clock::now();
            let is_paused = now < self.resigned_until.get() || now < paused_until;
            let candidate = self.candidate(now);
            let takes_part = !is_paused && (self.is_leader.get() || election::stands(&candidate));
            if is_member != takes_part {
                log::info!(candidate:? = candidate; "fleet: {} the election", if takes_part { "takes part in" } else { "leaves" });
                if !takes_part && !is_paused {
                    self.leave_group().await;
                }
                last_outcome = None;
            }
            is_member = takes_part;
            if is_member {
                let outcome = self.send_heartbeat(now).await;
                if last_outcome.replace(outcome) != Some(outcome) {
                    let took = clock::now().since(now);
                    log::info!(leads:? = outcome, took:% = took; "fleet: heartbeats for the election have another result");
                }
                if outcome.is_none() && !self.is_leader.get() {
                    paused_until = clock::now() + election::FAILED_PAUSE;
                }
            }
            if clock::now().since(self.accepted_as_leader_at.get()) > LEADERSHIP_LIFETIME {
                self.set_leader(false);
            }
            let may_stand_soon = is_paused || election::has_read(&candidate);
            if is_member {
                Timer::after(JOIN_INTERVAL.duration()).await;
            } else if may_stand_soon {
                Timer::after(CANDIDACY_CHECK_INTERVAL.duration()).await;
            } else {
                let read = self.registry_read.listen();
                let passed = async {
                    Timer::after(MAX_CANDIDACY_CHECK_INTERVAL.duration()).await;
                };
                read.or(passed).await;
            }
        }
    }

    /// Sends a heartbeat to the store's group. Returns whether the store made this host the leader; `None` if it did not
    /// answer.
    async fn send_heartbeat(&self, now: HostTime) -> Option<bool> {
        counter!("skylarkdock_store_calls_total", "call" => "join").increment(1);
        match (self.store.join)().await {
            Ok(leads) => {
                if leads {
                    self.accepted_as_leader_at.set(now);
                    self.fleet.borrow_mut().known_records.record_leader(now);
                    self.set_leader(true);
                }
                Some(leads)
            }
            Err(e) => {
                log::debug!("fleet: store did not accept a heartbeat for the leader election: {e}");
                None
            }
        }
    }

    fn candidate(&self, now: HostTime) -> Candidate {
        let turn = self.turn();
        let fleet = self.fleet.borrow();
        let is_small = fleet.hosts.values().any(|record| {
            record.region == self.settings.region
                && record.size.is_much_larger_than(self.settings.size)
        });
        Candidate {
            leader_age: fleet.known_records.leader_seen_at().map(|seen_at| now.since(seen_at)),
            uptime: now.since(self.started_at),
            read_age: self.registry_read_at.get().map(|read_at| now.since(read_at)),
            min_latency: self.min_store_latency.get(),
            knows_hosts: fleet.hosts.values().any(|record| record.host != self.settings.host),
            is_small,
            turn,
        }
    }

    /// Returns whether the store has accepted no heartbeat of a leader for so long, as far as this host knows, that another
    /// should lead.
    pub(super) fn lacks_leader(&self, now: HostTime) -> bool {
        let seen_at = self.fleet.borrow().known_records.leader_seen_at();
        election::lacks_leader(seen_at.map(|seen_at| now.since(seen_at)))
    }

    async fn leave_group(&self) {
        if let Err(e) = (self.store.leave)().await {
            log::debug!(
                "fleet: store did not confirm that this host left the leader election: {e}"
            );
        }
    }

    /// Hands leadership over when this host is told to stop or a much larger one can lead. It waits for pending moves
    /// and leaves the group, so that the next leader need not wait until this host's membership expires.
    async fn hand_over_leadership(self: Rc<Self>) {
        loop {
            let interval =
                if self.is_leader.get() { HANDOVER_CHECK_INTERVAL } else { IDLE_CHECK_INTERVAL };
            Timer::after(interval.duration()).await;
            let now = clock::now();
            let is_stopping = self.status.is_leaving();
            if !is_stopping && !self.is_outranked(now) {
                continue;
            }
            let was_leader = self.is_leader.get();
            if was_leader {
                log::info!(stopping = is_stopping; "fleet: handing over leadership");
                self.wait_for_pending_moves().await;
            }
            let pause = if is_stopping { Millis(u64::from(u32::MAX)) } else { RESIGNATION_TIME };
            self.resigned_at.set(clock::now());
            self.resigned_until.set(clock::now() + pause);
            self.set_leader(false);
            if was_leader {
                self.leave_group().await;
            }
            self.changed.notify(usize::MAX);
            if is_stopping {
                return;
            }
        }
    }

    async fn wait_for_pending_moves(&self) {
        self.is_handing_over.set(true);
        let until = clock::now() + MAX_HANDOVER_WAIT;
        let has_pending_changes =
            || self.owners.borrow().leaders.values().any(Leader::has_pending_changes);
        while has_pending_changes() && clock::now() < until {
            Timer::after(HANDOVER_CHECK_INTERVAL.duration()).await;
        }
        self.is_handing_over.set(false);
    }

    /// Returns whether this host leads although a much larger one of its region is available. Ignores larger hosts just
    /// after an election or a resignation.
    fn is_outranked(&self, now: HostTime) -> bool {
        let resigned_at = self.resigned_at.get();
        let has_resigned = resigned_at.0 > 0 && now.since(resigned_at) < MIN_RESIGNATION_INTERVAL;
        self.is_leader.get()
            && !has_resigned
            && now.since(self.leader_since.get()) >= MIN_LEADERSHIP_TIME
            && self.available_hosts(now).iter().any(|host| {
                host.region == self.settings.region
                    && host.size.is_much_larger_than(self.settings.size)
            })
    }

    fn set_leader(&self, is_leader: bool) {
        let now = clock::now();
        let is_leader = is_leader && now >= self.resigned_until.get();
        if self.is_leader.replace(is_leader) != is_leader {
            log::info!(leads = is_leader; "fleet: leadership changed");
            if is_leader {
                self.leader_since.set(now);
            } else {
                self.owners.borrow_mut().leaders.clear();
            }
        }
    }
}
