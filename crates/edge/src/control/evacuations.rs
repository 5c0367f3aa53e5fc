//! Evacuated availability zones: what this host reads of them in the operators' topic, gets from other hosts and passes on.
//! [`skylarkdock_freshness::evacuations`] decides what counts.

use super::{Control, FleetState};
use crate::clock;
use crate::store::{Page, Topic};
use crate::view::Config;
use async_io::Timer;
use metrics::gauge;
use serde::{Deserialize, Serialize};
use skylarkdock_freshness::evacuations::{
    Evacuations, MAX_LAG, MAX_STARTUP_WAIT, PassedState, Times,
};
use skylarkdock_units::collections::FastSet;
use skylarkdock_units::ids::{UpstreamId, Zone};
use skylarkdock_units::times::{HostTime, Millis};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

/// Time between two checks for evacuations that count no longer, and for waits that are over.
const CHECK_INTERVAL: Millis = Millis(200);

/// Where a host learns of evacuations from, as named in logs.
#[derive(Debug, Clone, Copy)]
pub(super) enum Source {
    /// The store.
    Store,
    /// Updates of another host.
    Updates,
    /// A configuration that was fetched from another host.
    Fetch,
    /// Nobody: an earlier copy of the store had it, and the newest one does not in time.
    EarlierCopy,
}

impl Source {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Updates => "updates",
            Self::Fetch => "fetch",
            Self::EarlierCopy => "earlier_copy",
        }
    }
}

/// Evacuated availability zones as hosts pass them on: always all of them.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct EvacuationsUpdate {
    /// Offset after the last record of the operators' topic that they include.
    next: u64,
    /// Zones that are evacuated according to the records.
    zones: Vec<Zone>,
    /// Zones that only an earlier copy of the store says are evacuated, and for how long that counts.
    #[serde(default)]
    held: Vec<(Zone, Millis)>,
}

/// Returns the state for other hosts; `None` before this host knows it.
pub(super) fn update(known: &Evacuations, now: HostTime) -> Option<EvacuationsUpdate> {
    let PassedState { next, zones, held } = known.passed_on(now)?;
    Some(EvacuationsUpdate { next, zones, held })
}

/// What the control thread remembers of evacuations beside the state itself.
#[derive(Default)]
pub(super) struct EvacuationChecks {
    /// Since when newer records are known than the evacuations include.
    lacking_since: Cell<Option<HostTime>>,
    /// Since when a configuration is known, but no evacuations.
    unknown_since: Cell<Option<HostTime>>,
    /// Whether this host serves without knowing the evacuations, as it has waited for them long enough.
    serves_without: Cell<bool>,
    /// Evacuated zones that the settings don't list and that were logged.
    logged_unknown: RefCell<FastSet<Zone>>,
}

/// Starts the task that ends evacuations which count no longer, and waits that are over.
pub(super) fn start(control: &Rc<Control>) {
    control.spawn("evacuations", Rc::clone(control).check_evacuations());
}

impl Control {
    /// Applies records of the operators' topic that this host has read, from the offset `from` on or, without one, of all
    /// keys. Returns the offset from which to read on; `None` if all keys have to be read.
    pub(super) fn apply_evacuations(
        &self,
        topic: Topic,
        page: &Page,
        from: Option<u64>,
    ) -> Option<u64> {
        if topic != Topic::Config {
            return Some(page.next);
        }
        self.record_copy(page.next);
        let decoded = page.records.iter().filter_map(self.store.decode_evacuation);
        let changes: Vec<(Zone, bool)> =
            decoded.map(|evacuation| (evacuation.zone, evacuation.is_active)).collect();
        self.change_evacuations(Source::Store, |known, times| {
            known.on_read(from, changes, page.next, times);
        });
        let lacks = self.fleet.borrow().known_records.evacuations.lacks(page.next);
        Some(page.next).filter(|_| !lacks)
    }

    /// Applies the evacuations that another host passed on.
    pub(super) fn apply_passed_evacuations(
        &self,
        update: Option<EvacuationsUpdate>,
        source: Source,
    ) {
        let Some(EvacuationsUpdate { next, zones, held }) = update else { return };
        if !self.fleet.borrow().known_records.evacuations.is_older_than(next) {
            return;
        }
        self.record_copy(next);
        let state = PassedState { next, zones, held };
        self.change_evacuations(source, |known, times| known.on_passed(state, times));
    }

    fn change_evacuations(&self, source: Source, change: impl FnOnce(&mut Evacuations, Times)) {
        let now = clock::now();
        let (before, after, was_known) = {
            let mut fleet = self.fleet.borrow_mut();
            let copy_known_at = fleet.store_copy.known_at();
            let known = &mut fleet.known_records.evacuations;
            let was_known = known.is_known();
            let before: FastSet<Zone> = known.zones().cloned().collect();
            change(known, Times { copy_known_at, now });
            (before, known.zones().cloned().collect::<FastSet<Zone>>(), was_known)
        };
        if before == after {
            if !was_known {
                // The configuration may have waited for it.
                self.publish();
            }
            return;
        }
        self.log_evacuations(&before, &after, source, now);
        self.status.evacuations().set(after);
        self.publish();
    }

    /// Logs which evacuations began and ended. Their age is the time since they were last known not to be in force.
    fn log_evacuations(
        &self,
        before: &FastSet<Zone>,
        after: &FastSet<Zone>,
        source: Source,
        now: HostTime,
    ) {
        let proof_at = self.fleet.borrow().known_records.proof_at(Topic::Config);
        let age = now.since(proof_at.max(self.started_at));
        let mut logged = self.evacuation_checks.logged_unknown.borrow_mut();
        for zone in after.difference(before) {
            log::warn!(zone:% = zone, age:% = age, source = source.as_str(); "evacuations: an availability zone is evacuated, its upstreams get no new requests");
            if !self.settings.zones.contains_key(zone) && logged.insert(zone.clone()) {
                log::warn!(zone:% = zone; "evacuations: the settings list no such availability zone");
            }
        }
        for zone in before.difference(after) {
            log::warn!(zone:% = zone, age:% = age, source = source.as_str(); "evacuations: the evacuation of an availability zone has ended");
        }
    }

    /// Returns whether the availability zone of a listed upstream is evacuated.
    pub(super) fn is_evacuated(&self, id: &UpstreamId) -> bool {
        let fleet = self.fleet.borrow();
        let entry = fleet.registry.entry(id);
        entry.is_some_and(|entry| self.status.evacuations().contains(&entry.zone))
    }

    /// Returns whether this host has to read the operators' topic itself, as no other host sends it the evacuations up to what
    /// it knows: its sources are of an earlier version.
    pub(super) fn must_read_evacuations(&self, topic: Topic, now: HostTime) -> bool {
        if topic != Topic::Config {
            return false;
        }
        let lacks = {
            let fleet = self.fleet.borrow();
            fleet.known_records.evacuations.lacks(fleet.known_records.config.next)
        };
        let lacking_since = &self.evacuation_checks.lacking_since;
        let since = lacking_since.get().filter(|_| lacks);
        lacking_since.set(lacks.then_some(since.unwrap_or(now)));
        since.is_some_and(|since| now.since(since) >= MAX_LAG)
    }

    /// Returns the configuration that callers may be served by: none before the evacuations are known.
    pub(super) fn servable_config(&self, fleet: &FleetState) -> Option<Arc<Config>> {
        let config = fleet.config.as_ref()?;
        let checks = &self.evacuation_checks;
        if fleet.known_records.evacuations.is_known() || checks.serves_without.get() {
            return Some(Arc::clone(config));
        }
        checks.unknown_since.set(checks.unknown_since.get().or_else(|| Some(clock::now())));
        None
    }

    async fn check_evacuations(self: Rc<Self>) {
        loop {
            Timer::after(CHECK_INTERVAL.duration()).await;
            self.change_evacuations_if_expired();
            let checks = &self.evacuation_checks;
            let is_over = |since| clock::now().since(since) >= MAX_STARTUP_WAIT;
            if !checks.serves_without.get() && checks.unknown_since.get().is_some_and(is_over) {
                checks.serves_without.set(true);
                if !self.fleet.borrow().known_records.evacuations.is_known() {
                    log::warn!(
                        "evacuations: none are known, as the store does not answer and other hosts are of an earlier version; serving without"
                    );
                    self.publish();
                }
            }
        }
    }

    fn change_evacuations_if_expired(&self) {
        let is_any = self.fleet.borrow().known_records.evacuations.zones().next().is_some();
        if is_any {
            let expire = |known: &mut Evacuations, times: Times| known.expire(times.now);
            self.change_evacuations(Source::EarlierCopy, expire);
        }
    }

    /// Sets the gauges of evacuated availability zones and upstreams.
    #[expect(clippy::cast_precision_loss, reason = "gauges need no more")]
    pub(super) fn set_evacuation_gauges(&self, fleet: &FleetState) {
        let evacuations = self.status.evacuations();
        let zones = fleet.known_records.evacuations.zones().count();
        let listed = fleet.registry.listed();
        let upstreams = listed.filter(|listed| evacuations.contains(&listed.entry.zone)).count();
        gauge!("skylarkdock_zones_evacuated").set(zones as f64);
        gauge!("skylarkdock_upstreams_evacuated").set(upstreams as f64);
    }
}
