//! Messages that arrive.

use crate::config::{MAX_CHANGES_PER_MESSAGE, MAX_CHUNK_ENTRIES};
use crate::membership::{Membership, Turn};
use crate::messages::{Body, Gossip, HostEntry};
use crate::view::Output;
use skylarkdock_units::ids::HostId;

impl Membership {
    pub(crate) fn receive(&mut self, turn: &mut Turn, from: &HostId, msg: Box<Gossip>) {
        let known = self.table.entry(from).map(|entry| entry.member.incarnation);
        if *from == self.me || known.is_some_and(|known| known > msg.incarnation) {
            return;
        }
        let Gossip { digest, sender, changes, body, .. } = *msg;
        if let Some(entry) = sender.filter(|entry| entry.member.host == *from) {
            self.learn(turn, entry, false);
        }
        // One more than the bound, for what the receiver may have to refute.
        for entry in changes.into_iter().take(MAX_CHANGES_PER_MESSAGE + 1) {
            self.learn(turn, entry, false);
        }
        self.hear(turn, from, digest);
        self.answer(turn, from, body);
        if digest != self.table.digest() && self.sync.start_pull(from, turn.now, &mut turn.random) {
            self.pull(turn, from, None);
        }
    }

    fn hear(&mut self, turn: &mut Turn, from: &HostId, digest: u64) {
        self.table.mark_heard(from, turn.now);
        self.probes.record_answer(from);
        self.contacts.entry(from.clone()).or_default().digest = Some(digest);
        for asker in self.probes.take_requesters(from) {
            self.send(turn, &asker, Body::IndirectAck { target: from.clone() });
        }
    }

    fn answer(&mut self, turn: &mut Turn, from: &HostId, body: Body) {
        match body {
            Body::Ping => self.send(turn, from, Body::Ack),
            Body::Ack => self.acknowledged(turn, from),
            Body::PingRequest { target } => self.check(turn, from, target),
            Body::IndirectAck { target } => self.vouched(turn, &target),
            Body::Pull { bucket_digests, after } => {
                self.send_chunk(turn, from, &bucket_digests, after.as_ref())
            }
            Body::Chunk { entries, next } => self.take_chunk(turn, from, entries, next),
        }
    }

    /// Notes that the address last used for a host leads to it.
    fn acknowledged(&mut self, turn: &mut Turn, from: &HostId) {
        let contact = self.contacts.entry(from.clone()).or_default();
        contact.unanswered = 0;
        if contact.confirmed_own == contact.own_address {
            return;
        }
        contact.confirmed_own = contact.own_address;
        if let Some(record) = self.table.get(from) {
            turn.out.push(Output::HostChanged(self.view_of(record)));
        }
    }

    fn check(&mut self, turn: &mut Turn, asker: &HostId, target: HostId) {
        if target == self.me {
            return;
        }
        let until = turn.now + self.config.suspect_after;
        self.probes.add_relayed(target.clone(), asker.clone(), until);
        self.send(turn, &target, Body::Ping);
    }

    fn vouched(&mut self, turn: &mut Turn, target: &HostId) {
        self.table.mark_heard(target, turn.now);
        if self.probes.record_indirect_ack(target) {
            turn.out.push(Output::PartialPartition(target.clone()));
        }
    }

    fn pull(&mut self, turn: &mut Turn, from: &HostId, after: Option<HostId>) {
        let bucket_digests = self.table.bucket_digests().to_vec();
        self.send(turn, from, Body::Pull { bucket_digests, after });
    }

    fn send_chunk(&mut self, turn: &mut Turn, to: &HostId, theirs: &[u64], after: Option<&HostId>) {
        let Ok(theirs) = theirs.try_into() else { return };
        if !self.sync.reserve_chunk() {
            return;
        }
        let mut entries =
            self.table.entries_in_differing_buckets(theirs, after, MAX_CHUNK_ENTRIES + 1);
        let more = entries.len() > MAX_CHUNK_ENTRIES;
        entries.truncate(MAX_CHUNK_ENTRIES);
        let last = entries.last().map(|entry| entry.member.host.clone());
        self.send(turn, to, Body::Chunk { entries, next: last.filter(|_| more) });
    }

    fn take_chunk(
        &mut self,
        turn: &mut Turn,
        from: &HostId,
        entries: Vec<HostEntry>,
        next: Option<HostId>,
    ) {
        if !self.sync.expects_chunk_from(from) {
            return;
        }
        for entry in entries.into_iter().take(MAX_CHUNK_ENTRIES) {
            self.learn(turn, entry, true);
        }
        match next {
            Some(next) => self.pull(turn, from, Some(next)),
            None => self.sync.finish_pull(),
        }
    }
}
