//! Calls between hosts and upstreams, which may be delayed, lost or carried out without an answer.

use super::Simulation;
use super::followers::Told;
use super::processes::Process;
use super::releases::ReleaseCall;
use skylarkdock_spans::end::{GrantEnd, NotEnded};
use skylarkdock_spans::renewal::{Ack, CallEnd, Connection, Grant, Purpose};
use skylarkdock_spans::table::{Holder, Table};
use skylarkdock_units::times::HostTime;
use std::collections::VecDeque;

/// Time-out of a grant, in milliseconds.
const CALL_TIMEOUT_MS: u64 = 400;

/// Grants from one host to one holder. They share a connection and wait for each other.
#[derive(Default)]
pub(super) struct GrantCalls {
    /// Grants that are not sent yet, and whether the leader decided on them.
    waiting: VecDeque<(bool, Grant)>,
    is_busy: bool,
    /// Incarnation that accepted the open connection.
    connected_to: Option<u64>,
}

/// What a host learns of a grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GrantOutcome {
    Answered(CallEnd),
    /// The connection broke, or was refused.
    Broken,
    TimedOut,
}

/// A call, or its result on the way back to the caller.
pub(super) enum Message {
    Grant {
        from: usize,
        by_leader: bool,
        grant: Grant,
        arrives_at: u64,
        carried_out_at: u64,
        answered: bool,
        /// Incarnation that accepted the connection.
        accepted_by: u64,
        index: usize,
    },
    Release(ReleaseCall),
    GrantResult {
        to: usize,
        by_leader: bool,
        grant: Grant,
        end: GrantOutcome,
    },
    ReleaseResult {
        call: ReleaseCall,
        end: Result<GrantEnd, NotEnded>,
        /// Upstream that carries it out, and its incarnation.
        accepted: Option<(usize, u64)>,
    },
    Ack {
        to: usize,
        ack: Ack,
    },
    Write {
        from: usize,
        table: Table,
    },
    Ask {
        from: usize,
        to: usize,
        asked_at: u64,
        waited: u64,
    },
    Tell {
        to: usize,
        told: Told,
    },
}

impl Simulation {
    pub(super) fn send_grant(&mut self, from: usize, by_leader: bool, grant: Grant) {
        let calls = self.calls.entry((from, grant.holder.clone())).or_default();
        calls.waiting.push_back((by_leader, grant));
    }

    /// Starts the next grant to each holder that has no other under way.
    pub(super) fn start_calls(&mut self, from: usize) {
        let mut holders: Vec<Holder> =
            self.calls.keys().filter(|(host, _)| *host == from).map(|(_, h)| h.clone()).collect();
        // The order of a map differs between processors, and each call takes random numbers.
        holders.sort_by(|a, b| (&a.id, a.born).cmp(&(&b.id, b.born)));
        for holder in holders {
            while let Some((by_leader, grant)) = self.next_call(from, &holder) {
                if self.may_send(from, by_leader, &grant) {
                    self.start_call(from, by_leader, grant);
                } else {
                    self.fault_counts.withheld_grants += 1;
                    self.on_withheld(from, by_leader, &grant);
                }
            }
        }
    }

    fn next_call(&mut self, from: usize, holder: &Holder) -> Option<(bool, Grant)> {
        let calls = self.calls.get_mut(&(from, holder.clone()))?;
        if calls.is_busy { None } else { calls.waiting.pop_front() }
    }

    fn may_send(&mut self, from: usize, by_leader: bool, grant: &Grant) -> bool {
        let now = HostTime(self.now);
        let purpose = if by_leader { Purpose::Move } else { Purpose::Renewal };
        // A connection that broke counts as open until a call shows that.
        let calls = self.calls.get(&(from, grant.holder.clone()));
        let is_connected = calls.is_some_and(|calls| calls.connected_to.is_some());
        let index = self.index_of(&grant.holder);
        let is_direct = self.hosts[from].reachable_upstreams[index];
        let is_open = is_connected && is_direct || !self.safeguards.checks_connections;
        let conn = if is_open { Connection::Open } else { Connection::New };
        if conn == Connection::New {
            self.refresh_proof(from, &grant.holder);
        }
        let renewals = &mut self.hosts[from].renewals;
        renewals.confirm_send(grant, purpose, conn, now) || !self.safeguards.confirms_sends
    }

    /// Asks the store whether a host knows the newest record, unless its last proof suffices for a new connection.
    fn refresh_proof(&mut self, from: usize, holder: &Holder) {
        let now = HostTime(self.now);
        let newest = self.log.last().map_or(0, |last| last.version);
        let is_damaged = self.damage.is_newest_damaged(self.log_end);
        let is_answered = self.reaches_store(from) && self.safeguards.refreshes_proof;
        let end = self.safeguards.has_restored_store.then(|| self.copies.position());
        let host = &mut self.hosts[from];
        if is_answered && !host.renewals.may_connect(holder, now) {
            let knows_newest = match end {
                Some(end) => host.read_to == end,
                None => host.renewals.table().map_or(0, |known| known.version) == newest,
            };
            let copy = host.copy();
            host.renewals.on_read(now, copy, knows_newest && !is_damaged);
        }
    }

    fn on_withheld(&mut self, from: usize, by_leader: bool, grant: &Grant) {
        if by_leader && let Some(leader) = &mut self.hosts[from].leader {
            leader.on_withheld(grant, HostTime(self.now));
        }
    }

    /// Sends a grant over the connection to its holder, over a new one if there is none, or over another host. A new
    /// connection is accepted by the incarnation that runs then.
    fn start_call(&mut self, from: usize, by_leader: bool, grant: Grant) {
        let now = self.now;
        let arrives_at = now + self.rng.u64(1..40);
        let answered = self.rng.f64() >= self.late_share;
        let delay = if answered { 0 } else { self.rng.u64(2_000..12_000) };
        let may_detour =
            by_leader || self.hosts[from].renewals.may_connect(&grant.holder, HostTime(now));
        let index = self.index_of(&grant.holder);
        let is_direct = self.hosts[from].reachable_upstreams[index];
        let is_reached = is_direct || (may_detour && self.is_reached_over_other_host(from, index));
        self.fault_counts.detours += u64::from(!is_direct && is_reached);
        let upstream = &self.upstreams[index];
        // Nothing listens at other addresses, or another upstream, which refuses the call.
        let is_up = upstream.is_up(now) && upstream.holder().addr == grant.holder.addr;
        let born = upstream.born();
        let other = self.other_process(&grant.holder);
        let is_connected = self
            .calls
            .get(&(from, grant.holder.clone()))
            .is_some_and(|calls| calls.connected_to.is_some());
        if let Some(other) = other.filter(|_| is_reached && is_direct && !is_connected) {
            return self.grant_to_other(from, by_leader, grant, other);
        }
        let key = (from, grant.holder.clone());
        let calls = self.calls.entry(key).or_default();
        let mut end = None;
        if !is_reached {
            end = Some((CALL_TIMEOUT_MS, GrantOutcome::TimedOut));
            self.fault_counts.lost_grants += 1;
        } else if !is_up || (is_direct && calls.connected_to.is_some_and(|known| known != born)) {
            end = Some((20, GrantOutcome::Broken));
        }
        if end.is_some() {
            calls.connected_to = None;
        } else if is_direct {
            self.fault_counts.later_incarnations += u64::from(born != grant.holder.born);
            calls.connected_to = Some(born);
        }
        if end.is_none() && !answered {
            self.fault_counts.late_grants += 1;
            calls.connected_to = None;
            end = Some((CALL_TIMEOUT_MS, GrantOutcome::TimedOut));
        }
        if is_reached && is_up && !matches!(end, Some((_, GrantOutcome::Broken))) {
            let carried_out_at = arrives_at + delay;
            let grant = grant.clone();
            let message = Message::Grant {
                from,
                by_leader,
                grant,
                arrives_at,
                carried_out_at,
                answered,
                accepted_by: born,
                index,
            };
            self.messages.push((carried_out_at, message));
        }
        if let Some((wait, end)) = end {
            // An answer comes within a step or two, so only calls without one keep others waiting.
            if let Some(calls) = self.calls.get_mut(&(from, grant.holder.clone())) {
                calls.is_busy = true;
            }
            let result = Message::GrantResult { to: from, by_leader, grant, end };
            self.messages.push((now + wait, result));
        }
    }

    /// Sends a grant over a new connection to another process than the one that it is meant for.
    fn grant_to_other(&mut self, from: usize, by_leader: bool, grant: Grant, other: Process) {
        let arrives_at = self.now + 20;
        match other {
            Process::Upstream(index) if !self.safeguards.names_processes => {
                let accepted_by = self.upstreams[index].born();
                let message = Message::Grant {
                    from,
                    by_leader,
                    grant,
                    arrives_at,
                    carried_out_at: arrives_at,
                    answered: true,
                    accepted_by,
                    index,
                };
                self.messages.push((arrives_at, message));
            }
            Process::Upstream(_) | Process::Stranger => {
                let end = self.refuse_as_other();
                let result = Message::GrantResult { to: from, by_leader, grant, end };
                self.messages.push((arrives_at, result));
            }
        }
    }

    fn on_grant_end(&mut self, to: usize, by_leader: bool, grant: &Grant, end: GrantOutcome) {
        let now = HostTime(self.now);
        let host = &mut self.hosts[to];
        if end == GrantOutcome::Broken {
            host.renewals.suspend(&grant.holder, now);
        }
        let end = match end {
            GrantOutcome::Answered(end) => end,
            GrantOutcome::Broken | GrantOutcome::TimedOut => CallEnd::Unknown,
        };
        if by_leader {
            if end == CallEnd::Done {
                host.renewals.on_granted(grant);
            }
            if end == CallEnd::Fenced {
                host.renewals.on_fenced(grant, now);
            }
            if let Some(leader) = &mut host.leader {
                leader.on_granted(grant, end, now);
            }
        } else {
            host.renewals.on_renewal_end(grant, end, now);
        }
    }

    /// Writes a table, which the store records if the host knows the newest one.
    pub(super) fn write(&mut self, from: usize, table: Table) {
        let now = HostTime(self.now);
        let reaches_store = self.reaches_store(from);
        let host = &mut self.hosts[from];
        let newest = self.log.last().map_or(0, |last| last.version);
        let knows_newest = if self.safeguards.has_restored_store {
            host.read_to == self.copies.position()
        } else if self.damage.is_newest_damaged(self.log_end) {
            host.damage.has_read(self.damage.end())
        } else {
            host.renewals.table().map_or(0, |known| known.version) == newest
        };
        let is_confirmed = host.renewals.confirm_write(&table) || !self.safeguards.confirms_writes;
        let is_planned = table.is_planned_for(host.copy())
            || !self.safeguards.has_restored_store
            || !self.safeguards.checks_planned_copies;
        let is_recorded =
            reaches_store && knows_newest && is_confirmed && is_planned && table.check().is_ok();
        if is_recorded {
            self.log_end = self.damage.end_after(self.log_end) + 1;
            host.damage.on_written();
            self.fault_counts.moves += table.spans.iter().filter(|s| !s.is_granted).count() as u64;
            self.log.push(table.clone());
            self.copies.on_recorded(self.now);
            host.read_to = self.copies.position();
            host.renewals.adopt(table.clone());
            host.renewals.prove(now);
        }
        // The store's answer to a write is lost in one of ten cases.
        let is_answered = self.rng.u32(..10) > 0;
        if let Some(leader) = &mut host.leader {
            leader.on_written(table, is_recorded && is_answered, now);
        }
    }

    pub(super) fn deliver(&mut self) -> Result<(), String> {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= now);
        self.messages = rest;
        for (_, message) in due {
            self.handle_message(message)?;
        }
        Ok(())
    }

    fn handle_message(&mut self, message: Message) -> Result<(), String> {
        match message {
            Message::Grant {
                from,
                by_leader,
                grant,
                arrives_at,
                carried_out_at,
                answered,
                accepted_by,
                index,
            } => {
                let refusal = if answered { self.refuse_grant(index) } else { None };
                let upstream = &mut self.upstreams[index];
                // A call in flight at a crash is lost with the connection.
                let is_there = upstream.born() == accepted_by && upstream.started_at <= arrives_at;
                let end = if let Some(refusal) = refusal.filter(|_| is_there) {
                    GrantOutcome::Answered(refusal)
                } else if is_there {
                    let has_fencing = self.safeguards.has_fencing;
                    let end = upstream.grant(&grant, arrives_at, carried_out_at, has_fencing)?;
                    if self.safeguards.has_restored_store && answered && end == CallEnd::Done {
                        self.check_tokens(index, &grant)?;
                    }
                    GrantOutcome::Answered(end)
                } else {
                    GrantOutcome::Broken
                };
                if answered {
                    let at = self.now.max(arrives_at + 20);
                    let result = Message::GrantResult { to: from, by_leader, grant, end };
                    self.messages.push((at, result));
                }
            }
            Message::Release(call) => self.on_release(call),
            Message::GrantResult { to, by_leader, grant, end } => {
                if let Some(calls) = self.calls.get_mut(&(to, grant.holder.clone())) {
                    calls.is_busy = false;
                    if end == GrantOutcome::Broken {
                        calls.connected_to = None;
                    }
                }
                self.on_grant_end(to, by_leader, &grant, end);
            }
            Message::ReleaseResult { call, end, accepted } => {
                self.on_release_result(call, end, accepted);
            }
            Message::Write { from, table } if self.now < self.hosts[from].frozen_until => {
                let at = self.hosts[from].frozen_until;
                self.messages.push((at, Message::Write { from, table }));
            }
            Message::Write { from, table } => {
                if self.now >= self.hosts[from].down_until {
                    self.write(from, table);
                }
            }
            Message::Ask { from, to, asked_at, waited } => self.tell(from, to, asked_at, waited),
            Message::Tell { to, told } => self.on_told(to, told),
            Message::Ack { to, ack } => {
                if let Some(leader) = &mut self.hosts[to].leader {
                    leader.on_ack(ack, HostTime(self.now));
                }
            }
        }
        Ok(())
    }

    pub(super) fn index_of(&self, holder: &Holder) -> usize {
        self.upstreams.iter().position(|u| u.holder().id == holder.id).unwrap_or_default()
    }

    /// Returns whether a running host other than `from` reaches an upstream.
    fn is_reached_over_other_host(&self, from: usize, index: usize) -> bool {
        (0..self.hosts.len()).any(|other| {
            let host = &self.hosts[other];
            let is_running = self.now >= host.frozen_until && self.now >= host.down_until;
            other != from && is_running && host.reachable_upstreams[index]
        })
    }
}
