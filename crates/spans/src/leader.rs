//! The leader of a service: it records changes of owners, ends former grants and grants keys to new owners.
//!
//! A span changes owners in this order: the change is recorded; each former holder releases the keys or its grant has
//! certainly expired; the new owner is granted the keys with a larger fencing token; that grant is recorded. If the
//! leader fails in between, the next one resumes from the recorded table.

use crate::end::{GrantEnd, NotEnded};
use crate::load::Rates;
use crate::lost::Search;
use crate::plan::{self, Candidate};
use crate::renewal::{Ack, CallEnd, Grant, LastSent, Release};
use crate::restored::{self, Recall, StoreCopy};
use crate::table::{FencingToken, Holder, Keeper, Span, Table};
use crate::timing::Timing;
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::{HostId, ServiceName};
use skylarkdock_units::times::{HostTime, Millis};

/// Time without a new upstream after which the first table is written, so that it includes most of them.
const FIRST_TABLE_QUIET_TIME: Millis = Millis(700);
/// Longest delay of the first table, counted from the first upstream.
const MAX_FIRST_TABLE_DELAY: Millis = Millis(3_000);
/// Shortest time between two plans that rebalance load. The key rates measured in that time show the effect of the
/// previous plan.
const PLAN_INTERVAL: Millis = Millis(600);
/// Pause after the first failed write of a table; it doubles with each further failure.
const WRITE_PAUSE: Millis = Millis(100);
/// Upper limit of the pause after failed writes.
const MAX_WRITE_PAUSE: Millis = Millis(1_600);
/// Number of spans in a table per millisecond of delay before the next write. Every host receives each table as a
/// whole, so large ones are replaced less often. The delay does not hold back grants: hosts learn of them before they
/// are recorded.
const SPANS_PER_MILLI: u64 = 10;
/// Pause before a failed grant or release is sent again.
const RETRY_PAUSE: Millis = Millis(150);
/// Pause before a refused release is sent again. The process that refused it is asked for its id each time, which takes one of
/// its slots, and its answer rarely changes.
const REFUSAL_PAUSE: Millis = Millis(750);
/// Time between two requests for a keeper's acknowledgement while a move waits for it.
const ACK_REQUEST_INTERVAL: Millis = Millis(300);
/// Time between two requests for a keeper's acknowledgement while no move waits for it.
const IDLE_ACK_REQUEST_INTERVAL: Millis = Millis(1_500);
/// Failed grants of a span after which its owner is avoided, so that another upstream gets the keys. `Fenced` counts as
/// a failure, but the owner is not avoided until a grant fails in another way.
const MAX_FAILED_GRANTS: u32 = 6;
/// Time for which an upstream that did not take its grants is no candidate.
const AVOID_TIME: Millis = Millis(4_000);

/// First key, last key and fencing token of a span.
pub type SpanId = (u16, u16, FencingToken);

/// A side effect that the leader requests. The code that calls [`Leader::tick`] carries it out and reports the result
/// through the matching `on_` method.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Replace the recorded table by compare-and-set.
    Write(Table),
    /// Send the table to a host and request its acknowledgement.
    RequestAck(HostId),
    /// Make a former holder release keys.
    Release(Release),
    /// Grant keys to their new owner.
    Grant(Grant),
}

/// State of the fleet that the leader decides on in one tick.
#[derive(Debug, Clone, Default)]
pub struct Inputs {
    /// Upstreams that can own keys.
    pub candidates: Vec<Candidate>,
    /// Measured request rates of keys.
    pub rates: Rates,
    /// Available hosts including this one, the preferred keepers first.
    pub hosts: Vec<Keeper>,
    /// Hosts that seem to reach no upstream.
    pub cut_off: Vec<HostId>,
    /// Whether the leader is about to hand over. It finishes pending moves and plans no further ones.
    pub is_leaving: bool,
    /// Whether the newest record of the table can't be read. Hosts that start have no table then.
    pub is_record_unreadable: bool,
    /// State of the search for the version before such a record.
    pub search: Search,
    /// The copy of the store that is known.
    pub copy: Option<StoreCopy>,
    /// Whether the leader knows the last version of a table that an earlier copy had.
    pub recall: Recall,
    /// Time since the leader's process started.
    pub uptime: Millis,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum ReleaseState {
    Idle { not_before: HostTime },
    Sent,
    Ended(GrantEnd),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum GrantState {
    Idle { not_before: HostTime },
    Sent,
    Done,
}

#[derive(Debug)]
struct Move {
    pending_since: HostTime,
    releases: Vec<ReleaseState>,
    has_failed_release: bool,
    handover: Option<String>,
    granting: GrantState,
    failed_grants: u32,
    /// When the holder first refused the grant as it has seen a larger token, unless it has answered otherwise since.
    fenced_since: Option<HostTime>,
}

#[derive(Debug)]
struct ReceivedAck {
    version: u64,
    /// Grants that may be in force, and when they were sent at the latest.
    sent: Vec<(LastSent, HostTime)>,
    /// Latest time at which a grant that is not listed in `sent` may have been sent: by an earlier process of the
    /// keeper's host, or by the same process so long ago that the grant was removed from the list as expired.
    unlisted_sent_at: HostTime,
}

/// The leader of one service.
#[derive(Debug)]
pub struct Leader {
    own_host: HostId,
    service: ServiceName,
    timing: Timing,
    table: Option<Table>,
    is_writing: bool,
    moves: FastMap<SpanId, Move>,
    acks: FastMap<HostId, ReceivedAck>,
    ack_requested_at: FastMap<HostId, HostTime>,
    /// When the leader first saw each host among the retired ones of the recorded table.
    retired_since: FastMap<HostId, HostTime>,
    avoided_until: FastMap<Holder, HostTime>,
    first_candidate_at: Option<HostTime>,
    last_candidate_at: HostTime,
    candidate_count: usize,
    planned_at: HostTime,
    failed_writes: u32,
    write_not_before: HostTime,
}

impl Leader {
    /// Creates a leader that resumes from the recorded table, if there is one.
    pub fn new(
        own_host: HostId,
        service: ServiceName,
        timing: Timing,
        table: Option<Table>,
    ) -> Self {
        Self {
            own_host,
            service,
            timing,
            table,
            is_writing: false,
            moves: FastMap::default(),
            acks: FastMap::default(),
            ack_requested_at: FastMap::default(),
            retired_since: FastMap::default(),
            avoided_until: FastMap::default(),
            first_candidate_at: None,
            last_candidate_at: HostTime(0),
            candidate_count: 0,
            planned_at: HostTime(0),
            failed_writes: 0,
            write_not_before: HostTime(0),
        }
    }

    /// Returns the newest recorded table that the leader knows.
    pub const fn table(&self) -> Option<&Table> {
        self.table.as_ref()
    }

    /// Adopts a recorded table if it is newer than the one known.
    pub fn on_table(&mut self, table: &Table) {
        let known = self.table.as_ref().map_or(0, |known| known.version);
        if known >= table.version {
            return;
        }
        if table.version == known + 1 {
            self.retired_since.retain(|host, _| table.retired.contains(host));
        } else {
            // A host that is retired in both may have been a keeper in between.
            self.retired_since.clear();
        }
        self.table = Some(table.clone());
    }

    /// Handles the result of a write. If a table was recorded although `is_recorded` is false, the leader gets it
    /// through [`Self::on_table`] later.
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

    /// Handles a keeper's acknowledgement. The ages in it were measured before it arrived, so the times derived from
    /// `now` are no earlier than those at which the grants were sent.
    pub fn on_ack(&mut self, ack: Ack, now: HostTime) {
        let at = |age: Millis| HostTime(now.0.saturating_sub(age.0));
        let sent = ack.sent.into_iter().map(|sent| {
            let sent_at = at(sent.age);
            (sent, sent_at)
        });
        let unlisted_sent_at = at(ack.running.min(self.timing.grant_expiry()));
        let received = ReceivedAck { version: ack.version, sent: sent.collect(), unlisted_sent_at };
        self.acks.insert(ack.host, received);
    }

    /// Handles the result of a release.
    pub fn on_released(
        &mut self,
        release: &Release,
        end: Result<GrantEnd, NotEnded>,
        now: HostTime,
    ) {
        let id = (release.first, release.last, release.fence);
        let Some(span) = self.span(id) else { return };
        let former = span.former.iter().position(|former| former.holder == release.holder);
        let (Some(index), Some(progress)) = (former, self.moves.get_mut(&id)) else { return };
        match end {
            Ok(end) => {
                let handover = end.handover().map(str::to_owned);
                progress.handover = handover.or_else(|| progress.handover.take());
                progress.releases[index] = ReleaseState::Ended(end);
            }
            Err(reason) => {
                let pause = match reason {
                    NotEnded::Refused => REFUSAL_PAUSE,
                    NotEnded::Unknown => RETRY_PAUSE,
                };
                progress.has_failed_release = true;
                progress.releases[index] = ReleaseState::Idle { not_before: now + pause };
            }
        }
    }

    /// Handles the result of a grant. An upstream that has ended is avoided for a while, and so is one whose grants of
    /// a span failed `MAX_FAILED_GRANTS` times, unless the last one was refused as `Fenced`.
    pub fn on_granted(&mut self, grant: &Grant, end: CallEnd, now: HostTime) {
        let Some(progress) = self.moves.get_mut(&(grant.first, grant.last, grant.fence)) else {
            return;
        };
        progress.fenced_since = match end {
            CallEnd::Fenced => progress.fenced_since.or(Some(now)),
            CallEnd::Refused | CallEnd::Unknown => progress.fenced_since,
            CallEnd::Done | CallEnd::Gone => None,
        };
        progress.granting = match end {
            CallEnd::Done => GrantState::Done,
            CallEnd::Fenced | CallEnd::Gone | CallEnd::Refused | CallEnd::Unknown => {
                progress.failed_grants += 1;
                GrantState::Idle { not_before: now + RETRY_PAUSE }
            }
        };
        let is_unusable = end == CallEnd::Gone || progress.failed_grants >= MAX_FAILED_GRANTS;
        if is_unusable && end != CallEnd::Fenced {
            self.avoided_until.insert(grant.holder.clone(), now + AVOID_TIME);
        }
    }

    /// Handles that a grant was not sent, as it was not confirmed when its turn came.
    pub fn on_withheld(&mut self, grant: &Grant, now: HostTime) {
        if let Some(progress) = self.moves.get_mut(&(grant.first, grant.last, grant.fence)) {
            progress.granting = GrantState::Idle { not_before: now + RETRY_PAUSE };
        }
    }

    /// Advances pending moves and returns the actions that are due, at most one of them a write.
    pub fn tick(&mut self, inputs: &Inputs, now: HostTime) -> Vec<Action> {
        let mut actions = Vec::new();
        self.track_moves(now);
        self.advance_moves(now, &mut actions);
        if !self.is_writing
            && now >= self.write_not_before
            && let Some(table) = self.next_table(inputs, now)
        {
            self.is_writing = true;
            actions.push(Action::Write(table));
        }
        actions
    }

    /// Returns by what the grants of each former holder of a pending span have ended.
    pub fn ends(&self, grant: &Grant) -> Vec<(&Holder, &GrantEnd)> {
        let id = (grant.first, grant.last, grant.fence);
        let (Some(span), Some(progress)) = (self.span(id), self.moves.get(&id)) else {
            return Vec::new();
        };
        let releases = span.former.iter().zip(&progress.releases);
        let ended = releases.filter_map(|(former, release)| match release {
            ReleaseState::Ended(end) => Some((&former.holder, end)),
            ReleaseState::Idle { .. } | ReleaseState::Sent => None,
        });
        ended.collect()
    }

    /// Returns whether the grant of a span is not recorded yet or a table is being written.
    pub fn has_pending_changes(&self) -> bool {
        self.is_writing || !self.moves.is_empty()
    }

    fn span(&self, id: SpanId) -> Option<&Span> {
        let spans = &self.table.as_ref()?.spans;
        spans.iter().find(|span| (span.first, span.last, span.fence) == id)
    }

    /// Starts tracking spans that wait for a grant and stops tracking the others.
    fn track_moves(&mut self, now: HostTime) {
        let Some(table) = &self.table else { return };
        let pending: FastMap<SpanId, usize> = table
            .spans
            .iter()
            .filter(|span| !span.is_granted)
            .map(|span| ((span.first, span.last, span.fence), span.former.len()))
            .collect();
        self.moves.retain(|id, _| pending.contains_key(id));
        for (id, former) in pending {
            self.moves.entry(id).or_insert_with(|| Move {
                pending_since: now,
                releases: vec![ReleaseState::Idle { not_before: now }; former],
                has_failed_release: false,
                handover: None,
                granting: GrantState::Idle { not_before: now },
                failed_grants: 0,
                fenced_since: None,
            });
        }
    }

    /// Sends the releases, grants and requests for acknowledgement that pending moves need next.
    fn advance_moves(&mut self, now: HostTime, actions: &mut Vec<Action>) {
        let Some(table) = self.table.clone() else { return };
        // Later leaders ask only the hosts that a table names what they granted.
        let may_grant = table.leader == self.own_host;
        let mut needs_acks = false;
        for span in table.spans.iter().filter(|span| !span.is_granted) {
            let id = (span.first, span.last, span.fence);
            let Some(since) = self.moves.get(&id).map(|progress| progress.pending_since) else {
                continue;
            };
            let has_expired: Vec<bool> = span
                .former
                .iter()
                .map(|former| self.has_expired(&table, span, &former.holder, since, now))
                .collect();
            let Some(progress) = self.moves.get_mut(&id) else { continue };
            for (index, former) in span.former.iter().enumerate() {
                let release = &mut progress.releases[index];
                if has_expired[index] && !matches!(release, ReleaseState::Ended(_)) {
                    *release = ReleaseState::Ended(GrantEnd::expired());
                }
                if let ReleaseState::Idle { not_before } = *release
                    && now >= not_before
                {
                    *release = ReleaseState::Sent;
                    actions.push(Action::Release(Release {
                        first: span.first,
                        last: span.last,
                        holder: former.holder.clone(),
                        fence: span.fence,
                    }));
                }
            }
            let has_ended = |release: &ReleaseState| matches!(release, ReleaseState::Ended(_));
            let all_ended = progress.releases.iter().all(has_ended);
            needs_acks |= progress.has_failed_release && !all_ended;
            if let GrantState::Idle { not_before } = progress.granting
                && all_ended
                && may_grant
                && now >= not_before
            {
                progress.granting = GrantState::Sent;
                actions.push(Action::Grant(Grant {
                    first: span.first,
                    last: span.last,
                    holder: span.owner.clone(),
                    fence: span.fence,
                    handover: progress.handover.clone(),
                }));
            }
        }
        if needs_acks || !table.retired.is_empty() {
            let pause = if needs_acks { ACK_REQUEST_INTERVAL } else { IDLE_ACK_REQUEST_INTERVAL };
            self.request_acks(&table, pause, now, actions);
        }
    }

    /// Requests an acknowledgement of the table from each host that may renew grants and has not sent one.
    fn request_acks(
        &mut self,
        table: &Table,
        pause: Millis,
        now: HostTime,
        actions: &mut Vec<Action>,
    ) {
        for host in possible_renewers(table) {
            if self.acks.get(&host).is_some_and(|ack| ack.version >= table.version) {
                continue;
            }
            let requested_at = self.ack_requested_at.entry(host.clone()).or_default();
            if now.since(*requested_at) >= pause {
                *requested_at = now;
                actions.push(Action::RequestAck(host));
            }
        }
    }

    /// Returns whether all grants of a span's keys to a former holder have certainly expired, and those to earlier
    /// incarnations, which it may have taken.
    fn has_expired(
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
        possible_renewers(table).iter().all(|host| {
            self.acks.get(host).is_some_and(|ack| {
                let sent = ack.sent.iter().filter(|(sent, _)| {
                    sent.holder.is_reached_as(holder)
                        && sent.first <= span.last
                        && span.first <= sent.last
                });
                let sent_at = sent.map(|(_, at)| *at).max().unwrap_or(ack.unlisted_sent_at);
                ack.version >= table.version && now.since(sent_at) >= self.timing.grant_expiry()
            })
        })
    }

    /// Returns whether a host renews no grants any more, as it acknowledged the table that does not name it as a keeper,
    /// and all grants that it sent before have expired. They must be asked for as long as they have not: its successor as
    /// keeper does not know of them.
    fn grants_have_expired(&self, host: &HostId, table: &Table, now: HostTime) -> bool {
        let expiry = self.timing.grant_expiry();
        self.acks.get(host).is_some_and(|ack| {
            ack.version >= table.version
                && now.since(ack.unlisted_sent_at) >= expiry
                && ack.sent.iter().all(|(_, sent_at)| now.since(*sent_at) >= expiry)
        })
    }

    /// Returns the next version of the table with confirmed grants, changed owners and changed keepers, `None` if it
    /// is the same.
    fn next_table(&mut self, inputs: &Inputs, now: HostTime) -> Option<Table> {
        if inputs.search == Search::Pending {
            // A version that this leader does not know may precede the record.
            return None;
        }
        self.avoided_until.retain(|_, until| *until > now);
        let candidates: Vec<Candidate> = inputs
            .candidates
            .iter()
            .filter(|candidate| !self.avoided_until.contains_key(&candidate.holder))
            .cloned()
            .collect();
        let Some(table) = self.table.clone() else {
            return self.first_table(inputs, &candidates, now);
        };
        let mut next = match inputs.copy.filter(|copy| table.is_of_earlier_copy(*copy)) {
            Some(copy) => restored::carried_on(&table, copy, inputs.recall, self.timing, now)?,
            None => table.clone(),
        };
        self.mark_granted(&mut next);
        self.raise_refused_tokens(&mut next, now);
        let available: FastSet<&Holder> = candidates.iter().map(|c| &c.holder).collect();
        let has_lost_owner = |span: &Span| !available.contains(&span.owner);
        let is_urgent = next.spans.iter().any(has_lost_owner);
        if inputs.is_leaving {
            return Self::with_next_version(next, &table, inputs);
        }
        if is_urgent || now.since(self.planned_at) >= PLAN_INTERVAL {
            self.planned_at = now;
            if let Some(spans) = plan::next_spans(&next, &candidates, &inputs.rates) {
                next.spans = spans;
                next.next_fence = FencingToken(next.next_fence.0 + 1);
            }
        }
        self.choose_keepers(&mut next, inputs, now);
        Self::with_next_version(next, &table, inputs)
    }

    /// Returns `next` with the version after that of `table`, `None` if the two are equal and the recorded one can be read.
    fn with_next_version(next: Table, table: &Table, inputs: &Inputs) -> Option<Table> {
        let is_due = next != *table || inputs.is_record_unreadable;
        let copy = inputs.copy.or(next.copy);
        is_due.then(|| Table { version: next.version + 1, copy, ..next })
    }

    fn first_table(
        &mut self,
        inputs: &Inputs,
        candidates: &[Candidate],
        now: HostTime,
    ) -> Option<Table> {
        if candidates.is_empty() {
            return None;
        }
        let first_at = *self.first_candidate_at.get_or_insert(now);
        if candidates.len() > self.candidate_count {
            self.last_candidate_at = now;
        }
        self.candidate_count = candidates.len();
        if inputs.uptime < restored::MIN_FIRST_TABLE_UPTIME {
            return None;
        }
        let is_quiet = now.since(self.last_candidate_at) >= FIRST_TABLE_QUIET_TIME;
        if !is_quiet && now.since(first_at) < MAX_FIRST_TABLE_DELAY {
            return None;
        }
        let (version, fence) = if inputs.is_record_unreadable {
            inputs.search.unused_numbers(inputs.copy, self.timing, now)?
        } else {
            inputs.recall.first_numbers(inputs.copy, self.timing, now)?
        };
        let mut table = Table {
            service: self.service.clone(),
            version,
            copy: inputs.copy,
            leader: self.own_host.clone(),
            keepers: Vec::new(),
            retired: Vec::new(),
            next_fence: FencingToken(fence.0 + 1),
            spans: plan::initial_spans(candidates, fence),
        };
        self.choose_keepers(&mut table, inputs, now);
        Some(table)
    }

    /// Sets `is_granted` for the spans whose owners confirmed their grants, and removes the former grants.
    fn mark_granted(&self, table: &mut Table) {
        for span in &mut table.spans {
            let Some(progress) = self.moves.get(&(span.first, span.last, span.fence)) else {
                continue;
            };
            if progress.granting == GrantState::Done {
                span.is_granted = true;
                span.former.clear();
            }
        }
    }

    /// Gives larger tokens to spans whose holders have refused theirs for so long that no other grant can be in force. They have
    /// seen tokens that this table does not know of, and would refuse it for good.
    fn raise_refused_tokens(&self, table: &mut Table, now: HostTime) {
        let wait = self.timing.expiry_without_acks();
        let is_refused = |span: &&mut Span| {
            let progress = self.moves.get(&(span.first, span.last, span.fence));
            let since = progress.and_then(|progress| progress.fenced_since);
            !span.is_granted && since.is_some_and(|since| now.since(since) >= wait)
        };
        let fence = FencingToken(table.next_fence.0 + restored::NUMBERS_PER_COPY);
        for span in table.spans.iter_mut().filter(is_refused) {
            span.fence = fence;
            table.next_fence = FencingToken(fence.0 + 1);
        }
    }

    /// Chooses the keepers: this host and one available host of each other availability zone. A host that reaches no
    /// upstream can't renew grants; beside it, a zone has another keeper if one of its hosts does.
    fn choose_keepers(&mut self, table: &mut Table, inputs: &Inputs, now: HostTime) {
        table.leader = self.own_host.clone();
        let is_available = |host: &HostId| inputs.hosts.iter().any(|keeper| keeper.host == *host);
        let mut keepers: Vec<Keeper> = Vec::new();
        let is_cut_off = |keeper: &Keeper| inputs.cut_off.contains(&keeper.host);
        let mut add = |keeper: &Keeper| {
            let mut neighbours = keepers.iter().filter(|other| other.zone == keeper.zone);
            let is_needed = if is_cut_off(keeper) {
                neighbours.next().is_none()
            } else {
                neighbours.all(is_cut_off)
            };
            if is_needed {
                keepers.push(keeper.clone());
            }
        };
        // A keeper also relays updates to its zone, so a much larger host replaces it.
        let is_outranked = |keeper: &Keeper| {
            let neighbours = inputs.hosts.iter().filter(|other| other.zone == keeper.zone);
            neighbours.into_iter().any(|other| other.size.is_much_larger_than(keeper.size))
        };
        let stays = |keeper: &&Keeper| is_available(&keeper.host) && !is_outranked(keeper);
        inputs.hosts.iter().filter(|k| k.host == self.own_host).for_each(&mut add);
        table.keepers.iter().filter(stays).filter(|k| !is_cut_off(k)).for_each(&mut add);
        inputs.hosts.iter().filter(|k| !is_cut_off(k)).for_each(&mut add);
        table.keepers.iter().filter(stays).for_each(&mut add);
        inputs.hosts.iter().for_each(&mut add);
        keepers.sort_by(|a, b| a.host.cmp(&b.host));
        let removed = table.keepers.iter().map(|keeper| keeper.host.clone());
        let mut retired: Vec<HostId> = table.retired.iter().cloned().chain(removed).collect();
        retired.retain(|host| !keepers.iter().any(|keeper| keeper.host == *host));
        retired.sort();
        retired.dedup();
        retired.retain(|host| {
            // Until its replacement is recorded, the host gets proof of the table that names it.
            if !table.retired.contains(host) {
                return true;
            }
            let since = *self.retired_since.entry(host.clone()).or_insert(now);
            let has_ended = self.grants_have_expired(host, table, now);
            !has_ended && now.since(since) < self.timing.expiry_without_acks()
        });
        self.retired_since.retain(|host, _| retired.contains(host));
        table.keepers = keepers;
        table.retired = retired;
    }
}

/// Returns the hosts that may renew grants of a table or of an earlier version.
fn possible_renewers(table: &Table) -> Vec<HostId> {
    let keepers = table.keepers.iter().map(|keeper| keeper.host.clone());
    keepers.chain(table.retired.iter().cloned()).collect()
}
