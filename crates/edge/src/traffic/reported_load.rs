//! Load that upstreams report in their answers. [`skylarkdock_dispatch::reported_load`] decides what is used; a host tells
//! the others of its region at once of a pace that differs from what they know.

use super::Traffic;
use super::attempt::Target;
use crate::client::Reply;
use crate::clock;
use crate::load_reports::NameHash;
use crate::pace_notices::{self, PaceNotice};
use crate::upstreams::ReplyKind;
use metrics::{counter, gauge};
use skylarkdock_dispatch::reported_load::ReportedLoad;
use skylarkdock_units::ids::{ServiceName, UpstreamId};
use skylarkdock_units::times::{HostTime, Millis};

/// Interval over which notices to other hosts are limited.
const SEND_INTERVAL: Millis = Millis(1_000);
/// Number of notices that a host sends to the others in that interval. All hosts of a region together find about 40 paces a
/// second to tell of among 61 upstreams of which a fifth changes each 400 ms.
const MAX_NOTICES: u32 = 50;

/// Number of notices that were sent since the beginning of an interval.
#[derive(Debug, Default)]
pub(super) struct SendLimit {
    since: HostTime,
    sent: u32,
}

impl SendLimit {
    /// Returns whether one more may be sent, and counts it.
    fn take(&mut self, now: HostTime) -> bool {
        if now.since(self.since) >= SEND_INTERVAL {
            *self = Self { since: now, sent: 0 };
        }
        self.sent += 1;
        self.sent <= MAX_NOTICES
    }
}

impl Traffic {
    /// Records the load that an upstream reports in an answer, if the answer is that of the expected incarnation.
    pub(super) fn record_load(&self, service: &ServiceName, target: Target<'_>, reply: &Reply) {
        let names = &self.protocol.names;
        let Some(text) = reply.head.headers.get_str(names.load) else { return };
        let kind = names.classify(reply);
        if names.is_from_other(reply, target.id)
            || !matches!(kind, ReplyKind::Final | ReplyKind::Shed)
            || !self.is_current(target.id, target.born)
        {
            return count("foreign");
        }
        let Some(report) = (self.protocol.parse_load)(reply) else {
            log::warn!(upstream:% = target.id, value = text; "load: a report of an upstream can't be read");
            return count("malformed");
        };
        if self.apply_load(service, target.id, &report) {
            self.tell_pace(target, report.pace_percent);
        }
    }

    fn is_current(&self, id: &UpstreamId, born: u64) -> bool {
        self.listing.borrow().get(id).is_some_and(|listed| listed.entry.born == born)
    }

    /// Applies a report to the state of its upstream. Returns whether other hosts gain from its pace.
    #[expect(clippy::cast_precision_loss, reason = "a gauge needs no more")]
    fn apply_load(&self, service: &ServiceName, id: &UpstreamId, report: &ReportedLoad) -> bool {
        let mut services = self.services.borrow_mut();
        let Some(state) = services.get_mut(service) else { return false };
        let Some(upstream) = state.service.upstream_mut(id) else { return false };
        let slots = upstream.info().slots;
        if let Err(rejection) = report.check(slots) {
            log::warn!(upstream:% = id, reason = rejection.as_str(), running = report.running, waiting = report.waiting, slots = report.slots, pace = report.pace_percent, registered = slots; "load: a report of an upstream can't be true");
            count(rejection.as_str());
            return false;
        }
        count("used");
        let now = clock::now();
        if let Some((_, at)) = upstream.reported().pace() {
            gauge!("skylarkdock_load_report_age_seconds").set(now.since(at).0 as f64 / 1_000.0);
        }
        let is_news = upstream.reported_mut().record(report, now);
        state.service.silence_mut().on_report();
        is_news
    }

    /// Tells the other hosts of the region of a pace. Those of other regions are not told, as their requests rarely go to
    /// the upstream and bytes between regions are expensive.
    fn tell_pace(&self, target: Target<'_>, pace_percent: u32) {
        if !self.pace_sends.borrow_mut().take(clock::now()) {
            return count_pace("withheld");
        }
        let upstream = NameHash::of(target.id.as_str());
        let notice = PaceNotice { upstream, born: target.born, pace_percent };
        let bytes = match pace_notices::encode(&notice) {
            Ok(bytes) => bytes,
            Err(e) => return log::error!("load: can't encode a notice of a pace: {e}"),
        };
        let datagrams = self.datagrams.borrow();
        let Some(socket) = datagrams.as_ref() else { return };
        let view = self.view.borrow();
        let peers = view.peers().iter();
        for peer in peers.filter(|peer| peer.region == self.settings.region) {
            count_pace("sent");
            if let Err(e) = socket.get_ref().send_to(&bytes, peer.reports) {
                log::debug!("load: can't send to {}: {e}", peer.reports);
            }
        }
    }

    /// Applies a notice of another host.
    pub(super) fn on_pace_notice(&self, bytes: &[u8]) {
        let notice = match pace_notices::decode(bytes) {
            Ok(notice) => notice,
            Err(e) => return log::debug!("load: can't read a notice of a pace: {e}"),
        };
        let reports = self.reports.borrow();
        let known = reports.upstream(notice.upstream.0);
        let Some((service, id)) = known.filter(|(_, id)| self.is_current(id, notice.born)) else {
            return count_pace("unknown");
        };
        let mut services = self.services.borrow_mut();
        let state = services.get_mut(service);
        if let Some(upstream) = state.and_then(|state| state.service.upstream_mut(id)) {
            count_pace("received");
            upstream.reported_mut().record_forwarded(notice.pace_percent, clock::now());
        }
    }
}

fn count(result: &'static str) {
    counter!("skylarkdock_load_reports_total", "result" => result).increment(1);
}

fn count_pace(result: &'static str) {
    counter!("skylarkdock_pace_notices_total", "result" => result).increment(1);
}
