//! Configuration versions that other hosts have, and refusals while this host's own is out of date.

use super::Traffic;
use crate::clock;
use crate::load_reports::NameHash;
use crate::version_notices;
use metrics::{counter, gauge};
use skylarkdock_freshness::versions::{Limits, Origin, Outdated};
use skylarkdock_units::times::{HostTime, Millis};

/// Time after a version became known for which the hosts of the region are told of it with each report. Later they are
/// told as often as other regions.
const NEWS_TIME: Millis = Millis(1_000);

impl Traffic {
    /// Returns whether a configuration version has become known within the given time.
    pub(super) fn has_version_news(&self, time: Millis, now: HostTime) -> bool {
        self.versions.borrow().has_news_since(time, now)
    }

    /// Returns the notice to send in this round of reports, if any.
    pub(super) fn version_notice(&self, includes_far: bool, now: HostTime) -> Option<Vec<u8>> {
        if !includes_far && !self.has_version_news(NEWS_TIME, now) {
            return None;
        }
        let claims = self.versions.borrow().claims_to_tell(now);
        if claims.is_empty() {
            return None;
        }
        match version_notices::encode(&claims) {
            Ok(bytes) => Some(bytes),
            Err(e) => {
                log::error!("config: can't encode a notice of versions: {e}");
                None
            }
        }
    }

    /// Applies a notice of another host.
    pub(super) fn on_version_notice(&self, bytes: &[u8]) {
        match version_notices::decode(bytes) {
            Ok(claims) => {
                let now = clock::now();
                let mut versions = self.versions.borrow_mut();
                self.status.version_claims().add(&claims, versions.in_force(), now);
                claims.into_iter().for_each(|claim| versions.on_claim(claim, now));
            }
            Err(e) => log::debug!("config: can't read a notice of versions: {e}"),
        }
    }

    /// Returns whether this host knows that its configuration is out of date, so that it must not handle requests by it.
    pub(super) fn is_config_outdated(&self, now: HostTime) -> bool {
        let proof = self.status.config_proof();
        let limits = Limits::new(self.settings.apply_time);
        let outdated = self.versions.borrow().outdated(proof, limits, now);
        self.record_outdated(outdated, now);
        outdated.is_some()
    }

    /// Writes a log line if this host begins or ceases to refuse requests.
    fn record_outdated(&self, outdated: Option<Outdated>, now: HostTime) {
        let since = self.config_outdated_since.get();
        let version = self.config_version();
        match (outdated, since) {
            (Some(outdated), None) => {
                self.config_outdated_since.set(Some(now));
                counter!("skylarkdock_config_outdated_total").increment(1);
                log::warn!(version = version, newest = outdated.version,
                    told_by = self.origin_name(outdated.origin), hosts = outdated.witnesses,
                    age:% = outdated.age;
                    "config: newer version known, not yet here; requests are refused");
            }
            (None, Some(since)) => {
                self.config_outdated_since.set(None);
                let newest = self.versions.borrow().newest();
                log::info!(version = version, newest = newest, took:% = now.since(since);
                    "config: requests are handled again");
            }
            (Some(_), Some(_)) | (None, None) => {}
        }
        self.status.set_config_outdated(outdated.is_some());
    }

    /// Sets the gauges of the known versions.
    #[expect(clippy::cast_precision_loss, reason = "gauges need no more")]
    pub(super) fn set_version_gauges(&self, is_outdated: bool) {
        gauge!("skylarkdock_config_newest_version").set(self.versions.borrow().newest() as f64);
        gauge!("skylarkdock_config_outdated").set(f64::from(u8::from(is_outdated)));
    }

    /// Returns the name of a host that has a version, or the hash of the name if the host is not known.
    fn origin_name(&self, origin: Origin) -> String {
        let view = self.view.borrow();
        let peer = view.peers().iter().find(|peer| NameHash::of(peer.host.as_str()).0 == origin.0);
        peer.map_or_else(|| format!("{:08x}", origin.0), |peer| peer.host.to_string())
    }
}
