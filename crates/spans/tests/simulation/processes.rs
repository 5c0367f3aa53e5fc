//! Processes that listen at addresses which upstreams have left: other upstreams and those of another service.

use super::network::GrantOutcome;
use super::{Simulation, UPSTREAMS, Upstream};
use skylarkdock_spans::renewal::CallEnd;
use skylarkdock_spans::table::Holder;
use skylarkdock_units::ids::UpstreamId;
use std::net::SocketAddr;

/// A process at an address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Process {
    Upstream(usize),
    /// An upstream of another service.
    Stranger,
}

/// A process of another service at an address that an upstream has left.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stranger {
    port: u16,
    from: u64,
    until: u64,
}

/// Ports that upstreams have left.
#[derive(Debug, Default)]
pub(super) struct LeftPorts {
    free: Vec<u16>,
    strangers: Vec<Stranger>,
    /// Number of ports that were used for the first time.
    new_count: u16,
}

/// First of the ports that no upstream had at its first start.
const FIRST_NEW_PORT: u16 = 20_000;

impl Simulation {
    /// Lets the next incarnation of an upstream listen at the same address, at a new one, or at one that another upstream
    /// has left. Some addresses that are left go to another service soon after.
    pub(super) fn reuse_addresses(&mut self, index: usize) {
        let now = self.now;
        let left = self.upstreams[index].port();
        match self.trouble_rng.u32(..3) {
            0 => return,
            1 if !self.left_ports.free.is_empty() => {
                let taken = self.trouble_rng.usize(..self.left_ports.free.len());
                self.upstreams[index].set_port(self.left_ports.free.swap_remove(taken));
                self.fault_counts.reused_addresses += 1;
            }
            _ => {
                self.upstreams[index].set_port(FIRST_NEW_PORT + self.left_ports.new_count);
                self.left_ports.new_count += 1;
            }
        }
        let successor = self.trouble_rng.usize(..2 * UPSTREAMS);
        if successor < UPSTREAMS && successor != index {
            // It starts while the registry still shows the upstream that has left.
            let former = self.upstreams[successor].port();
            let down_ms = self.trouble_rng.u64(100..1_500);
            self.upstreams[successor].crash(now, down_ms, 1);
            self.upstreams[successor].set_port(left);
            self.left_ports.free.push(former);
            self.fault_counts.reused_addresses += 1;
        } else if self.trouble_rng.bool() {
            let from = now + self.trouble_rng.u64(50..3_000);
            let until = from + self.trouble_rng.u64(1_000..15_000);
            self.left_ports.strangers.push(Stranger { port: left, from, until });
        } else {
            self.left_ports.free.push(left);
        }
    }

    /// Returns the process that listens at an address.
    pub(super) fn process_at(&self, addr: SocketAddr) -> Option<Process> {
        let is_there =
            |upstream: &Upstream| upstream.is_up(self.now) && upstream.holder().addr == addr;
        if let Some(index) = (0..UPSTREAMS).find(|index| is_there(&self.upstreams[*index])) {
            return Some(Process::Upstream(index));
        }
        let mut strangers = self.left_ports.strangers.iter();
        let is_there = |stranger: &Stranger| {
            stranger.port == addr.port() && stranger.from <= self.now && self.now < stranger.until
        };
        strangers.any(is_there).then_some(Process::Stranger)
    }

    /// Returns another process than the holder's upstream at its address.
    pub(super) fn other_process(&self, holder: &Holder) -> Option<Process> {
        let own = Process::Upstream(self.index_of(holder));
        self.process_at(holder.addr).filter(|process| *process != own)
    }

    /// Returns what another process at a holder's address answers to a grant.
    pub(super) fn refuse_as_other(&mut self) -> GrantOutcome {
        self.fault_counts.replaced_holders += 1;
        let ends = [CallEnd::Gone, CallEnd::Refused, CallEnd::Unknown];
        GrantOutcome::Answered(ends[self.trouble_rng.usize(..ends.len())])
    }

    /// Returns the name by which a process refuses a call that is meant for another one, if it gives one.
    pub(super) fn name_in_refusal(&mut self, process: Process) -> Option<UpstreamId> {
        if self.trouble_rng.bool() {
            return None;
        }
        Some(match process {
            Process::Upstream(index) => self.upstreams[index].holder().id,
            Process::Stranger => "stranger".parse().unwrap_or_else(|e| panic!("{e}")),
        })
    }
}
