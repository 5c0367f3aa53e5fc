//! States of the listeners whose requests are not those of callers, and shares of descriptors for them.

use crate::client_limits::{ClientLimits, PeerLimits};
use crate::listener::{BodyJudge, ListenerName, ListenerState};
use crate::serve::Limits;
use skylarkdock_dispatch::descriptors::Shares;
use skylarkdock_http1::head::RequestHead;
use skylarkdock_units::measures::ByteSize;
use std::rc::Rc;

/// Connections for readiness checks, and as many for reads of the metrics. Few processes make them.
const MAX_CHECKS: u32 = 64;
/// Part of the descriptors for control that connections of other hosts may take.
const PEER_SHARE: (u32, u32) = (2, 3);
/// Bytes of a call that passes on a request beside its body, in addition to the largest head: its encoded parameters.
const CALL_BYTES: u64 = 4 * 1024;

/// Returns the state of a listener whose requests are answered by their heads alone.
pub(crate) fn for_checks(name: &'static str, limits: ClientLimits) -> Rc<ListenerState> {
    let state = ListenerState::default();
    state.name.set(ListenerName(name));
    state.client_limits.set(limits);
    state.shares.set(Some(Shares { control: 0, upstreams: 0, callers: MAX_CHECKS }));
    state.set_body_judge(BodyJudge(Box::new(|_| false)));
    Rc::new(state)
}

/// Returns the state of the listener for calls of other hosts. `needs_body` tells whether a call is known.
pub(crate) fn for_peers(
    limits: ClientLimits,
    shares: Shares,
    needs_body: impl Fn(&RequestHead) -> bool + 'static,
) -> Rc<ListenerState> {
    let state = ListenerState::default();
    state.name.set(ListenerName("peers"));
    state.client_limits.set(limits);
    state.copies_bodies.set(true);
    let connections = limits.peers.connections.unwrap_or_else(|| {
        let (part, whole) = PEER_SHARE;
        (shares.control * part / whole).max(1)
    });
    state.shares.set(Some(Shares { callers: connections, ..shares }));
    state.set_body_judge(BodyJudge(Box::new(needs_body)));
    Rc::new(state)
}

/// Returns the limits for calls of other hosts, which pass on requests that the configuration allows.
pub(crate) fn peer_limits(limits: PeerLimits, config: Option<Limits>) -> Limits {
    let passed_on = config.map_or(0, |config| config.head.0 + config.body.0 + CALL_BYTES);
    Limits {
        head: limits.head,
        body: ByteSize(limits.body.0.max(passed_on)),
        head_time: limits.head_time,
        idle_time: limits.idle_time,
    }
}
