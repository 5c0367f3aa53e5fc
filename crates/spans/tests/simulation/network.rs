//! Calls between hosts and upstreams, which may be delayed, lost or carried out without an answer.

use super::Simulation;
use skylarkdock_spans::renewal::{Ack, CallEnd, Grant, Release};
use skylarkdock_spans::table::Holder;
use skylarkdock_units::times::HostTime;

/// A call, or its result on the way back to the caller.
pub(super) enum Message {
    Grant {
        from: usize,
        by_leader: bool,
        grant: Grant,
        arrives_at: u64,
        carried_out_at: u64,
        answered: bool,
    },
    Release {
        from: usize,
        release: Release,
        arrives_at: u64,
        answered: bool,
    },
    GrantResult {
        to: usize,
        by_leader: bool,
        grant: Grant,
        end: CallEnd,
    },
    ReleaseResult {
        to: usize,
        release: Release,
        end: Result<Option<String>, CallEnd>,
    },
    Ack {
        to: usize,
        ack: Ack,
    },
}

impl Simulation {
    pub(super) fn send_grant(&mut self, from: usize, by_leader: bool, grant: Grant) {
        if self.safeguards.needs_proof && !self.hosts[from].renewals.has_proof(HostTime(self.now)) {
            let message =
                Message::GrantResult { to: from, by_leader, grant, end: CallEnd::Unknown };
            self.messages.push((self.now + 100, message));
            return;
        }
        let arrives_at = self.now + self.rng.u64(1..40);
        let answered = self.rng.f64() >= self.late_share;
        let delay = if answered { 0 } else { self.rng.u64(2_000..12_000) };
        self.fault_counts.late_grants += u64::from(!answered);
        let carried_out_at = arrives_at + delay;
        let message =
            Message::Grant { from, by_leader, grant, arrives_at, carried_out_at, answered };
        self.messages.push((carried_out_at, message));
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
            Message::Grant { from, by_leader, grant, arrives_at, carried_out_at, answered } => {
                let may_detour = by_leader
                    || self.hosts[from]
                        .renewals
                        .has_recent_answer(&grant.holder, HostTime(self.now));
                let direct = self.reachable_upstream(from, &grant.holder);
                let forwarded = || self.reachable_over_other_host(from, &grant.holder);
                let reached = direct.or_else(|| forwarded().filter(|_| may_detour));
                self.fault_counts.detours += u64::from(direct.is_none() && reached.is_some());
                let mut end = CallEnd::Unknown;
                if let Some(index) = reached {
                    let has_fencing = self.safeguards.has_fencing;
                    // A call in flight at a crash is lost with the connection.
                    if self.upstreams[index].started_at <= arrives_at {
                        end = self.upstreams[index].grant(
                            &grant,
                            arrives_at,
                            carried_out_at,
                            has_fencing,
                        )?;
                    }
                } else {
                    self.fault_counts.lost_grants += 1;
                }
                if !answered {
                    end = CallEnd::Unknown;
                }
                let wait = if end == CallEnd::Unknown { 400 } else { 20 };
                let at = self.now.max(arrives_at + wait);
                self.messages.push((at, Message::GrantResult { to: from, by_leader, grant, end }));
            }
            Message::Release { from, release, arrives_at, answered } => {
                let end = match self.reachable_upstream(from, &release.holder) {
                    Some(index) if self.upstreams[index].started_at <= arrives_at => {
                        self.upstreams[index].release(&release);
                        if answered { Ok(Some("h".to_owned())) } else { Err(CallEnd::Unknown) }
                    }
                    _ => {
                        self.fault_counts.lost_releases += 1;
                        Err(CallEnd::Unknown)
                    }
                };
                let at = self.now + 100;
                self.messages.push((at, Message::ReleaseResult { to: from, release, end }));
            }
            Message::GrantResult { to, by_leader, grant, end } => {
                let host = &mut self.hosts[to];
                if by_leader {
                    if end == CallEnd::Done {
                        host.renewals.on_granted(&grant);
                    }
                    if let Some(leader) = &mut host.leader {
                        leader.on_granted(&grant, end, HostTime(self.now));
                    }
                } else {
                    host.renewals.on_renewal_end(&grant, end, HostTime(self.now));
                }
            }
            Message::ReleaseResult { to, release, end } => {
                if let Some(leader) = &mut self.hosts[to].leader {
                    leader.on_released(&release, end, HostTime(self.now));
                }
            }
            Message::Ack { to, ack } => {
                if let Some(leader) = &mut self.hosts[to].leader {
                    leader.on_ack(ack, HostTime(self.now));
                }
            }
        }
        Ok(())
    }

    /// Returns the index of the holder if a running host other than `from` reaches it.
    fn reachable_over_other_host(&self, from: usize, holder: &Holder) -> Option<usize> {
        let running = (0..self.hosts.len()).filter(|other| {
            let host = &self.hosts[*other];
            *other != from && self.now >= host.frozen_until && self.now >= host.down_until
        });
        running.into_iter().find_map(|other| self.reachable_upstream(other, holder))
    }

    /// Returns the upstream that a host's call to a holder reaches.
    fn reachable_upstream(&self, from: usize, holder: &Holder) -> Option<usize> {
        let index = self.upstreams.iter().position(|u| u.holder().id == holder.id)?;
        let upstream = &self.upstreams[index];
        // Hosts renew to an earlier incarnation only until the registry or a broken connection shows the later one.
        let is_same_incarnation = upstream.born() == holder.born;
        (self.hosts[from].reachable_upstreams[index]
            && upstream.is_up(self.now)
            && is_same_incarnation)
            .then_some(index)
    }
}
