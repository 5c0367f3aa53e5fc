//! Releases of keys, also over another host, and what hosts learn of them.

use super::network::Message;
use super::{HOSTS, Simulation, UPSTREAMS, sample_keys};
use skylarkdock_spans::end::{GrantEnd, NotEnded};
use skylarkdock_spans::renewal::Release;
use skylarkdock_spans::table::Holder;
use skylarkdock_units::times::HostTime;

/// Time-out of a release, in milliseconds.
const RELEASE_TIMEOUT_MS: u64 = 4_000;
/// Time from the arrival of a release to its answer at least, in milliseconds.
const ANSWER_DELAY_MS: u64 = 100;
/// Longest work on a key, in milliseconds.
const MAX_WORK_MS: u64 = 4_000;

/// A release under way.
#[derive(Debug, Clone)]
pub(super) struct ReleaseCall {
    /// Leader that decided on it.
    pub(super) leader: usize,
    /// Host that sends it, another one if the leader got no answer.
    pub(super) sender: usize,
    pub(super) release: Release,
    pub(super) sent_at: u64,
    pub(super) arrives_at: u64,
    pub(super) answered: bool,
}

/// The upstream that carries out a release, and its incarnation.
type Accepted = Option<(usize, u64)>;

impl Simulation {
    /// Carries out a release at the holder's address, if its sender reaches it.
    pub(super) fn on_release(&mut self, call: ReleaseCall) {
        let (release, sender) = (&call.release, call.sender);
        let reached = self.reachable_upstream(sender, &release.holder);
        let reached = reached.filter(|i| self.upstreams[*i].started_at <= call.arrives_at);
        let refusal = reached.and_then(|index| self.refuse_release(index, &release.holder));
        let is_reached = self.hosts[sender].reachable_upstreams[self.index_of(&release.holder)];
        let other = self.other_process(&release.holder).filter(|_| is_reached);
        let answered = call.answered && !self.loses_answer();
        let mut at = self.now + ANSWER_DELAY_MS;
        let mut accepted = None;
        let end = match reached {
            _ if let Some(other) = other => {
                self.fault_counts.replaced_holders += 1;
                let name = self.name_in_refusal(other);
                self.judge_refusal(&release.holder, name.as_ref())
            }
            Some(_) if let Some(refusal) = refusal => refusal,
            Some(index) => {
                let upstream = &mut self.upstreams[index];
                accepted = Some((index, upstream.born()));
                let worked_before = upstream.is_releasing(release, self.now);
                upstream.release(release);
                let idle_at = upstream.idle_at(release, self.now);
                let is_waiting = idle_at > self.now;
                self.fault_counts.waiting_releases += u64::from(is_waiting);
                self.fault_counts.repeated_releases += u64::from(worked_before);
                if answered {
                    at = at.max(idle_at);
                    Ok(GrantEnd::released(Some("h".to_owned())))
                } else {
                    self.without_answer()
                }
            }
            None => {
                self.fault_counts.lost_releases += 1;
                Err(NotEnded::Unknown)
            }
        };
        let (at, end) = if at > call.sent_at + RELEASE_TIMEOUT_MS {
            (call.sent_at + RELEASE_TIMEOUT_MS, Err(NotEnded::Unknown))
        } else {
            (at, end)
        };
        self.messages.push((at, Message::ReleaseResult { call, end, accepted }));
    }

    /// Handles the result of a release. One without an answer is sent over another host.
    pub(super) fn on_release_result(
        &mut self,
        call: ReleaseCall,
        end: Result<GrantEnd, NotEnded>,
        accepted: Accepted,
    ) {
        // The connection breaks with the process that waits for its work.
        let is_there = |(index, born): (usize, u64)| {
            self.upstreams[index].born() == born && self.upstreams[index].is_up(self.now)
        };
        let end = if accepted.is_none_or(is_there) { end } else { Err(NotEnded::Unknown) };
        let is_peers = call.sender != call.leader;
        if self.safeguards.troubles.peer_releases && !is_peers && end == Err(NotEnded::Unknown) {
            return self.release_over_peer(call);
        }
        if is_peers && self.injects_faults && self.trouble_rng.u32(..3) == 0 {
            self.fault_counts.lost_peer_answers += 1;
            let lost = if self.safeguards.needs_peer_answers {
                Err(NotEnded::Unknown)
            } else {
                Ok(GrantEnd::released(None))
            };
            return self.report_release(call, lost);
        }
        self.report_release(call, end);
    }

    /// Sends a release over another host, as it had no answer.
    fn release_over_peer(&mut self, call: ReleaseCall) {
        let now = self.now;
        let peer = (call.leader + self.trouble_rng.usize(1..HOSTS)) % HOSTS;
        let host = &self.hosts[peer];
        let is_running = now >= host.frozen_until && now >= host.down_until;
        if !is_running {
            return self.report_release(call, Err(NotEnded::Unknown));
        }
        self.fault_counts.peer_releases += 1;
        let arrives_at = now + self.trouble_rng.u64(1..400);
        let answered = self.trouble_rng.u32(..4) > 0;
        let call = ReleaseCall { sender: peer, sent_at: now, arrives_at, answered, ..call };
        self.messages.push((arrives_at, Message::Release(call)));
    }

    fn report_release(&mut self, call: ReleaseCall, end: Result<GrantEnd, NotEnded>) {
        let at = HostTime(self.now);
        if let Some(leader) = &mut self.hosts[call.leader].leader {
            leader.on_released(&call.release, end, at);
        }
    }

    /// Returns whether the answer to a release is lost while work runs.
    fn loses_answer(&mut self) -> bool {
        let has_work = self.safeguards.troubles.running_work && self.injects_faults;
        has_work && self.trouble_rng.u32(..4) == 0
    }

    fn without_answer(&self) -> Result<GrantEnd, NotEnded> {
        if self.safeguards.needs_release_answers {
            Err(NotEnded::Unknown)
        } else {
            Ok(GrantEnd::released(None))
        }
    }

    /// Lets upstreams begin to work on keys that they hold.
    pub(super) fn start_work(&mut self) {
        let keys = sample_keys();
        for index in 0..UPSTREAMS {
            let key = keys[self.trouble_rng.usize(..keys.len())];
            let until = self.now + self.trouble_rng.u64(50..MAX_WORK_MS);
            self.upstreams[index].work(key, self.now, until);
        }
    }

    /// Returns the index of the upstream at a holder's address if a host reaches it, of whatever incarnation.
    fn reachable_upstream(&self, from: usize, holder: &Holder) -> Option<usize> {
        let index = self.index_of(holder);
        let is_reached = self.hosts[from].reachable_upstreams[index];
        let upstream = &self.upstreams[index];
        let is_there = upstream.is_up(self.now) && upstream.holder().addr == holder.addr;
        (is_reached && is_there).then_some(index)
    }
}
