//! The control thread, which owns the folded state, the leases, the membership and the timeline, and
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
use crate::links::SharedLinks;
use crate::routing_table::{RangeRoute, SharedRoutingTable, SharedServiceState};
use crate::settings::Settings;
use crate::shared_state::{LogProof, SharedServingState};
use crate::upstream_queue::UpstreamQueue;
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

/// Interval between ticks; short because the timers of leases, probes of other hosts and grants are
/// hundreds of milliseconds.
const TICK_INTERVAL_MS: Millis = Millis(50);
const MAINTENANCE_INTERVAL_MS: Millis = Millis(500);
/// Time for which a leaving host still accepts leases that other hosts planned for it before they
/// knew that it leaves.
const LEAVE_NOTICE_MS: Millis = Millis(700);
/// Maximum time for which a leaving host waits for other hosts to confirm the leases it released.
const RELEASE_CONFIRMATION_TIMEOUT_MS: Millis = Millis(2_000);
/// Time for which a host that has left still runs, so that its last releases are sent.
const FINAL_SEND_DELAY_MS: Millis = Millis(50);

/// Dependencies of the control thread.
pub struct Dependencies {
    /// Settings of the daemon.
    pub settings: Settings,
    /// This incarnation of the daemon.
    pub me: Member,
    /// Executor for calls to the platform, upstreams and other hosts.
    pub executor: Executor,
    /// Connections for the calls of the control thread.
    pub pool: Pool,
    /// Client of the platform's log.
    pub log: Log,
    /// Connections for sending to other hosts.
    pub links: SharedLinks,
    /// The routing table, shared with the traffic threads.
    pub table: SharedRoutingTable,
    /// Serving state of the daemon, shared with the traffic threads.
    pub serving_state: SharedServingState,
    /// Proof that the routing table has all records of the log.
    pub log_proof: LogProof,
    /// Channel on which calls report their outcome to the control thread.
    pub events: Sender<Event>,
    /// Channel that requests another fetch of the host list.
    pub host_list_requests: Sender<()>,
}

/// The control thread's state.
pub struct Control {
    deps: Dependencies,
    fold: Fold,
    node: Node,
    membership: Membership,
    journal: Journal,
    verdicts: Verdicts,
    /// The latest records read, for hosts that can't read the log.
    recent_records: VecDeque<(Offset, String)>,
    assembler: Assembler,
    slots: FastMap<RangeId, Arc<RangeRoute>>,
    upstream_queues: FastMap<UpstreamKey, Arc<UpstreamQueue>>,
    upstreams: FastMap<UpstreamKey, UpstreamState>,
    shared: FastMap<ServiceName, Arc<SharedServiceState>>,
    served: BTreeMap<RangeId, ServedRange>,
    /// Memory chunks received for ranges that this host has not acquired yet.
    early_chunks: FastMap<RangeId, Vec<Chunk>>,
    /// Moves to other upstreams that are not proposed yet.
    pending_moves: Vec<skylarkdock_records::envelope::RangeChange>,
    /// When a change of a range was last proposed.
    last_proposed: FastMap<RangeId, HostTime>,
    /// Since when hosts have been live or, if later, when a lease that they let lapse was taken over.
    stable_since: FastMap<Member, HostTime>,
    /// When the last direct message of a host arrived.
    last_heard: FastMap<Member, HostTime>,
    /// Since when a range has had no assignment or no majority of live members.
    unheld_since: FastMap<RangeId, HostTime>,
    log_failed_since: Option<HostTime>,
    last_plan: HostTime,
    plan_due: bool,
    last_maintenance: HostTime,
    last_tick: HostTime,
    last_gossip: HostTime,
    serve_due: bool,
    /// Ranges held here, with the epoch and the offset of the newest assignment that may be acted on.
    holds: BTreeMap<RangeId, (Epoch, Offset)>,
    last_fetch: HostTime,
    checkpoints: checkpoints::Checkpoints,
    leaving: bool,
    release_leases_at: Option<HostTime>,
    leaving_since: Option<HostTime>,
}

impl Control {
    /// Creates the state of a daemon that has just started.
    pub fn new(deps: Dependencies) -> Self {
        let now = clock::host_time();
        let membership = hosts::membership(&deps.settings, &deps.me);
        let journal = journal::start(&deps.me);
        Self {
            fold: Fold::default(),
            node: Node::new(deps.me.clone(), Timing::default(), now),
            membership,
            journal,
            verdicts: Verdicts::default(),
            recent_records: VecDeque::new(),
            assembler: Assembler::default(),
            slots: FastMap::default(),
            upstream_queues: FastMap::default(),
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
            last_maintenance: now,
            last_tick: now,
            last_gossip: now,
            serve_due: true,
            holds: BTreeMap::new(),
            last_fetch: now,
            checkpoints: checkpoints::Checkpoints::default(),
            leaving: false,
            release_leases_at: None,
            leaving_since: None,
            deps,
        }
    }

    /// Handles events until the host has left.
    pub async fn run(mut self, inbox: Receiver<Event>) {
        loop {
            let next = async { inbox.recv().await.ok() };
            let tick = async {
                Timer::after(TICK_INTERVAL_MS.duration()).await;
                None
            };
            if let Some(event) = next.or(tick).await {
                self.handle(event);
                // Handle all queued events before the ranges and the table are updated.
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
            Event::LogLoaded { state, asked_at } => self.adopt_log_state(*state, asked_at),
            Event::LogRead { page, asked_at } => self.handle_log_page(page, asked_at),
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
        let tick_due = now.since(self.last_tick) >= TICK_INTERVAL_MS;
        if tick_due {
            self.last_tick = now;
            self.tick_membership(now);
            self.step_node(skylarkdock_ownership::Input::Tick);
            self.release_leases_if_due(now);
        }
        if tick_due || self.serve_due {
            self.serve_due = false;
            self.serve(now);
            self.flush_moves(now);
        }
        self.fetch_state_if_log_unreachable(now);
        self.verdicts.expire(now);
        self.plan_if_due(now);
        if now.since(self.last_maintenance) >= MAINTENANCE_INTERVAL_MS {
            self.last_maintenance = now;
            self.write_checkpoint_if_due(now);
            self.update_gauges();
        }
    }

    fn leave(&mut self) {
        if self.leaving {
            return;
        }
        self.leaving = true;
        ::log::info!("control: this host is leaving.");
        self.deps.serving_state.set(ServingState::Draining);
        self.record_event(skylarkdock_timeline::kind::EventKind::DrainStarted);
        self.step_membership(skylarkdock_membership::Input::Leave);
        self.leaving_since = Some(clock::host_time());
        self.release_leases_at = Some(clock::host_time() + LEAVE_NOTICE_MS);
    }

    /// Releases the leases once the other hosts have had time to learn that this host leaves.
    fn release_leases_if_due(&mut self, now: HostTime) {
        if self.release_leases_at.is_some_and(|at| now >= at) {
            self.release_leases_at = None;
            self.step_node(skylarkdock_ownership::Input::Leave);
        }
    }

    fn has_left(&self) -> bool {
        let releases_done =
            self.node.unconfirmed_releases() == 0 || self.release_confirmation_timed_out();
        self.release_leases_at.is_none()
            && releases_done
            && self.served.is_empty()
            && self.node.holds().next().is_none()
    }

    /// Returns whether the time for other hosts to confirm the released leases has passed.
    fn release_confirmation_timed_out(&self) -> bool {
        let since = self.leaving_since.unwrap_or_default();
        clock::host_time().since(since) >= RELEASE_CONFIRMATION_TIMEOUT_MS
    }

    async fn finish(&mut self) {
        self.record_event(skylarkdock_timeline::kind::EventKind::DrainDone);
        // The last releases may not have been sent yet.
        Timer::after(FINAL_SEND_DELAY_MS.duration()).await;
    }

    fn update_gauges(&self) {
        metrics::gauge!("skylarkdock_ranges_held")
            .set(crate::utils::metric_value(self.served.len()));
        metrics::gauge!("skylarkdock_applied_offset")
            .set(crate::utils::metric_value(self.fold.state().applied.0 as usize));
    }
}
