//! The control thread: it owns the fold, the leases, the membership and the time line, and
//! publishes the routing table.

pub mod admin;
pub mod events;
pub mod log;
pub mod upstreams;

mod catchup;
mod checkpoints;
mod hosts;
mod journal;
mod leases;
mod planning;
mod records;
mod serving;
mod tables;
mod verdicts;

use crate::clock;
use crate::control::events::{Event, UpstreamKey};
use crate::control::serving::{ServedRange, UpstreamState};
use crate::control::verdicts::Verdicts;
use crate::desk::Desk;
use crate::exchange::Phase;
use crate::links::SharedLinks;
use crate::settings::Settings;
use crate::table::{RangeSlot, Shared, SharedTable};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::FutureExt;
use skylarkdock_admin::status::ServingState;
use skylarkdock_fold::Fold;
use skylarkdock_fold::checkpoint::Assembler;
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_logclient::Log;
use skylarkdock_membership::Membership;
use skylarkdock_outcomes::handover::Chunk;
use skylarkdock_ownership::{Node, Timing};
use skylarkdock_timeline::journal::Journal;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{Epoch, Member, Offset, RangeId, ServiceName};
use skylarkdock_units::times::{HostTime, Millis};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Time between looks at what is due: leases, probes of other hosts and grants have times of hundreds of milliseconds.
const TICK_MS: Millis = Millis(50);
const CHORES_MS: Millis = Millis(500);
/// Time in which a leaving host still takes the leases that others planned for it before they knew.
const LEAVE_NOTICE_MS: Millis = Millis(700);
/// Longest time in which a leaving host waits for others to confirm what it released.
const CONFIRM_MS: Millis = Millis(2_000);
const DRAINED_POLL_MS: Millis = Millis(50);

/// What the control thread works with.
pub struct Parts {
    /// The settings.
    pub settings: Settings,
    /// This host's running daemon.
    pub me: Member,
    /// Runs calls to platform, upstreams and hosts.
    pub executor: Executor,
    /// Connections for control calls.
    pub pool: Pool,
    /// The platform's log.
    pub log: Log,
    /// Connections to other hosts.
    pub links: SharedLinks,
    /// The routing table.
    pub table: SharedTable,
    /// What the daemon does at the moment.
    pub phase: Phase,
    /// Where calls report their end.
    pub events: Sender<Event>,
    /// Asks for the host list anew.
    pub new_host: Sender<()>,
}

/// The control thread's state.
pub struct Control {
    parts: Parts,
    fold: Fold,
    node: Node,
    membership: Membership,
    journal: Journal,
    verdicts: Verdicts,
    /// The last records read, for hosts that can't reach the log.
    recent: VecDeque<(Offset, String)>,
    assembler: Assembler,
    slots: FastMap<RangeId, Arc<RangeSlot>>,
    desks: FastMap<UpstreamKey, Arc<Desk>>,
    upstreams: FastMap<UpstreamKey, UpstreamState>,
    shared: FastMap<ServiceName, Arc<Shared>>,
    served: BTreeMap<RangeId, ServedRange>,
    early_chunks: FastMap<RangeId, Vec<Chunk>>,
    /// Moves to other upstreams that the next record will carry.
    pending_moves: Vec<skylarkdock_records::envelope::RangeChange>,
    last_proposed: FastMap<RangeId, HostTime>,
    stable_since: FastMap<Member, HostTime>,
    /// When hosts were last heard of directly.
    last_heard: FastMap<Member, HostTime>,
    unheld_since: FastMap<RangeId, HostTime>,
    log_failed_since: Option<HostTime>,
    last_plan: HostTime,
    plan_due: bool,
    last_chores: HostTime,
    last_tick: HostTime,
    last_gossip: HostTime,
    serve_due: bool,
    /// Leases held here, with the newest assignment offset that may be acted on.
    holds: BTreeMap<RangeId, (Epoch, Offset)>,
    last_fetch: HostTime,
    checkpoints: checkpoints::Checkpoints,
    leaving: bool,
    leave_leases_at: Option<HostTime>,
    leaving_since: Option<HostTime>,
}

impl Control {
    /// Builds the state of a daemon that has just started.
    pub fn new(parts: Parts) -> Self {
        let now = clock::host_time();
        let membership = hosts::membership(&parts.settings, &parts.me);
        let journal = journal::start(&parts.me);
        Self {
            fold: Fold::default(),
            node: Node::new(parts.me.clone(), Timing::default(), now),
            membership,
            journal,
            verdicts: Verdicts::default(),
            recent: VecDeque::new(),
            assembler: Assembler::default(),
            slots: FastMap::default(),
            desks: FastMap::default(),
            upstreams: FastMap::default(),
            shared: FastMap::default(),
            served: BTreeMap::new(),
            early_chunks: FastMap::default(),
            pending_moves: Vec::new(),
            last_proposed: FastMap::default(),
            stable_since: FastMap::default(),
            last_heard: FastMap::default(),
            unheld_since: FastMap::default(),
            log_failed_since: None,
            last_plan: now,
            plan_due: true,
            last_chores: now,
            last_tick: now,
            last_gossip: now,
            serve_due: true,
            holds: BTreeMap::new(),
            last_fetch: now,
            checkpoints: checkpoints::Checkpoints::default(),
            leaving: false,
            leave_leases_at: None,
            leaving_since: None,
            parts,
        }
    }

    /// Handles events until the daemon has left.
    pub async fn run(mut self, inbox: Receiver<Event>) {
        loop {
            let next = async { inbox.recv().await.ok() };
            let tick = async {
                Timer::after(TICK_MS.duration()).await;
                None
            };
            if let Some(event) = next.or(tick).await {
                self.handle(event);
                // What is there already is handled before the table is made anew.
                while let Ok(event) = inbox.try_recv() {
                    self.handle(event);
                }
            }
            self.tick();
            if self.leaving && self.has_left() {
                self.finish().await;
                return;
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::LogLoaded(state) => self.adopt_log_state(*state),
            Event::LogRead(page) => self.handle_log_page(page),
            Event::LogFailed => self.handle_log_failure(),
            Event::AppendFinished { id, result } => self.handle_append_result(id, result),
            Event::HostListFetched(hosts) => self.handle_host_list(hosts),
            Event::Link(event) => self.handle_link_event(event),
            Event::Report(report) => self.handle_report(report),
            Event::GrantCallFinished { key, outcome } => self.handle_grant_outcome(&key, outcome),
            Event::WithdrawalFinished { key, ranges, confirmed } => {
                self.handle_withdrawal(&key, &ranges, confirmed);
            }
            Event::HealthChecked { key, health } => self.handle_health(&key, health),
            Event::Admin(call) => self.handle_admin_call(call),
            Event::Leave => self.leave(),
        }
    }

    fn tick(&mut self) {
        let now = clock::host_time();
        let ticked = now.since(self.last_tick) >= TICK_MS;
        if ticked {
            self.last_tick = now;
            self.tick_membership(now);
            self.step_node(skylarkdock_ownership::Input::Tick);
            self.give_up_leases_if_due(now);
        }
        if ticked || self.serve_due {
            self.serve_due = false;
            self.serve(now);
            self.flush_moves(now);
        }
        self.fetch_state_if_log_unreachable(now);
        self.verdicts.expire(now);
        self.plan_if_due(now);
        if now.since(self.last_chores) >= CHORES_MS {
            self.last_chores = now;
            self.write_checkpoint_if_due(now);
            self.update_gauges();
        }
    }

    fn leave(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        ::log::info!("control: leaving.");
        self.parts.phase.set(ServingState::Draining);
        self.record_event(skylarkdock_timeline::kind::EventKind::DrainStarted);
        self.step_membership(skylarkdock_membership::Input::Leave);
        self.leaving_since = Some(clock::host_time());
        self.leave_leases_at = Some(clock::host_time() + LEAVE_NOTICE_MS);
    }

    /// Gives up the leases once every host that could still plan with this one has had notice.
    fn give_up_leases_if_due(&mut self, now: HostTime) {
        if self.leave_leases_at.is_some_and(|at| now >= at) {
            self.leave_leases_at = None;
            self.step_node(skylarkdock_ownership::Input::Leave);
        }
    }

    fn has_left(&self) -> bool {
        let told = self.node.unconfirmed_releases() == 0 || self.gave_up_waiting();
        self.leave_leases_at.is_none()
            && told
            && self.served.is_empty()
            && self.node.holds().next().is_none()
    }

    /// Tells whether other hosts had long enough to confirm what was released to them.
    fn gave_up_waiting(&self) -> bool {
        let since = self.leaving_since.unwrap_or_default();
        clock::host_time().since(since) >= CONFIRM_MS
    }

    async fn finish(&mut self) {
        self.record_event(skylarkdock_timeline::kind::EventKind::DrainDone);
        // The last releases are still on their way.
        Timer::after(DRAINED_POLL_MS.duration()).await;
    }

    fn update_gauges(&self) {
        metrics::gauge!("skylarkdock_ranges_held").set(crate::utils::float(self.served.len()));
        metrics::gauge!("skylarkdock_applied_offset")
            .set(crate::utils::float(self.fold.state().applied.0 as usize));
    }
}
