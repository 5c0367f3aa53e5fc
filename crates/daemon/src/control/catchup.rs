//! State from other hosts, for a host that can't read the log.

use crate::clock;
use crate::control::Control;
use skylarkdock_admin::status::ServingState;
use skylarkdock_fold::checkpoint;
use skylarkdock_peer::message::{Fetch, Payload, Records, StatePart};
use skylarkdock_records::envelope::CheckpointPart;
use skylarkdock_timeline::kind::EventKind;
use skylarkdock_units::ids::{HostId, Offset};
use skylarkdock_units::times::{HostTime, Millis};

const FETCH_MS: Millis = Millis(500);
const CUT_OFF_MS: Millis = Millis(700);
const ASKED_HOSTS: usize = 3;
const MAX_RECORDS: usize = 500;

impl Control {
    /// Asks other hosts for newer state while the log is away.
    pub(super) fn catch_up_if_cut_off(&mut self, now: HostTime) {
        let away = self.log_failed_since.is_some_and(|since| now.since(since) >= CUT_OFF_MS);
        if !away || now.since(self.last_fetch) < FETCH_MS {
            return;
        }
        self.last_fetch = now;
        let others: Vec<_> = self.sites().into_iter().map(|site| site.member.host).collect();
        let mut others: Vec<_> =
            others.into_iter().filter(|host| *host != self.parts.me.host).collect();
        fastrand::shuffle(&mut others);
        for host in others.iter().take(ASKED_HOSTS) {
            self.fetch(host);
        }
    }

    /// Asks a host for newer state.
    pub(super) fn fetch(&mut self, host: &HostId) {
        let applied = self.fold.state().applied;
        self.send(host, None, Payload::Fetch(Fetch { applied }));
    }

    pub(super) fn answer_fetch(&mut self, to: &HostId, applied: Offset) {
        if self.fold.state().applied <= applied {
            return;
        }
        let first = Offset(applied.0 + 1);
        let kept = self.recent.front().is_some_and(|(oldest, _)| *oldest <= first);
        if kept {
            let behind = self.recent.iter().filter(|(offset, _)| *offset >= first);
            let texts = behind.take(MAX_RECORDS).map(|(_, text)| text.clone()).collect();
            self.send(to, None, Payload::Records(Records { first, texts }));
            return;
        }
        let Ok(chunks) = checkpoint::split(self.fold.state()) else { return };
        for CheckpointPart { base, digest, index, count, data } in chunks {
            let part = StatePart { base, digest, index, count, data };
            self.send(to, None, Payload::StatePart(part));
        }
    }

    pub(super) fn take_records(&mut self, from: &HostId, records: Records) {
        let before = self.fold.state().applied;
        let numbered = (records.first.0..).map(Offset).zip(records.texts);
        self.apply_records(numbered.collect());
        if self.fold.state().applied > before {
            self.adopted_from(from);
        }
    }

    pub(super) fn take_state_part(&mut self, from: &HostId, part: StatePart) {
        let StatePart { base, digest, index, count, data } = part;
        if base <= self.fold.state().applied {
            return;
        }
        let chunk = CheckpointPart { base, digest, index, count, data };
        match self.assembler.add(chunk) {
            Ok(Some(state)) => {
                if self.adopt(state) {
                    self.adopted_from(from);
                }
            }
            Ok(None) => {}
            Err(error) => ::log::warn!("control: state of {from} is not usable: {error}."),
        }
    }

    fn adopted_from(&mut self, from: &HostId) {
        let offset = self.fold.state().applied;
        ::log::info!("control: state up to {offset} came from {from}.");
        self.note(EventKind::PeerStateAdopted { offset, from: from.clone() });
        if self.parts.serving_state.get() == ServingState::Starting {
            self.start_serving();
        }
        self.last_fetch = clock::host_time();
    }
}
