//! The record by which other hosts know this one.

use super::{Control, HOST_PREFIX, HostRecord};
use crate::store::Record;
use async_io::Timer;
use metrics::counter;
use skylarkdock_freshness::copies::CopyNumber;
use skylarkdock_freshness::registration::{self, LastWrite};
use skylarkdock_units::times::Millis;
use std::rc::Rc;

/// Time between checks whether this host is recorded.
const CHECK_INTERVAL: Millis = Millis(1_000);
/// The same until this host has read the fleet topic.
const FIRST_CHECK_INTERVAL: Millis = Millis(50);

/// Starts the task that keeps this host recorded.
pub(super) fn start(control: &Rc<Control>) {
    control.spawn("registration", Rc::clone(control).keep_registered());
}

impl Control {
    /// Writes this host's record whenever the host finds that it is not recorded, from the store or from another host.
    async fn keep_registered(self: Rc<Self>) {
        let own = self.own_record();
        let value = match serde_json::to_vec(&own) {
            Ok(value) => value,
            Err(e) => {
                log::error!("fleet: can't encode the host's record: {e}");
                return;
            }
        };
        let record = Record { key: format!("{HOST_PREFIX}{}", own.host), value };
        let mut last = LastWrite::None;
        let mut written_to = CopyNumber::default();
        loop {
            let is_missing = self.is_registered(&own) == Some(false);
            if !is_missing {
                let is_first = self.fleet.borrow().fleet_end == 0;
                let interval = if is_first { FIRST_CHECK_INTERVAL } else { CHECK_INTERVAL };
                Timer::after(interval.duration()).await;
                continue;
            }
            // A later copy may lack what an earlier one confirmed.
            let copy = self.fleet.borrow().store_copy.number();
            if std::mem::replace(&mut written_to, copy) != copy {
                last = LastWrite::None;
            }
            let jitter_per_mille = fastrand::u16(..1_000);
            let pause = registration::pause(last, self.settings.size, jitter_per_mille);
            Timer::after(pause.duration()).await;
            if self.is_registered(&own) != Some(false) || self.status.is_leaving() {
                continue;
            }
            counter!("skylarkdock_store_calls_total", "call" => "append").increment(1);
            // Nothing else is written under this key but by an earlier process of this host, so there is no condition:
            // all but one of the hosts that write at the same time would fail.
            last = match (self.store.append)(vec![record.clone()], None).await {
                Ok(_) => {
                    log::info!(host:% = own.host; "fleet: registered");
                    LastWrite::Confirmed
                }
                Err(e) => {
                    log::info!(host:% = own.host, error:% = e; "fleet: can't write the host's record yet");
                    match last {
                        LastWrite::Failed(count) => LastWrite::Failed(count.saturating_add(1)),
                        LastWrite::None | LastWrite::Confirmed => LastWrite::Failed(1),
                    }
                }
            };
        }
    }

    /// Returns whether this host is recorded, or `None` before it has read the fleet topic.
    fn is_registered(&self, own: &HostRecord) -> Option<bool> {
        let fleet = self.fleet.borrow();
        (fleet.fleet_end > 0 || fleet.known_records.fleet.proof_at.0 > 0)
            .then(|| fleet.is_recorded(&own.host) && fleet.hosts.get(&own.host) == Some(own))
    }
}
