//! Limited upstreams: the permits that simulated hosts exchange, and the count of the arrivals.

use crate::policy::HostRouter;
use crate::shape::Shape;
use crate::stats::LimitStats;
use skylarkdock_dispatch::permits::{Limit, PermitPool, PermitReply, PermitRequest};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::ids::{HostId, UpstreamId};
use skylarkdock_units::times::HostTime;

/// Length of the window in which arrivals are counted.
const WINDOW_MS: u64 = 4_000;
/// Arrivals in a window that are allowed, as a multiple of the limit.
const ALLOWED_FACTOR: f64 = 1.5;
/// Arrivals that are allowed in a window besides that.
const ALLOWED_CONSTANT: f64 = 5.0;
/// Multiples of it modulo 1 are spread evenly.
const GOLDEN_RATIO: f32 = 0.618_034;
/// Time after which hosts have to keep to a limit that is new.
const SETTLING_MS: u64 = 3_000;

/// Message between hosts about the permits for an upstream.
#[derive(Debug, Clone, Copy)]
pub enum Message {
    /// Requests permits.
    Request(PermitRequest),
    /// Answers a request.
    Reply(PermitReply),
}

/// Message on its way.
#[derive(Debug, Clone, Copy)]
pub struct Envelope {
    /// Index of the sender.
    pub from: usize,
    /// Index of the receiver.
    pub to: usize,
    /// Index of the upstream.
    pub upstream: usize,
    /// Content.
    pub message: Message,
}

/// Permits of all hosts.
pub struct Limits {
    host_ids: Vec<HostId>,
    upstream_ids: Vec<UpstreamId>,
    index_by_host: FastMap<HostId, usize>,
    /// Pools of each host, by upstream.
    pools: Vec<FastMap<usize, PermitPool>>,
    /// When requests arrived at each upstream.
    arrivals: Vec<Vec<u64>>,
}

impl Limits {
    /// Creates the state of `hosts` hosts without pools.
    pub fn new(hosts: u32, upstream_ids: &[UpstreamId]) -> Self {
        let host_ids: Vec<HostId> =
            (0..hosts).filter_map(|index| format!("h-{index}").parse().ok()).collect();
        Self {
            index_by_host: host_ids.iter().cloned().zip(0..).collect(),
            host_ids,
            upstream_ids: upstream_ids.to_vec(),
            pools: vec![FastMap::default(); hosts as usize],
            arrivals: vec![Vec::new(); upstream_ids.len()],
        }
    }

    /// Records a request that reaches an upstream.
    pub fn on_arrival(&mut self, upstream: usize, now_ms: u64) {
        self.arrivals[upstream].push(now_ms);
    }

    /// Returns the messages that a host sends now. Permits that it issues to itself are added to `router`.
    pub fn requests(
        &mut self,
        host: usize,
        router: &mut HostRouter,
        now: HostTime,
    ) -> Vec<Envelope> {
        let mut outgoing = Vec::new();
        for (id, demand) in router.service().take_demands() {
            let Some(upstream) = self.upstream_ids.iter().position(|known| *known == id) else {
                continue;
            };
            let Some(state) = router.service().upstream_mut(&id) else { continue };
            let ids = &self.host_ids;
            let preferred = |avoided: &[HostId]| {
                let order = (0..ids.len()).map(|offset| &ids[(upstream * 7 + offset) % ids.len()]);
                let mut usable = order.filter(|id| **id == ids[host] || !avoided.contains(id));
                usable.next().unwrap_or(&ids[host]).clone()
            };
            let Some((issuer, request)) = state.permits_mut().next_request(demand, preferred, now)
            else {
                continue;
            };
            let Some(&to) = self.index_by_host.get(&issuer) else { continue };
            let message = Message::Request(request);
            if to != host {
                outgoing.push(Envelope { from: host, to, upstream, message });
            } else if let Some(reply) = self.issue(host, host, upstream, &request, now) {
                state.permits_mut().on_reply(&issuer, &reply, now);
            }
        }
        outgoing
    }

    /// Handles a message and returns the answer to it, if there is one.
    pub fn on_message(
        &mut self,
        envelope: Envelope,
        router: &mut HostRouter,
        now: HostTime,
    ) -> Option<Envelope> {
        let Envelope { from, to, upstream, message } = envelope;
        match message {
            Message::Request(request) => {
                let reply = self.issue(to, from, upstream, &request, now)?;
                Some(Envelope { from: to, to: from, upstream, message: Message::Reply(reply) })
            }
            Message::Reply(reply) => {
                let state = router.service().upstream_mut(&self.upstream_ids[upstream])?;
                state.permits_mut().on_reply(&self.host_ids[from], &reply, now);
                None
            }
        }
    }

    fn issue(
        &mut self,
        issuer: usize,
        host: usize,
        upstream: usize,
        request: &PermitRequest,
        now: HostTime,
    ) -> Option<PermitReply> {
        let hosts = u32::try_from(self.host_ids.len()).unwrap_or(u32::MAX);
        let pool = self.pools[issuer]
            .entry(upstream)
            .or_insert_with(|| PermitPool::new(phase(issuer), now));
        pool.on_request((host as u64) << 32, request, hosts, now)
    }

    /// Returns the limits of a host's pools that it announces.
    pub fn announcements(&self, host: usize) -> Vec<(usize, Limit)> {
        let pools = self.pools[host].iter();
        let limits = pools.map(|(upstream, pool)| (*upstream, pool.limit()));
        limits.filter(|(_, limit)| limit.rate.is_some()).collect()
    }

    /// Handles an announcement.
    pub fn on_announcement(
        &self,
        router: &mut HostRouter,
        from: usize,
        upstream: usize,
        limit: Limit,
    ) {
        if let Some(state) = router.service().upstream_mut(&self.upstream_ids[upstream]) {
            state.permits_mut().on_heard(&self.host_ids[from]);
            state.permits_mut().merge(limit);
        }
    }

    /// Counts the arrivals at the upstreams in the periods in which they named a limit.
    #[expect(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    pub fn stats(&self, shape: &Shape, start_ms: u64) -> LimitStats {
        let mut stats = LimitStats::default();
        let groups = shape.upstreams.iter();
        let limits = groups.flat_map(|group| (0..group.count).map(|_| &group.limits));
        for (arrivals, periods) in self.arrivals.iter().zip(limits) {
            for period in periods {
                let first_ms = start_ms + period.at_ms + SETTLING_MS;
                let end_ms = start_ms + (period.at_ms + period.for_ms).min(shape.length_ms);
                let counted: Vec<u64> =
                    arrivals.iter().copied().filter(|at| (first_ms..end_ms).contains(at)).collect();
                let allowed = period.x * WINDOW_MS as f64 / 1_000.0;
                let most = most_in_window(&counted) as f64;
                stats.worst_rate = stats.worst_rate.max(most / allowed);
                let bound = allowed * ALLOWED_FACTOR + ALLOWED_CONSTANT;
                stats.worst_window = stats.worst_window.max(most / bound);
                stats.arrivals += counted.len() as u64;
                stats.allowed += period.x * end_ms.saturating_sub(first_ms) as f64 / 1_000.0;
            }
        }
        stats
    }
}

fn most_in_window(arrivals: &[u64]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (index, at) in arrivals.iter().enumerate() {
        while at - arrivals[first] >= WINDOW_MS {
            first += 1;
        }
        most = most.max(index + 1 - first);
    }
    most
}

/// Returns a number from 0 to 1 that differs between hosts.
#[expect(clippy::cast_precision_loss, reason = "a count of hosts")]
fn phase(host: usize) -> f32 {
    (host as f32 * GOLDEN_RATIO).fract()
}
