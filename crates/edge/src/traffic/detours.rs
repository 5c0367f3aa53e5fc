//! Detours of requests over other hosts, and probes of the paths that failed.

use super::Traffic;
use super::attempt::Attempt;
use crate::client::{Failure, Outgoing, Reply};
use crate::clock;
use crate::detour::{self, DetourError};
use crate::listing::ListingUpdate;
use crate::net::ConnectError;
use async_io::Timer;
use metrics::{counter, gauge};
use skylarkdock_dispatch::paths::Intermediary;
use skylarkdock_dispatch::regions::AllowedRegions;
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Shortest time between two updates of the gauges.
const GAUGE_INTERVAL: Millis = Millis(1_000);
/// Shortest time between two checks of a path whose answers are late.
const PATH_CHECK_INTERVAL: Millis = Millis(2_000);

impl Traffic {
    /// Sends a request to an upstream over another host. `direct` is the error of the direct connection, if one was
    /// tried.
    ///
    /// # Errors
    ///
    /// Fails if no other host reaches the upstream either, with [`io::ErrorKind::ConnectionRefused`] only if the
    /// upstream refused a connection and none was opened from elsewhere.
    pub(super) async fn exchange_over_detour(
        &self,
        addr: SocketAddr,
        req: &Outgoing,
        attempt: &Attempt<'_>,
        timeout: Millis,
        direct: Option<io::Error>,
    ) -> Result<Result<Reply, Failure>, ConnectError> {
        let intermediaries = self.intermediaries(attempt.regions);
        // Hosts outside the allowed regions might reach the upstream, but are not asked.
        let is_only_host = self.view.borrow().peers().is_empty();
        let paths = self.status.paths();
        let call = (req, attempt.is_once);
        let forwarded = self.detour_client.call(paths, &intermediaries, addr, call, timeout).await;
        let result = match &forwarded {
            Ok(Ok(_)) => "answered",
            Ok(Err(_)) => "unknown",
            Err(DetourError::Shortage(_)) => "shortage",
            Err(_) => "no_path",
        };
        counter!("skylarkdock_detours_total", "result" => result).increment(1);
        match (forwarded, direct) {
            (Ok(result), _) => Ok(result),
            (Err(_), Some(direct)) if is_only_host => Err(ConnectError::Path(direct)),
            // What this host learnt itself says more than that another one does not reach it either.
            (Err(DetourError::Unreached), Some(direct)) => Err(ConnectError::Path(direct)),
            (Err(error), _) => Err(error.into()),
        }
    }

    /// Returns the hosts that a call may go over whose request may be sent to some regions.
    pub(super) fn intermediaries(&self, allowed: &AllowedRegions) -> Vec<Intermediary> {
        let view = self.view.borrow();
        let hosts = view.peers().iter().map(|peer| (peer.calls, &peer.region));
        Intermediary::list(hosts, &self.settings.region, allowed)
    }

    /// Checks the path to an upstream whose answer is late: a connection that lives on may have gone silent.
    pub(super) fn check_path(&self, id: &UpstreamId) {
        let listing = self.listing.borrow();
        let Some(addr) = listing.get(id).map(|listed| listed.entry.addr) else { return };
        let now = clock::now();
        let mut checked_at = self.path_checked_at.borrow_mut();
        if checked_at.get(&addr).is_some_and(|at| now.since(*at) < PATH_CHECK_INTERVAL)
            || !self.status.paths().lock().is_direct(addr)
        {
            return;
        }
        checked_at.insert(addr, now);
        let (status, pool) = (std::sync::Arc::clone(&self.status), Rc::clone(&self.pool));
        let probe = async move {
            match detour::probe(status.paths(), addr).await {
                Ok(conn) => pool.borrow_mut().put(addr, conn, 1),
                Err(ConnectError::Path(_)) => pool.borrow_mut().close_all(addr),
                Err(ConnectError::Shortage(_)) => {}
            }
        };
        self.ex.spawn(probe).detach();
    }

    /// Probes the paths that failed until they work again.
    pub(super) async fn probe_failed_paths(self: Rc<Self>) {
        let mut gauges_set_at = HostTime::default();
        loop {
            let interval = self.status.paths().lock().check_interval();
            Timer::after(interval.duration()).await;
            let now = clock::now();
            let (due, is_cut_off) = {
                let mut paths = self.status.paths().lock();
                (paths.take_due_probes(now), paths.is_cut_off())
            };
            if now.since(gauges_set_at) >= GAUGE_INTERVAL {
                gauges_set_at = now;
                let (resting, pressed) = {
                    let services = self.services.borrow();
                    let pressed =
                        services.values().filter(|state| state.service.is_value_rule_in_force());
                    let pressed = u32::try_from(pressed.count()).unwrap_or(u32::MAX);
                    let upstreams = services.values().flat_map(|state| state.service.upstreams());
                    let resting = upstreams.filter(|upstream| upstream.rest_until(now).is_some());
                    (u32::try_from(resting.count()).unwrap_or(u32::MAX), pressed)
                };
                gauge!("skylarkdock_services_pressed").set(f64::from(pressed));
                gauge!("skylarkdock_upstreams_resting").set(f64::from(resting));
                gauge!("skylarkdock_cut_off").set(f64::from(u8::from(is_cut_off)));
            }
            for addr in due {
                let traffic = Rc::clone(&self);
                let probe = async move {
                    if let Ok(conn) = detour::probe(traffic.status.paths(), addr).await {
                        traffic.pool.borrow_mut().put(addr, conn, 1);
                    }
                };
                self.ex.spawn(probe).detach();
            }
        }
    }

    /// Adds the paths to newly listed upstreams, and forgets those to upstreams that are no longer listed.
    pub(super) fn apply_paths(&self, update: &ListingUpdate) {
        if update.added_addrs.is_empty() && update.removed_addrs.is_empty() {
            return;
        }
        let mut checked_at = self.path_checked_at.borrow_mut();
        let mut paths = self.status.paths().lock();
        for addr in &update.added_addrs {
            paths.add_upstream(*addr);
        }
        for addr in &update.removed_addrs {
            checked_at.remove(addr);
            paths.remove_upstream(*addr);
        }
    }
}
