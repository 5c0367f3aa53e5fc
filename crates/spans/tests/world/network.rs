//! Calls between hosts and upstreams: they arrive late, not at all, or without an answer.

use super::World;
use skylarkdock_spans::renewal::{Ack, CallEnd, Grant, Release};
use skylarkdock_spans::table::Holder;
use skylarkdock_units::times::HostTime;

/// What is on its way.
pub(super) enum Message {
    Grant {
        from: usize,
        by_lead: bool,
        grant: Grant,
        arrives: u64,
        carried_out: u64,
        answered: bool,
    },
    Release {
        from: usize,
        release: Release,
        arrives: u64,
        answered: bool,
    },
    GrantEnd {
        to: usize,
        by_lead: bool,
        grant: Grant,
        end: CallEnd,
    },
    ReleaseEnd {
        to: usize,
        release: Release,
        end: Result<Option<String>, CallEnd>,
    },
    Ack {
        to: usize,
        ack: Ack,
    },
}

impl World {
    pub(super) fn send_grant(&mut self, from: usize, by_lead: bool, grant: Grant) {
        if self.rules.needs_proof && !self.hosts[from].keep.has_proof(HostTime(self.now)) {
            let message = Message::GrantEnd { to: from, by_lead, grant, end: CallEnd::Unknown };
            self.messages.push((self.now + 100, message));
            return;
        }
        let arrives = self.now + self.rng.u64(1..40);
        let answered = self.rng.f64() >= self.late_share;
        let late = if answered { 0 } else { self.rng.u64(2_000..12_000) };
        self.reached.late += u64::from(!answered);
        let carried_out = arrives + late;
        let message = Message::Grant { from, by_lead, grant, arrives, carried_out, answered };
        self.messages.push((carried_out, message));
    }

    pub(super) fn deliver(&mut self) -> Result<(), String> {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.messages).into_iter().partition(|(at, _)| *at <= now);
        self.messages = rest;
        for (_, message) in due {
            self.handle(message)?;
        }
        Ok(())
    }

    fn handle(&mut self, message: Message) -> Result<(), String> {
        match message {
            Message::Grant { from, by_lead, grant, arrives, carried_out, answered } => {
                let reaches = self.reaches(from, &grant.holder);
                let mut end = CallEnd::Unknown;
                if let Some(index) = reaches {
                    let fences = self.rules.fences;
                    // A call in flight at a crash is lost with the connection.
                    if self.upstreams[index].started_at <= arrives {
                        end = self.upstreams[index].grant(&grant, arrives, carried_out, fences)?;
                    }
                } else {
                    self.reached.lost += 1;
                }
                if !answered {
                    end = CallEnd::Unknown;
                }
                let wait = if end == CallEnd::Unknown { 400 } else { 20 };
                let at = self.now.max(arrives + wait);
                self.messages.push((at, Message::GrantEnd { to: from, by_lead, grant, end }));
            }
            Message::Release { from, release, arrives, answered } => {
                let end = match self.reaches(from, &release.holder) {
                    Some(index) if self.upstreams[index].started_at <= arrives => {
                        self.upstreams[index].release(&release);
                        if answered { Ok(Some("h".to_owned())) } else { Err(CallEnd::Unknown) }
                    }
                    _ => {
                        self.reached.waits += 1;
                        Err(CallEnd::Unknown)
                    }
                };
                let at = self.now + 100;
                self.messages.push((at, Message::ReleaseEnd { to: from, release, end }));
            }
            Message::GrantEnd { to, by_lead, grant, end } => {
                let host = &mut self.hosts[to];
                if by_lead {
                    if end == CallEnd::Done {
                        host.keep.on_granted(&grant);
                    }
                    if let Some(lead) = &mut host.lead {
                        lead.on_granted(&grant, end, HostTime(self.now));
                    }
                } else {
                    host.keep.on_renewal_end(&grant, end, HostTime(self.now));
                }
            }
            Message::ReleaseEnd { to, release, end } => {
                if let Some(lead) = &mut self.hosts[to].lead {
                    lead.on_released(&release, end, HostTime(self.now));
                }
            }
            Message::Ack { to, ack } => {
                if let Some(lead) = &mut self.hosts[to].lead {
                    lead.on_ack(ack, HostTime(self.now));
                }
            }
        }
        Ok(())
    }

    /// Returns the upstream that a host's call to a holder reaches.
    fn reaches(&self, from: usize, holder: &Holder) -> Option<usize> {
        let index = self.upstreams.iter().position(|u| u.holder().id == holder.id)?;
        let upstream = &self.upstreams[index];
        // Hosts renew to an earlier life only until the registry or a broken connection shows the later one.
        let is_same_life = upstream.born() == holder.born;
        (self.hosts[from].reaches[index] && upstream.is_up(self.now) && is_same_life)
            .then_some(index)
    }
}
