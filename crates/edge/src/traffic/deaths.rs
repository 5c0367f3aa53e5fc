//! Ends of upstreams with requests in flight, noted here and told to the other hosts.

use super::Traffic;
use super::reports::NameHash;
use crate::clock;
use serde::{Deserialize, Serialize};
use skylarkdock_dispatch::crash_tracker::{Crash, Fingerprint};
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};

/// Time for which an end is told with each load report; two of those to other regions come within it.
const TOLD_FOR: Millis = Millis(1_700);
/// Most ends told in one report, and most requests of each; beyond, a report would not fit a packet.
const MAX_TOLD: usize = 4;
const MAX_PRINTS: usize = 16;

/// An end that other hosts are told of.
#[derive(Debug)]
pub(super) struct Told {
    since: HostTime,
    death: Crash,
}

/// An end as sent: the upstream, the requests that were in flight and the load of all hosts.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct WireDeath {
    upstream: NameHash,
    in_flight: Vec<u64>,
    load: u32,
}

impl Traffic {
    /// Notes that the connection of a request broke before an answer came.
    pub(super) fn note_broken(&self, service: &ServiceName, id: &UpstreamId, print: Fingerprint) {
        let now = clock::now();
        let load = {
            let services = self.services.borrow();
            let upstream = services.get(service).and_then(|state| state.service.upstream(id));
            upstream.map_or(1, |upstream| upstream.load(now))
        };
        self.crashes.borrow_mut().on_broken(id, print, load, now);
    }

    /// Notes that an upstream can't be connected to, or has started anew.
    pub(super) fn note_gone(&self, id: &UpstreamId) {
        let now = clock::now();
        let hash = NameHash::of(id.as_str());
        let Some(death) = self.crashes.borrow_mut().on_unreachable_or_restarted(id, hash.0, now)
        else {
            return;
        };
        log::info!(upstream:% = id, in_flight = death.in_flight.len(), load = death.load;
            "crashes: an upstream ended with requests in flight");
        self.deaths.borrow_mut().push(Told { since: now, death });
    }

    /// Returns the ends that other hosts are to be told of now.
    pub(super) fn told_deaths(&self) -> Vec<WireDeath> {
        let now = clock::now();
        let mut deaths = self.deaths.borrow_mut();
        deaths.retain(|told| now.since(told.since) < TOLD_FOR);
        let newest = deaths.iter().rev().take(MAX_TOLD);
        let wire = newest.map(|told| WireDeath {
            upstream: NameHash(told.death.upstream),
            in_flight: told.death.in_flight.iter().take(MAX_PRINTS).map(|print| print.0).collect(),
            load: told.death.load,
        });
        wire.collect()
    }

    /// Notes ends that another host tells of.
    pub(super) fn hear_deaths(&self, told: Vec<WireDeath>) {
        let now = clock::now();
        let mut crashes = self.crashes.borrow_mut();
        for told in told {
            let in_flight = told.in_flight.into_iter().map(Fingerprint).collect();
            let death = Crash { upstream: told.upstream.0, in_flight, load: told.load };
            if crashes.on_crash(&death, now) {
                // Among many hosts reports go over relays, and so do the ends in them.
                self.deaths.borrow_mut().push(Told { since: now, death });
            }
        }
    }
}
