//! Membership, from gossip and the platform's host list, and messages between hosts.

use crate::clock;
use crate::control::Control;
use crate::links::{LinkEvent, Received};
use crate::settings::Settings;
use skylarkdock_logclient::hosts::ListedHost;
use skylarkdock_membership::{
    Config, HostEntry, HostListEntry, HostState, HostView, Input, Membership, Output,
};
use skylarkdock_peer::PeerError;
use skylarkdock_peer::message::{Crashes, Packet, Payload};
use skylarkdock_placement::LiveHost;
use skylarkdock_timeline::kind::EventKind;
use skylarkdock_timeline::reasons::PeerReason;
use skylarkdock_units::ids::{HostId, Member};
use skylarkdock_units::times::{HostTime, Millis};

const GOSSIP_INTERVAL_MS: Millis = Millis(100);

/// Creates the membership of a host that does not know any other host yet.
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
        if now.since(self.last_gossip) >= GOSSIP_INTERVAL_MS {
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
                    self.stable_since.remove(&member);
                    self.publish_table();
                }
                Output::PartialPartition(from) => self.record_event(EventKind::CutSeen { from }),
                Output::Superseded(incarnation) => {
                    ::log::error!("hosts: incarnation {incarnation} of this host exists; leaving.");
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
                self.stable_since.entry(member.clone()).or_insert_with(clock::host_time);
                // If the channel is full, a fetch of the host list is already pending.
                let _ = self.deps.host_list_requests.try_send(());
                self.record_event(EventKind::HostLive { member });
            }
            HostState::Suspect => {
                self.stable_since.remove(&member);
                self.record_event(EventKind::HostSuspected { member });
            }
            HostState::Leaving => {
                self.stable_since.remove(&member);
                self.record_event(EventKind::HostLeaving { member });
            }
            HostState::Gone => {
                self.stable_since.remove(&member);
                self.last_heard.remove(&member);
                self.record_event(EventKind::HostGone { member });
            }
        }
        self.schedule_plan();
        self.publish_table();
    }

    pub(super) fn handle_host_list(&mut self, hosts: Vec<ListedHost>) {
        let listed = hosts.into_iter().map(|host| HostListEntry {
            host: host.id,
            peer: host.peer,
            http: host.http,
        });
        self.step_membership(Input::HostList(listed.collect()));
    }

    /// Returns the live and suspect hosts that are not leaving, including this one, ordered by host.
    pub(super) fn live_hosts(&self) -> Vec<LiveHost> {
        let settings = &self.deps.settings;
        let this_host = LiveHost {
            member: self.deps.me.clone(),
            zone: settings.zone.clone(),
            region: settings.region.clone(),
        };
        let views = self.membership.view().into_iter();
        let others = views
            .filter(|view| matches!(view.state, HostState::Live | HostState::Suspect))
            .filter(|view| view.member.host != self.deps.me.host)
            .map(|view| LiveHost { member: view.member, zone: view.zone, region: view.region });
        let mut live_hosts: Vec<_> = others.chain((!self.leaving).then_some(this_host)).collect();
        live_hosts.sort_by(|a, b| a.member.cmp(&b.member));
        live_hosts
    }

    /// Sends a message to a host, at `addr` or else at the address that the membership has for it.
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
                self.deps.links.send(to, addr, bytes);
            }
            Err(error) => ::log::error!("control: can't encode a message: {error}."),
        }
    }

    pub(super) fn handle_link_event(&mut self, event: LinkEvent) {
        match event {
            LinkEvent::Received(Received { from, payload }) => match Packet::decode(&payload) {
                Ok(packet) => self.handle_packet(&from, packet),
                Err(error) => self.record_peer_error(&error),
            },
            LinkEvent::Refused(error) => self.record_peer_error(&error),
        }
    }

    fn record_peer_error(&mut self, error: &PeerError) {
        let reason = match error {
            PeerError::Unauthenticated => PeerReason::Signature,
            PeerError::TooLong { .. } => PeerReason::TooLarge,
            PeerError::Malformed { .. } => PeerReason::Malformed,
            PeerError::UnsupportedVersion { .. } => PeerReason::Version,
            PeerError::WrongHost { .. } => PeerReason::WrongHost,
        };
        metrics::counter!("skylarkdock_peer_messages_refused_total").increment(1);
        self.record_event(EventKind::PeerRefused { reason });
    }

    fn handle_packet(&mut self, from: &Member, packet: Packet) {
        if self.journal.observe(packet.stamp, clock::wall_time()).is_err() {
            self.record_event(EventKind::PeerRefused { reason: PeerReason::ClockLead });
        }
        self.last_heard.insert(from.clone(), clock::host_time());
        match packet.payload {
            Payload::Ping => self.send(&from.host, None, Payload::Pong),
            Payload::Pong => self.schedule_plan(),
            Payload::Lease(message) => {
                let from = from.clone();
                self.step_node(skylarkdock_ownership::Input::Received { from, message });
            }
            Payload::Gossip(msg) => {
                let from = from.host.clone();
                self.step_membership(Input::Received { from, msg: Box::new(msg) });
            }
            Payload::Fetch(fetch) => self.handle_fetch(&from.host, fetch.applied),
            Payload::Records(records) => self.handle_records(&from.host, records),
            Payload::StatePart(part) => self.handle_state_part(&from.host, part),
            Payload::Memory(part) => self.handle_memory_part(part),
            Payload::Crashes(Crashes { service, histories }) => {
                if let Some(service) = self.deps.table.load().services.get(&service) {
                    service.shared.quarantine().merge(&histories, clock::wall_time());
                }
            }
        }
    }
}
