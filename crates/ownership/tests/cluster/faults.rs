//! Injects faults into the cluster and removes them.

use super::{Cluster, Event, member};
use skylarkdock_fold::Fold;
use skylarkdock_ownership::{Input, Node};

impl Cluster {
    /// Kills a host's daemon.
    pub fn kill(&mut self, node: usize) {
        let host = &mut self.hosts[node];
        host.alive = false;
        host.paused = false;
        host.published.clear();
        let deferred_events: Vec<_> = host.deferred_events.drain(..).collect();
        for event in deferred_events {
            self.handle(event);
        }
    }

    /// Restarts a host's daemon as a new incarnation without state, unless it is running and stays.
    pub fn restart(&mut self, node: usize) {
        let host = &mut self.hosts[node];
        if host.alive && !host.leaving {
            return;
        }
        let incarnation = host.me.incarnation.0 + 1;
        host.me = member(node, incarnation);
        host.node = Node::new(host.me.clone(), self.config.timing, host.clock.read(self.now));
        host.fold = Fold::default();
        host.alive = true;
        host.leaving = false;
        host.published.clear();
        let step_count = host.step_count;
        self.schedule(self.now, Event::Tick { node, step_count });
    }

    /// Suspends a host's daemon. Its events are deferred until it resumes.
    pub fn pause(&mut self, node: usize) {
        self.hosts[node].paused = self.hosts[node].alive;
    }

    /// Resumes a paused daemon. Its traffic threads serve the published holds before the deferred
    /// events are processed.
    pub fn resume(&mut self, node: usize) {
        let host = &mut self.hosts[node];
        if !host.paused {
            return;
        }
        host.paused = false;
        let now = host.clock.read(self.now);
        let lapsed = host.published.iter().any(|hold| hold.until <= now);
        self.oracle.situations.pause_past_hold_end += u64::from(lapsed);
        let deferred_events: Vec<_> = host.deferred_events.drain(..).collect();
        for event in deferred_events {
            self.last_event += 1;
            self.events.insert((self.now, self.last_event), event);
        }
    }

    /// Makes a running daemon leave.
    pub fn leave(&mut self, node: usize) {
        let host = &mut self.hosts[node];
        if host.alive && !host.paused && !host.leaving {
            host.leaving = true;
            self.step(node, Input::Leave);
        }
    }

    /// Removes all faults and restarts the daemons that are down or leaving.
    pub fn heal(&mut self) {
        self.cuts.clear();
        (self.config.loss, self.config.delayed, self.config.duplicates) = (0, 0, 0);
        for node in 0..self.hosts.len() {
            self.hosts[node].log_cut = false;
            self.resume(node);
            if !self.hosts[node].alive || self.hosts[node].leaving {
                self.kill(node);
                self.restart(node);
            }
        }
    }

    /// Cuts the hosts for which `cut` is true off from the log, and reconnects the others.
    pub fn cut_log(&mut self, cut: impl Fn(usize) -> bool) {
        for (index, host) in self.hosts.iter_mut().enumerate() {
            host.log_cut = cut(index);
        }
    }
}
