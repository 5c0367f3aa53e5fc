//! The leader's part: it records who is to own what, ends former grants and grants the keys.
//!
//! A span changes hands in this order: the change is recorded; each former holder releases the keys, or its grant has
//! lapsed for sure; the new owner is granted them with a higher fencing token; that is recorded too. A leader that
//! is lost on the way leaves the record, from which the next one goes on.

use crate::load::Rates;
use crate::plan::{self, Candidate};
use crate::renewal::{Ack, CallEnd, Grant, LastSent, Release};
use crate::table::{FencingToken, Holder, Keeper, Span, Table};
use crate::timing::Timing;
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{HostId, ServiceName};
use skylarkdock_units::times::{HostTime, Millis};

/// Time without a new upstream after which the first table is made, so that it holds most of them.
const SETTLE: Millis = Millis(700);
/// Longest wait for the first table.
const MAX_SETTLE: Millis = Millis(3_000);
/// Time between two plans for the sake of load: the effect of one shows in the next one's counts.
const PLAN_INTERVAL: Millis = Millis(600);
/// Pause after a table that could not be recorded, growing up to the longest one.
const WRITE_PAUSE: Millis = Millis(100);
const MAX_WRITE_PAUSE: Millis = Millis(1_600);
/// Spans for each millisecond between two tables. Every host hears of each table as a whole, so that large ones are to be
/// replaced less often; grants are told before they are recorded.
const SPANS_PER_MILLI: u64 = 10;
/// Pause after a call to an upstream that got no answer.
const CALL_PAUSE: Millis = Millis(150);
/// Pause between two questions to a keeper that did not answer.
const ASK_PAUSE: Millis = Millis(300);
/// The same while no move waits for the answer.
const IDLE_ASK_PAUSE: Millis = Millis(1_500);
/// Grants without an answer after which another upstream gets the keys.
const MAX_FAILED_GRANTS: u32 = 6;
/// Time for which an upstream that did not answer grants gets no keys.
const AVOIDED: Millis = Millis(4_000);

/// First key, last key and fencing token of a span.
pub type SpanKey = (u16, u16, FencingToken);

/// What the leader wants done. The answers come back through its methods.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Replace the recorded table.
    Write(Table),
    /// Tell a host the table and ask for its word.
    Ask(HostId),
    /// End a holder's grant.
    Release(Release),
    /// Grant keys.
    Grant(Grant),
}

/// What the leader goes by at one moment.
#[derive(Debug, Clone, Default)]
pub struct Inputs {
    /// Upstreams that can own keys.
    pub candidates: Vec<Candidate>,
    /// Requests per second of keys.
    pub rates: Rates,
    /// Hosts that are there, this one included, best keepers first.
    pub hosts: Vec<Keeper>,
    /// Lives of upstreams that have ended for sure.
    pub dead: Vec<Holder>,
    /// Whether the leader hands over soon: moves under way go on, and no more are planned.
    pub is_leaving: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Releasing {
    Idle { not_before: HostTime },
    Sent,
    Ended,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Granting {
    Idle { not_before: HostTime },
    Sent,
    Done,
}

#[derive(Debug)]
struct Move {
    since: HostTime,
    releases: Vec<Releasing>,
    has_failed: bool,
    handover: Option<String>,
    granting: Granting,
    failed_grants: u32,
}

#[derive(Debug)]
struct Word {
    version: u64,
    /// Grants that may be in force, and when they were sent.
    sent: Vec<(LastSent, HostTime)>,
    /// When a grant that isn't among them may have been sent at the latest.
    otherwise: HostTime,
}

/// The leader of one service.
#[derive(Debug)]
pub struct Lead {
    me: HostId,
    service: ServiceName,
    timing: Timing,
    table: Option<Table>,
    is_writing: bool,
    moves: FastMap<SpanKey, Move>,
    words: FastMap<HostId, Word>,
    asked: FastMap<HostId, HostTime>,
    retired: FastMap<HostId, HostTime>,
    avoided: FastMap<Holder, HostTime>,
    first_candidate_at: Option<HostTime>,
    new_candidate_at: HostTime,
    candidates: usize,
    planned_at: HostTime,
    failed_writes: u32,
    write_not_before: HostTime,
}

impl Lead {
    /// Starts with the recorded table, if there is one.
    pub fn new(me: HostId, service: ServiceName, timing: Timing, table: Option<Table>) -> Self {
        Self {
            me,
            service,
            timing,
            table,
            is_writing: false,
            moves: FastMap::default(),
            words: FastMap::default(),
            asked: FastMap::default(),
            retired: FastMap::default(),
            avoided: FastMap::default(),
            first_candidate_at: None,
            new_candidate_at: HostTime(0),
            candidates: 0,
            planned_at: HostTime(0),
            failed_writes: 0,
            write_not_before: HostTime(0),
        }
    }

    /// Returns the table that the leader goes by.
    pub const fn table(&self) -> Option<&Table> {
        self.table.as_ref()
    }

    /// Takes a recorded table over if it is newer.
    pub fn on_table(&mut self, table: &Table) {
        if self.table.as_ref().is_none_or(|known| known.version < table.version) {
            self.table = Some(table.clone());
        }
    }

    /// Notes the end of a write. One that is not certain to be recorded shows in the log later.
    pub fn on_written(&mut self, table: Table, is_recorded: bool, now: HostTime) {
        self.is_writing = false;
        if is_recorded {
            self.failed_writes = 0;
            self.write_not_before = now + Millis(table.spans.len() as u64 / SPANS_PER_MILLI);
            self.on_table(&table);
            return;
        }
        let factor = 1_u64 << self.failed_writes.min(4);
        self.failed_writes += 1;
        self.write_not_before = now + Millis((WRITE_PAUSE.0 * factor).min(MAX_WRITE_PAUSE.0));
    }

    /// Notes a keeper's word that arrived now. The keeper spoke earlier, so what it sent is no younger than told.
    pub fn on_ack(&mut self, ack: Ack, now: HostTime) {
        let at = |age: Millis| HostTime(now.0.saturating_sub(age.0));
        let sent = ack.sent.into_iter().map(|sent| {
            let sent_at = at(sent.age);
            (sent, sent_at)
        });
        let otherwise = at(ack.running.min(self.timing.grant_expiry()));
        let word = Word { version: ack.version, sent: sent.collect(), otherwise };
        self.words.insert(ack.host, word);
    }

    /// Notes the end of a release.
    pub fn on_released(
        &mut self,
        release: &Release,
        end: Result<Option<String>, CallEnd>,
        now: HostTime,
    ) {
        let key = (release.first, release.last, release.fence);
        let Some(span) = self.span(key) else { return };
        let former = span.former.iter().position(|former| former.holder == release.holder);
        let (Some(index), Some(progress)) = (former, self.moves.get_mut(&key)) else { return };
        match end {
            Ok(handover) => {
                progress.releases[index] = Releasing::Ended;
                progress.handover = handover.or_else(|| progress.handover.take());
            }
            Err(CallEnd::Gone) => progress.releases[index] = Releasing::Ended,
            Err(_) => {
                progress.has_failed = true;
                progress.releases[index] = Releasing::Idle { not_before: now + CALL_PAUSE };
            }
        }
    }

    /// Notes the end of a grant.
    pub fn on_granted(&mut self, grant: &Grant, end: CallEnd, now: HostTime) {
        let Some(progress) = self.moves.get_mut(&(grant.first, grant.last, grant.fence)) else {
            return;
        };
        progress.granting = match end {
            CallEnd::Done => Granting::Done,
            CallEnd::Fenced | CallEnd::Gone | CallEnd::Unknown => {
                progress.failed_grants += 1;
                Granting::Idle { not_before: now + CALL_PAUSE }
            }
        };
        let is_lost = end == CallEnd::Gone || progress.failed_grants >= MAX_FAILED_GRANTS;
        if is_lost && end != CallEnd::Fenced {
            self.avoided.insert(grant.holder.clone(), now + AVOIDED);
        }
    }

    /// Returns what is to be done now.
    pub fn tick(&mut self, inputs: &Inputs, now: HostTime) -> Vec<Action> {
        let mut actions = Vec::new();
        self.note_moves(now);
        self.advance(inputs, now, &mut actions);
        if !self.is_writing
            && now >= self.write_not_before
            && let Some(table) = self.revised(inputs, now)
        {
            self.is_writing = true;
            actions.push(Action::Write(table));
        }
        actions
    }

    /// Returns whether keys are on their way from one upstream to another, or a table is being written.
    pub fn is_moving(&self) -> bool {
        self.is_writing || !self.moves.is_empty()
    }

    fn span(&self, key: SpanKey) -> Option<&Span> {
        let spans = &self.table.as_ref()?.spans;
        spans.iter().find(|span| (span.first, span.last, span.fence) == key)
    }

    /// Keeps one progress for each span that is being moved.
    fn note_moves(&mut self, now: HostTime) {
        let Some(table) = &self.table else { return };
        let pending: FastMap<SpanKey, usize> = table
            .spans
            .iter()
            .filter(|span| !span.is_granted)
            .map(|span| ((span.first, span.last, span.fence), span.former.len()))
            .collect();
        self.moves.retain(|key, _| pending.contains_key(key));
        for (key, former) in pending {
            self.moves.entry(key).or_insert_with(|| Move {
                since: now,
                releases: vec![Releasing::Idle { not_before: now }; former],
                has_failed: false,
                handover: None,
                granting: Granting::Idle { not_before: now },
                failed_grants: 0,
            });
        }
    }

    /// Takes the next step of each move.
    fn advance(&mut self, inputs: &Inputs, now: HostTime, actions: &mut Vec<Action>) {
        let Some(table) = self.table.clone() else { return };
        let mut asks = false;
        for span in table.spans.iter().filter(|span| !span.is_granted) {
            let key = (span.first, span.last, span.fence);
            let Some(since) = self.moves.get(&key).map(|progress| progress.since) else { continue };
            let lapsed: Vec<bool> = span
                .former
                .iter()
                .map(|former| {
                    inputs.dead.contains(&former.holder)
                        || self.has_lapsed(&table, span, &former.holder, since, now)
                })
                .collect();
            let Some(progress) = self.moves.get_mut(&key) else { continue };
            for (index, former) in span.former.iter().enumerate() {
                let release = &mut progress.releases[index];
                if lapsed[index] {
                    *release = Releasing::Ended;
                }
                if let Releasing::Idle { not_before } = *release
                    && now >= not_before
                {
                    *release = Releasing::Sent;
                    actions.push(Action::Release(Release {
                        first: span.first,
                        last: span.last,
                        holder: former.holder.clone(),
                        fence: span.fence,
                    }));
                }
            }
            let all_ended = progress.releases.iter().all(|release| *release == Releasing::Ended);
            asks |= progress.has_failed && !all_ended;
            if let Granting::Idle { not_before } = progress.granting
                && all_ended
                && now >= not_before
            {
                progress.granting = Granting::Sent;
                actions.push(Action::Grant(Grant {
                    first: span.first,
                    last: span.last,
                    holder: span.owner.clone(),
                    fence: span.fence,
                    handover: progress.handover.clone(),
                }));
            }
        }
        if asks || !table.retired.is_empty() {
            let pause = if asks { ASK_PAUSE } else { IDLE_ASK_PAUSE };
            self.ask(&table, pause, now, actions);
        }
    }

    /// Asks the hosts that may renew for their word on this table.
    fn ask(&mut self, table: &Table, pause: Millis, now: HostTime, actions: &mut Vec<Action>) {
        for host in renewers(table) {
            if self.words.get(&host).is_some_and(|word| word.version >= table.version) {
                continue;
            }
            let asked_at = self.asked.entry(host.clone()).or_default();
            if now.since(*asked_at) >= pause {
                *asked_at = now;
                actions.push(Action::Ask(host));
            }
        }
    }

    /// Returns whether no grant to a former holder can be in force.
    fn has_lapsed(
        &self,
        table: &Table,
        span: &Span,
        holder: &Holder,
        since: HostTime,
        now: HostTime,
    ) -> bool {
        if now.since(since) >= self.timing.expiry_without_acks() {
            return true;
        }
        renewers(table).iter().all(|host| {
            self.words.get(host).is_some_and(|word| {
                let sent = word.sent.iter().filter(|(sent, _)| {
                    sent.holder == *holder && sent.first <= span.last && span.first <= sent.last
                });
                let sent_at = sent.map(|(_, at)| *at).max().unwrap_or(word.otherwise);
                word.version >= table.version && now.since(sent_at) >= self.timing.grant_expiry()
            })
        })
    }

    /// Returns the table with everything that has changed, `None` if nothing has.
    fn revised(&mut self, inputs: &Inputs, now: HostTime) -> Option<Table> {
        self.avoided.retain(|_, until| *until > now);
        let candidates: Vec<Candidate> = inputs
            .candidates
            .iter()
            .filter(|candidate| !self.avoided.contains_key(&candidate.holder))
            .cloned()
            .collect();
        let Some(table) = self.table.clone() else { return self.founded(inputs, &candidates, now) };
        let mut next = table.clone();
        self.settle(&mut next);
        let there: FastSet<&Holder> = candidates.iter().map(|c| &c.holder).collect();
        let is_lost = |span: &Span| !there.contains(&span.owner);
        let is_urgent = next.spans.iter().any(is_lost);
        if inputs.is_leaving {
            return Self::renumbered(next, &table);
        }
        if is_urgent || now.since(self.planned_at) >= PLAN_INTERVAL {
            self.planned_at = now;
            let is_dead = |holder: &Holder| inputs.dead.contains(holder);
            if let Some(spans) = plan::next_spans(&next, &candidates, &inputs.rates, is_dead) {
                next.spans = spans;
                next.next_fence = FencingToken(next.next_fence.0 + 1);
            }
        }
        self.appoint(&mut next, inputs, now);
        Self::renumbered(next, &table)
    }

    /// Returns a changed table with the version that follows, `None` if nothing has changed.
    fn renumbered(next: Table, table: &Table) -> Option<Table> {
        (next != *table).then(|| Table { version: table.version + 1, ..next })
    }

    fn founded(
        &mut self,
        inputs: &Inputs,
        candidates: &[Candidate],
        now: HostTime,
    ) -> Option<Table> {
        if candidates.is_empty() {
            return None;
        }
        let first_at = *self.first_candidate_at.get_or_insert(now);
        if candidates.len() > self.candidates {
            self.new_candidate_at = now;
        }
        self.candidates = candidates.len();
        let is_settled = now.since(self.new_candidate_at) >= SETTLE;
        if !is_settled && now.since(first_at) < MAX_SETTLE {
            return None;
        }
        let mut table = Table {
            service: self.service.clone(),
            version: 1,
            leader: self.me.clone(),
            keepers: Vec::new(),
            retired: Vec::new(),
            next_fence: FencingToken(2),
            spans: plan::initial_spans(candidates, FencingToken(1)),
        };
        self.appoint(&mut table, inputs, now);
        Some(table)
    }

    /// Records the grants that were made.
    fn settle(&self, table: &mut Table) {
        for span in &mut table.spans {
            let Some(progress) = self.moves.get(&(span.first, span.last, span.fence)) else {
                continue;
            };
            if progress.granting == Granting::Done {
                span.is_granted = true;
                span.former.clear();
            }
        }
    }

    /// Chooses the keepers: this host and one that is there of each availability zone.
    fn appoint(&mut self, table: &mut Table, inputs: &Inputs, now: HostTime) {
        table.leader = self.me.clone();
        let present = |host: &HostId| inputs.hosts.iter().any(|keeper| keeper.host == *host);
        let mut keepers: Vec<Keeper> = Vec::new();
        let mut add = |keeper: &Keeper| {
            if keepers.iter().all(|other| other.zone != keeper.zone) {
                keepers.push(keeper.clone());
            }
        };
        // A keeper passes on what is new to its zone, so a much larger host takes over from it.
        let is_outranked = |keeper: &Keeper| {
            let neighbours = inputs.hosts.iter().filter(|other| other.zone == keeper.zone);
            neighbours.into_iter().any(|other| other.size.is_much_larger_than(keeper.size))
        };
        let stays = |keeper: &&Keeper| present(&keeper.host) && !is_outranked(keeper);
        inputs.hosts.iter().filter(|k| k.host == self.me).for_each(&mut add);
        table.keepers.iter().filter(stays).for_each(&mut add);
        inputs.hosts.iter().for_each(&mut add);
        keepers.sort_by(|a, b| a.host.cmp(&b.host));
        let removed = table.keepers.iter().map(|keeper| keeper.host.clone());
        let mut retired: Vec<HostId> = table.retired.iter().cloned().chain(removed).collect();
        retired.retain(|host| !keepers.iter().any(|keeper| keeper.host == *host));
        retired.sort();
        retired.dedup();
        retired.retain(|host| {
            let since = *self.retired.entry(host.clone()).or_insert(now);
            let has_heard = table.retired.contains(host)
                && self.words.get(host).is_some_and(|word| word.version >= table.version);
            !has_heard && now.since(since) < self.timing.expiry_without_acks()
        });
        self.retired.retain(|host, _| retired.contains(host));
        table.keepers = keepers;
        table.retired = retired;
    }
}

/// Returns the hosts that may send grants of a table or of those before it.
fn renewers(table: &Table) -> Vec<HostId> {
    let keepers = table.keepers.iter().map(|keeper| keeper.host.clone());
    keepers.chain(table.retired.iter().cloned()).collect()
}
