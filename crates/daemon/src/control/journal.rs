//! Timeline of this process.

use crate::clock;
use crate::control::Control;
use skylarkdock_timeline::clock::Clock;
use skylarkdock_timeline::journal::Journal;
use skylarkdock_timeline::kind::EventKind;
use skylarkdock_timeline::ring::Limits;
use skylarkdock_units::ids::Member;

/// Creates the timeline, with the start of the daemon as its first event.
pub(super) fn start(me: &Member) -> Journal {
    let mut journal = Journal::new(me.host.clone(), Clock::default(), Limits::default());
    journal.record(clock::wall_time(), EventKind::Started { member: me.clone() }, None);
    journal
}

impl Control {
    pub(super) fn record_event(&mut self, kind: EventKind) {
        self.journal.record(clock::wall_time(), kind, None);
    }
}
