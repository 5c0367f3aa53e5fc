//! Exchange of state between hosts, for hosts that can't read the log.

use crate::clock;
use crate::control::Control;
use skylarkdock_admin::status::ServingState;
use skylarkdock_fold::checkpoint;
use skylarkdock_peer::message::{Fetch, Payload, Records, StatePart};
use skylarkdock_records::envelope::CheckpointPart;
use skylarkdock_timeline::kind::EventKind;
use skylarkdock_units::ids::{HostId, Offset};
use skylarkdock_units::times::{HostTime, Millis};

const FETCH_INTERVAL_MS: Millis = Millis(500);
const MIN_OUTAGE_BEFORE_FETCH_MS: Millis = Millis(700);
const HOSTS_PER_FETCH: usize = 3;
const MAX_RECORDS_PER_MESSAGE: usize = 500;

impl Control {
    /// Requests newer state from random live hosts while the log is unreachable.
    pub(super) fn fetch_state_if_log_unreachable(&mut self, now: HostTime) {
        let unreachable = self
            .log_failed_since
            .is_some_and(|since| now.since(since) >= MIN_OUTAGE_BEFORE_FETCH_MS);
        if !unreachable || now.since(self.last_fetch) < FETCH_INTERVAL_MS {
            return;
        }
        self.last_fetch = now;
        let others: Vec<_> = self.live_hosts().into_iter().map(|host| host.member.host).collect();
        let mut others: Vec<_> =
            others.into_iter().filter(|host| *host != self.deps.me.host).collect();
        fastrand::shuffle(&mut others);
        for host in others.iter().take(HOSTS_PER_FETCH) {
            self.fetch(host);
        }
    }

    /// Requests newer state from a host.
    pub(super) fn fetch(&mut self, host: &HostId) {
        let applied = self.fold.state().applied;
        self.send(host, None, Payload::Fetch(Fetch { applied }));
    }

    pub(super) fn handle_fetch(&mut self, to: &HostId, applied: Offset) {
        if self.fold.state().applied <= applied {
            return;
        }
        let first = Offset(applied.0 + 1);
        let has_records = self.recent_records.front().is_some_and(|(oldest, _)| *oldest <= first);
        if has_records {
            let missing = self.recent_records.iter().filter(|(offset, _)| *offset >= first);
            let texts =
                missing.take(MAX_RECORDS_PER_MESSAGE).map(|(_, text)| text.clone()).collect();
            self.send(to, None, Payload::Records(Records { first, texts }));
            return;
        }
        let Ok(parts) = checkpoint::split(self.fold.state()) else { return };
        for CheckpointPart { base, digest, index, count, data } in parts {
            let part = StatePart { base, digest, index, count, data };
            self.send(to, None, Payload::StatePart(part));
        }
    }

    pub(super) fn handle_records(&mut self, from: &HostId, records: Records) {
        let before = self.fold.state().applied;
        let records_with_offsets = (records.first.0..).map(Offset).zip(records.texts);
        self.apply_records(records_with_offsets.collect());
        if self.fold.state().applied > before {
            self.handle_adopted_state(from);
        }
    }

    pub(super) fn handle_state_part(&mut self, from: &HostId, part: StatePart) {
        let StatePart { base, digest, index, count, data } = part;
        if base <= self.fold.state().applied {
            return;
        }
        let checkpoint_part = CheckpointPart { base, digest, index, count, data };
        match self.assembler.add(checkpoint_part) {
            Ok(Some(state)) => {
                if self.adopt(state) {
                    self.handle_adopted_state(from);
                }
            }
            Ok(None) => {}
            Err(error) => ::log::warn!("control: unusable state from {from}: {error}."),
        }
    }

    fn handle_adopted_state(&mut self, from: &HostId) {
        let offset = self.fold.state().applied;
        ::log::info!("control: adopted the state up to offset {offset} from {from}.");
        self.record_event(EventKind::PeerStateAdopted { offset, from: from.clone() });
        if self.deps.serving_state.get() == ServingState::Starting {
            self.start_serving();
        }
        self.last_fetch = clock::host_time();
    }
}
