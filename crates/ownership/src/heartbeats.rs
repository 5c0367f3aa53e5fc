//! Sends heartbeats as a holder or claimant and answers them as a witness.

use crate::message::{Heartbeat, HeartbeatAck, MAX_BATCH, Message, RangeEpoch};
use crate::node::{Holding, Node};
use skylarkdock_units::ids::{Member, RangeId};
use std::collections::BTreeSet;

impl Node {
    pub(crate) fn handle_heartbeat(&mut self, from: &Member, heartbeat: &Heartbeat) {
        if heartbeat.to != self.me {
            return;
        }
        let ack = self.witness.sessions.record_heartbeat(self.now, &self.timing, from, heartbeat);
        let ack = HeartbeatAck { applied: self.applied, newest: self.newest, ..ack };
        self.outbox.send(&from.host, Message::HeartbeatAck(ack));
        self.catch_up(&from.host, heartbeat.newest);
    }

    pub(crate) fn handle_heartbeat_ack(&mut self, from: &Member, ack: &HeartbeatAck) {
        let applied = self.peers.apply_ack(self.now, &self.timing, from, ack);
        let Some(applied) = applied else { return };
        for RangeEpoch { range, epoch } in &applied.revoked {
            self.revoke(range, from, *epoch, applied.previous_end);
        }
        self.catch_up(&from.host, ack.newest);
        if applied.more {
            self.send_heartbeat(from);
        }
    }

    /// Sends the heartbeats that are due to the other members of all leases held or claimed here.
    pub(crate) fn send_heartbeats(&mut self) {
        let held = self.holdings.values().map(|holding| &holding.epoch_state);
        let members = held.chain(self.claims.values()).flat_map(|epoch_state| &epoch_state.members);
        let due: BTreeSet<_> = members
            .filter(|member| member.host != self.me.host)
            .filter(|member| self.peers.is_due(self.now, &self.timing, member))
            .cloned()
            .collect();
        for member in due {
            self.send_heartbeat(&member);
        }
    }

    pub(crate) fn send_heartbeat(&mut self, to: &Member) {
        let mut heartbeat = self.peers.heartbeat(self.now, to);
        heartbeat.newest = self.newest;
        heartbeat.draining = self.draining_for(to);
        self.outbox.send(&to.host, Message::Heartbeat(heartbeat));
    }

    fn draining_for(&self, member: &Member) -> Vec<RangeEpoch> {
        let is_reported = |(range, holding): &(&RangeId, &Holding)| {
            holding.draining.is_some()
                && holding.epoch_state.members.contains(member)
                && self.lease_changed(range, holding.epoch_state.epoch)
        };
        let entry = |(range, holding): (&RangeId, &Holding)| RangeEpoch {
            range: range.clone(),
            epoch: holding.epoch_state.epoch,
        };
        self.holdings.iter().filter(is_reported).map(entry).take(MAX_BATCH).collect()
    }
}
