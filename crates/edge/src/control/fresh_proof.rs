//! Fresh proof that the recorded tables are the newest, for grants over new connections.
//!
//! Reads of the fleet topic wait for records, so that the proof of a host is some seconds old while nothing changes. That
//! suffices for connections that are open, but a new one may reach an incarnation that knows nothing of a release since.

use super::Control;
use crate::clock;
use crate::store::{Page, Topic};
use async_io::Timer;
use futures_lite::FutureExt;
use metrics::counter;
use skylarkdock_spans::table::Holder;
use skylarkdock_units::ids::ServiceName;
use skylarkdock_units::times::{HostTime, Millis};

/// Longest time that a grant waits for fresh proof.
const PROOF_TIMEOUT: Millis = Millis(400);
/// Pause after a read that gave no proof, as each call to the store is charged for.
const FAILURE_PAUSE: Millis = Millis(500);

impl Control {
    /// Asks the store whether this host knows all records of the fleet topic, unless the last proof suffices for a new
    /// connection to a holder. Grants that need proof at the same time share a read.
    pub(super) async fn refresh_proof(&self, service: &ServiceName, holder: &Holder) {
        let mut failed_at = self.holder_calls.proof_failed_at.lock().await;
        let asked_at = clock::now();
        if self.may_connect(service, holder, asked_at) || asked_at.since(*failed_at) < FAILURE_PAUSE
        {
            return;
        }
        counter!("skylarkdock_store_calls_total", "call" => "read").increment(1);
        let timeout = async {
            Timer::after(PROOF_TIMEOUT.duration()).await;
            None
        };
        let read = async { Some((self.store.end)(Topic::Fleet).await) };
        let known = |control: &Self| control.fleet.borrow().fleet_end;
        match read.or(timeout).await {
            Some(Ok(end)) if end == known(self) => {
                let page = Page { records: Vec::new(), next: end };
                self.apply_page(Topic::Fleet, page, false, asked_at);
            }
            Some(Ok(end)) => {
                *failed_at = clock::now();
                log::debug!(end, known = known(self); "owners: no fresh proof, as records are missing");
            }
            Some(Err(e)) => {
                *failed_at = clock::now();
                log::info!(error:% = e; "owners: no fresh proof");
            }
            None => {
                *failed_at = clock::now();
                log::info!(timeout:% = PROOF_TIMEOUT; "owners: no fresh proof in time");
            }
        }
    }

    /// Returns whether a grant may go over a new connection to a holder.
    pub(super) fn may_connect(
        &self,
        service: &ServiceName,
        holder: &Holder,
        now: HostTime,
    ) -> bool {
        let owners = self.owners.borrow();
        let renewals = owners.renewals.get(service);
        renewals.is_some_and(|renewals| renewals.may_connect(holder, now))
    }
}
