//! Requests that wait for a configuration which is being fetched.

use super::Traffic;
use crate::clock;
use async_io::Timer;
use futures_lite::FutureExt;
use metrics::counter;
use skylarkdock_http1::fields;
use skylarkdock_http1::head::Headers;
use skylarkdock_units::times::{HostTime, Millis};

/// Longest time for which a request waits for a configuration. A refused one comes back after as long, over a new connection.
const MAX_WAIT: Millis = Millis(250);
/// Shortest time until the deadline of a request that waits, so that it can still be run.
const MIN_TIME_LEFT: Millis = Millis(2 * MAX_WAIT.0);

impl Traffic {
    /// Waits while this host's configuration is out of date and a call for the newer one is under way, for a short time.
    pub(super) async fn wait_for_config(&self, headers: &Headers, arrived: HostTime) {
        let claims = self.status.version_claims();
        if !claims.is_fetching() || !self.is_config_outdated(arrived) {
            return;
        }
        let time_left = fields::millis(headers, self.protocol.names.deadline).ok().flatten();
        if time_left.is_some_and(|left| Millis(left) < MIN_TIME_LEFT) {
            return;
        }
        let until = arrived + MAX_WAIT;
        loop {
            let ended = claims.listen_for_end();
            let now = clock::now();
            let is_outdated = self.is_config_outdated(now);
            if !is_outdated || !claims.is_fetching() || now >= until {
                let outcome = if is_outdated { "refused" } else { "handled" };
                counter!("skylarkdock_config_waits_total", "outcome" => outcome).increment(1);
                return;
            }
            let passed = async {
                Timer::at(clock::instant(until)).await;
            };
            ended.or(passed).await;
        }
    }
}
