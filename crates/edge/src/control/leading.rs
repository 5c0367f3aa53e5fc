//! Which host leads: it joins a group of the store that has one member at a time at rest, and hands the lead over when
//! it is told to stop or a much larger host is there.

use super::Control;
use crate::clock;
use crate::store::Topic;
use async_io::Timer;
use metrics::counter;
use skylarkdock_spans::leader::Leader;
use skylarkdock_units::times::{HostTime, Millis};
use std::rc::Rc;

/// Time between signs of life to the group that chooses the leader.
const JOIN_INTERVAL: Millis = Millis(600);
/// Time after the last sign of life that was taken from which another host may lead.
const LEADER_LIFETIME: Millis = Millis(1_900);
/// Time between looks at whether the lead is to be handed over, and then at the moves under way.
const STEP_INTERVAL: Millis = Millis(100);
/// The same on a host that does not lead.
const IDLE_INTERVAL: Millis = Millis(500);
/// Longest time for the moves under way before the lead is handed over; a process that is told to stop lives longer.
const STEP_DOWN_TIME: Millis = Millis(1_500);
/// Time after which a leader looks for a much larger host: its hosts are known by then.
const SETTLED: Millis = Millis(3_000);
/// Time for which a host that resigned leaves the lead to others.
const RESIGNED: Millis = Millis(3_000);
/// Shortest time between two resignations, should the larger host not be able to lead.
const RESIGN_INTERVAL: Millis = Millis(60_000);
/// Shortest call to a store in another region.
const NEAR_TRIP: Millis = Millis(15);
/// Time for which hosts in other regions leave the lead to those near the store.
const FAR_JOIN_DELAY: Millis = Millis(1_500);
/// Time for which small hosts leave the lead to much larger ones of their region.
const SMALL_JOIN_DELAY: Millis = Millis(1_000);

/// Starts the tasks.
pub(super) fn start(control: &Rc<Control>) {
    control.ex.spawn(Rc::clone(control).join()).detach();
    control.ex.spawn(Rc::clone(control).hand_over()).detach();
}

impl Control {
    /// Takes part in the choice of a leader, unless a leader tells this host what is new. Then the group has the leader
    /// as its only member, and hosts that come and go don't move the leadership.
    async fn join(self: Rc<Self>) {
        let mut is_member = false;
        let mut alone_since = clock::now();
        loop {
            let now = clock::now();
            if now < self.out_until.get() {
                is_member = false;
            } else if self.is_told(Topic::Fleet) {
                alone_since = now;
                if is_member {
                    is_member = false;
                    self.leave_group().await;
                }
            } else if self.is_leader.get() || now.since(alone_since) >= self.join_delay() {
                is_member = true;
                counter!("skylarkdock_store_calls_total", "call" => "join").increment(1);
                match (self.store.join)().await {
                    Ok(true) => {
                        self.joined_at.set(now);
                        self.set_leader(true);
                    }
                    Ok(false) => {}
                    Err(e) => log::debug!("fleet: no sign of life was taken: {e}"),
                }
            }
            if clock::now().since(self.joined_at.get()) > LEADER_LIFETIME {
                self.set_leader(false);
            }
            Timer::after(JOIN_INTERVAL.duration()).await;
        }
    }

    async fn leave_group(&self) {
        if let Err(e) = (self.store.leave)().await {
            log::debug!("fleet: left the group without an answer: {e}");
        }
    }

    /// Hands the lead over when this host is told to stop or should not lead. It finishes the moves under way and leaves
    /// the group, so that the next leader doesn't wait for its membership to lapse.
    async fn hand_over(self: Rc<Self>) {
        loop {
            let interval = if self.is_leader.get() { STEP_INTERVAL } else { IDLE_INTERVAL };
            Timer::after(interval.duration()).await;
            let now = clock::now();
            let is_stopping = self.status.is_leaving();
            if !is_stopping && !self.is_outranked(now) {
                continue;
            }
            let was_leader = self.is_leader.get();
            if was_leader {
                log::info!(stopping = is_stopping; "fleet: handing the lead over");
                self.finish_moves().await;
            }
            let pause = if is_stopping { Millis(u64::from(u32::MAX)) } else { RESIGNED };
            self.resigned_at.set(clock::now());
            self.out_until.set(clock::now() + pause);
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

    async fn finish_moves(&self) {
        self.is_handing_over.set(true);
        let until = clock::now() + STEP_DOWN_TIME;
        let has_pending_changes =
            || self.owners.borrow().leads.values().any(Leader::has_pending_changes);
        while has_pending_changes() && clock::now() < until {
            Timer::after(STEP_INTERVAL.duration()).await;
        }
        self.is_handing_over.set(false);
    }

    /// Returns whether this host leads though a much larger one of its region is there.
    fn is_outranked(&self, now: HostTime) -> bool {
        let resigned_at = self.resigned_at.get();
        let has_resigned = resigned_at.0 > 0 && now.since(resigned_at) < RESIGN_INTERVAL;
        self.is_leader.get()
            && !has_resigned
            && now.since(self.leads_since.get()) >= SETTLED
            && self.present(now).iter().any(|host| {
                host.region == self.settings.region
                    && host.size.is_much_larger_than(self.settings.size)
            })
    }

    /// Returns how long to wait for a leader before taking part. One near the store reads it at less cost, and a large
    /// one has more room to tell the others.
    fn join_delay(&self) -> Millis {
        let far = if self.store_trip.get() < NEAR_TRIP { Millis(0) } else { FAR_JOIN_DELAY };
        let beliefs = self.beliefs.borrow();
        let is_small = beliefs.hosts.values().any(|record| {
            record.region == self.settings.region
                && record.size.is_much_larger_than(self.settings.size)
        });
        if is_small { far + SMALL_JOIN_DELAY } else { far }
    }

    fn set_leader(&self, is_leader: bool) {
        let now = clock::now();
        let is_leader = is_leader && now >= self.out_until.get();
        if self.is_leader.replace(is_leader) != is_leader {
            log::info!(leads = is_leader; "fleet: leadership changed");
            if is_leader {
                self.leads_since.set(now);
            } else {
                self.owners.borrow_mut().leads.clear();
            }
        }
    }
}
