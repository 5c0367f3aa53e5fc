//! Handling of received gossip messages.

use crate::config::{MAX_CHANGES_PER_MESSAGE, MAX_CHUNK_ENTRIES};
use crate::membership::{Membership, StepContext};
use crate::messages::{Body, Gossip, HostEntry};
use crate::view::Output;
use skylarkdock_units::ids::HostId;

impl Membership {
    pub(crate) fn receive(&mut self, ctx: &mut StepContext, from: &HostId, msg: Box<Gossip>) {
        let known_incarnation = self.table.entry(from).map(|entry| entry.member.incarnation);
        if *from == self.local_host
            || known_incarnation
                .is_some_and(|known_incarnation| known_incarnation > msg.incarnation)
        {
            return;
        }
        let Gossip { digest, sender, changes, body, .. } = *msg;
        if let Some(entry) = sender.filter(|entry| entry.member.host == *from) {
            self.merge_entry(ctx, entry, false);
        }
        // One more than the limit, because the receiver's own entry may precede the changes.
        for entry in changes.into_iter().take(MAX_CHANGES_PER_MESSAGE + 1) {
            self.merge_entry(ctx, entry, false);
        }
        self.record_message(ctx, from, digest);
        self.handle_body(ctx, from, body);
        if digest != self.table.digest() && self.sync.start_pull(from, ctx.now, &mut ctx.rng) {
            self.send_pull(ctx, from, None);
        }
    }

    fn record_message(&mut self, ctx: &mut StepContext, from: &HostId, digest: u64) {
        self.table.mark_heard(from, ctx.now);
        self.probes.record_answer(from);
        self.contacts.entry(from.clone()).or_default().last_digest = Some(digest);
        for requester in self.probes.take_requesters(from) {
            self.send(ctx, &requester, Body::IndirectAck { target: from.clone() });
        }
    }

    fn handle_body(&mut self, ctx: &mut StepContext, from: &HostId, body: Body) {
        match body {
            Body::Ping => self.send(ctx, from, Body::Ack),
            Body::Ack => self.handle_ack(ctx, from),
            Body::PingRequest { target } => self.handle_ping_request(ctx, from, target),
            Body::IndirectAck { target } => self.handle_indirect_ack(ctx, &target),
            Body::Pull { bucket_digests, after } => {
                self.send_chunk(ctx, from, &bucket_digests, after.as_ref())
            }
            Body::Chunk { entries, next } => self.handle_chunk(ctx, from, entries, next),
        }
    }

    /// Records that the address last used for a host reaches it.
    fn handle_ack(&mut self, ctx: &mut StepContext, from: &HostId) {
        let contact = self.contacts.entry(from.clone()).or_default();
        contact.unanswered_pings = 0;
        if contact.confirmed_advertised == contact.uses_advertised {
            return;
        }
        contact.confirmed_advertised = contact.uses_advertised;
        if let Some(record) = self.table.get(from) {
            ctx.outputs.push(Output::HostChanged(self.host_view(record)));
        }
    }

    fn handle_ping_request(&mut self, ctx: &mut StepContext, requester: &HostId, target: HostId) {
        if target == self.local_host {
            return;
        }
        let expires_at = ctx.now + self.config.suspect_after;
        self.probes.add_relayed(target.clone(), requester.clone(), expires_at);
        self.send(ctx, &target, Body::Ping);
    }

    fn handle_indirect_ack(&mut self, ctx: &mut StepContext, target: &HostId) {
        self.table.mark_heard(target, ctx.now);
        if self.probes.record_indirect_ack(target) {
            ctx.outputs.push(Output::PartialPartition(target.clone()));
        }
    }

    fn send_pull(&mut self, ctx: &mut StepContext, from: &HostId, after: Option<HostId>) {
        let bucket_digests = self.table.bucket_digests().to_vec();
        self.send(ctx, from, Body::Pull { bucket_digests, after });
    }

    fn send_chunk(
        &mut self,
        ctx: &mut StepContext,
        to: &HostId,
        their_digests: &[u64],
        after: Option<&HostId>,
    ) {
        let Ok(their_digests) = their_digests.try_into() else { return };
        if !self.sync.reserve_chunk() {
            return;
        }
        let mut entries =
            self.table.entries_in_differing_buckets(their_digests, after, MAX_CHUNK_ENTRIES + 1);
        let has_more = entries.len() > MAX_CHUNK_ENTRIES;
        entries.truncate(MAX_CHUNK_ENTRIES);
        let last = entries.last().map(|entry| entry.member.host.clone());
        self.send(ctx, to, Body::Chunk { entries, next: last.filter(|_| has_more) });
    }

    fn handle_chunk(
        &mut self,
        ctx: &mut StepContext,
        from: &HostId,
        entries: Vec<HostEntry>,
        next: Option<HostId>,
    ) {
        if !self.sync.expects_chunk_from(from) {
            return;
        }
        for entry in entries.into_iter().take(MAX_CHUNK_ENTRIES) {
            self.merge_entry(ctx, entry, true);
        }
        match next {
            Some(next) => self.send_pull(ctx, from, Some(next)),
            None => self.sync.finish_pull(),
        }
    }
}
