//! Releases of keys, and what hosts learn of them.

use super::Simulation;
use super::network::Message;
use skylarkdock_spans::end::{GrantEnd, NotEnded};
use skylarkdock_spans::renewal::Release;
use skylarkdock_spans::table::Holder;

impl Simulation {
    /// Carries out a release at the holder's address, if a host reaches it.
    pub(super) fn on_release(
        &mut self,
        from: usize,
        release: Release,
        arrives_at: u64,
        answered: bool,
    ) {
        let reached = self.reachable_upstream(from, &release.holder);
        let reached = reached.filter(|i| self.upstreams[*i].started_at <= arrives_at);
        let refusal = reached.and_then(|index| self.refuse_release(index, &release.holder));
        let is_reached = self.hosts[from].reachable_upstreams[self.index_of(&release.holder)];
        let other = self.other_process(&release.holder).filter(|_| is_reached);
        let end = match reached {
            _ if let Some(other) = other => {
                self.fault_counts.replaced_holders += 1;
                let name = self.name_in_refusal(other);
                self.judge_refusal(&release.holder, name.as_ref())
            }
            Some(_) if let Some(refusal) = refusal => refusal,
            Some(index) => {
                self.upstreams[index].release(&release);
                if answered {
                    Ok(GrantEnd::released(Some("h".to_owned())))
                } else {
                    Err(NotEnded::Unknown)
                }
            }
            _ => {
                self.fault_counts.lost_releases += 1;
                Err(NotEnded::Unknown)
            }
        };
        let at = self.now + 100;
        self.messages.push((at, Message::ReleaseResult { to: from, release, end }));
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
