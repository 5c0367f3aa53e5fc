//! Exchange of permits for limited upstreams between the simulated hosts.

use super::{Event, HOST_LATENCY_MS, START_MS, Simulation, share};
use crate::limits::Envelope;
use crate::shape::Burst;

impl Simulation<'_> {
    /// Returns whether a host exchanges no messages with others.
    pub(super) fn is_isolated(&self, host: usize) -> bool {
        let elapsed_ms = self.now_ms - START_MS;
        let is_in = |period: &Burst| {
            period.contains(elapsed_ms)
                && host >= self.hosts.len() - share(period.x, self.hosts.len())
        };
        self.shape.isolated.iter().any(is_in)
    }

    /// Sends a host's requests for permits.
    pub(super) fn request_permits(&mut self, host: usize) {
        if self.is_suspended(host) {
            return;
        }
        let now = self.now();
        for envelope in self.limits.requests(host, &mut self.hosts[host], now) {
            self.send_message(envelope);
        }
    }

    pub(super) fn send_message(&mut self, envelope: Envelope) {
        if self.is_isolated(envelope.from) || self.is_isolated(envelope.to) {
            return;
        }
        self.messages.push(envelope);
        let index = self.messages.len() - 1;
        self.schedule(HOST_LATENCY_MS, Event::PermitMessage { index });
    }

    pub(super) fn on_permit_message(&mut self, index: usize) {
        let envelope = self.messages[index];
        if self.is_suspended(envelope.to) {
            return;
        }
        let now = self.now();
        if let Some(reply) = self.limits.on_message(envelope, &mut self.hosts[envelope.to], now) {
            self.send_message(reply);
        } else {
            self.process_queue(envelope.to);
        }
    }

    /// Announces limits to all hosts.
    pub(super) fn announce_limits(&mut self) {
        for host in 0..self.hosts.len() {
            if self.is_suspended(host) || self.is_isolated(host) {
                continue;
            }
            for (upstream, limit) in self.limits.announcements(host) {
                for to in 0..self.hosts.len() {
                    if !self.is_suspended(to) && !self.is_isolated(to) {
                        self.limits.on_announcement(&mut self.hosts[to], host, upstream, limit);
                    }
                }
            }
        }
    }
}
