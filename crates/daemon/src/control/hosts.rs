//! Who is live: the gossip with other hosts and the platform's list.

use crate::clock;
use crate::control::Control;
use crate::links::{LinkEvent, Received};
use crate::settings::Settings;
use skylarkdock_logclient::hosts::ListedHost;
use skylarkdock_membership::{
    Config, HostEntry, HostListEntry, HostState, HostView, Input, Membership, Output,
};
use skylarkdock_peer::PeerError;
use skylarkdock_peer::message::{Packet, Payload};
use skylarkdock_placement::LiveHost;
use skylarkdock_timeline::kind::EventKind;
use skylarkdock_timeline::reasons::PeerReason;
use skylarkdock_units::ids::{HostId, Member};
use skylarkdock_units::times::{HostTime, Millis};

const GOSSIP_MS: Millis = Millis(100);

/// Builds the membership of a host that knows nobody else yet.
pub(super) fn membership(settings: &Settings, me: &Member) -> Membership {
    let entry = HostEntry {
        member: me.clone(),
        version: 0,
        state: HostState::Live,
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        peer: settings.peer_listen,
        http: settings.http_listen,
    };
    Membership::new(entry, Config::default())
}

impl Control {
    pub(super) fn tick_membership(&mut self, now: HostTime) {
        if now.since(self.last_gossip) >= GOSSIP_MS {
            self.last_gossip = now;
            self.step_membership(Input::Tick);
        }
    }

    pub(super) fn step_membership(&mut self, input: Input) {
        let random = fastrand::u64(..);
        for output in self.membership.step(clock::host_time(), random, input) {
            match output {
                Output::Send { to, addr, msg } => {
                    self.send(&to, Some(addr), Payload::Gossip(*msg));
                }
                Output::HostChanged(view) => self.host_changed(&view),
                Output::HostForgotten(member) => {
                    self.steady_since.remove(&member);
                    self.publish_table();
                }
                Output::PartialPartition(from) => self.note(EventKind::CutSeen { from }),
                Output::Superseded(incarnation) => {
                    ::log::error!("hosts: run {incarnation} of this host exists; leaving.");
                    self.leave();
                }
            }
        }
    }

    fn host_changed(&mut self, view: &HostView) {
        let member = view.member.clone();
        ::log::info!("hosts: {member} is {}.", view.state);
        match view.state {
            HostState::Live => {
                self.steady_since.entry(member.clone()).or_insert_with(clock::host_time);
                // One request that waits is enough.
                let _ = self.parts.new_host.try_send(());
                self.note(EventKind::HostLive { member });
            }
            HostState::Suspect => {
                self.steady_since.remove(&member);
                self.note(EventKind::HostSuspected { member });
            }
            HostState::Leaving => {
                self.steady_since.remove(&member);
                self.note(EventKind::HostLeaving { member });
            }
            HostState::Gone => {
                self.steady_since.remove(&member);
                self.heard.remove(&member);
                self.note(EventKind::HostGone { member });
            }
        }
        self.plan_soon();
        self.publish_table();
    }

    pub(super) fn listed(&mut self, hosts: Vec<ListedHost>) {
        let listed = hosts.into_iter().map(|host| HostListEntry {
            host: host.id,
            peer: host.peer,
            http: host.http,
        });
        self.step_membership(Input::HostList(listed.collect()));
    }

    /// Returns the hosts that are live and stay, this one included, ordered by host.
    pub(super) fn sites(&self) -> Vec<LiveHost> {
        let settings = &self.parts.settings;
        let mine = LiveHost {
            member: self.parts.me.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let views = self.membership.view().into_iter();
        let others = views
            .filter(|view| matches!(view.state, HostState::Live | HostState::Suspect))
            .filter(|view| view.member.host != self.parts.me.host)
            .map(|view| LiveHost { member: view.member, zone: view.zone, region: view.region });
        let mut sites: Vec<_> = others.chain((!self.leaving).then_some(mine)).collect();
        sites.sort_by(|a, b| a.member.cmp(&b.member));
        sites
    }

    /// Sends a message to a host.
    pub(super) fn send(
        &mut self,
        to: &HostId,
        addr: Option<std::net::SocketAddr>,
        payload: Payload,
    ) {
        let Some(addr) = addr.or_else(|| self.membership.get(to).map(|view| view.peer)) else {
            return;
        };
        let stamp = self.journal.stamp(clock::wall_time());
        match (Packet { stamp, payload }).encode() {
            Ok(bytes) => {
                metrics::counter!("skylarkdock_peer_bytes_sent_total")
                    .increment(bytes.len() as u64);
                self.parts.links.send(to, addr, bytes);
            }
            Err(error) => ::log::error!("control: a message can't be encoded: {error}."),
        }
    }

    pub(super) fn link(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Received(Received { from, payload }) => match Packet::decode(&payload) {
                Ok(packet) => self.packet(&from, packet),
                Err(error) => self.refused(&error),
            },
            LinkEvent::Refused(error) => self.refused(&error),
        }
    }

    fn refused(&mut self, error: &PeerError) {
        let reason = match error {
            PeerError::Unauthenticated => PeerReason::Signature,
            PeerError::TooLong { .. } => PeerReason::TooLarge,
            PeerError::Malformed { .. } => PeerReason::Malformed,
            PeerError::UnsupportedVersion { .. } => PeerReason::Version,
            PeerError::WrongHost { .. } => PeerReason::WrongHost,
        };
        metrics::counter!("skylarkdock_peer_messages_refused_total").increment(1);
        self.note(EventKind::PeerRefused { reason });
    }

    fn packet(&mut self, from: &Member, packet: Packet) {
        if self.journal.observe(packet.stamp, clock::wall_time()).is_err() {
            self.note(EventKind::PeerRefused { reason: PeerReason::ClockLead });
        }
        self.heard.insert(from.clone(), clock::host_time());
        match packet.payload {
            Payload::Ping => self.send(&from.host, None, Payload::Pong),
            Payload::Pong => self.plan_soon(),
            Payload::Lease(message) => {
                let from = from.clone();
                self.step_node(skylarkdock_ownership::Input::Received { from, message });
            }
            Payload::Gossip(msg) => {
                let from = from.host.clone();
                self.step_membership(Input::Received { from, msg: Box::new(msg) });
            }
            Payload::Fetch(fetch) => self.answer_fetch(&from.host, fetch.applied),
            Payload::Records(records) => self.take_records(&from.host, records),
            Payload::StatePart(part) => self.take_state_part(&from.host, part),
            Payload::Memory(part) => self.take_memory(part),
        }
    }
}
