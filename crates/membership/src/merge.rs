//! Conflict resolution between two entries of the same host.

use crate::messages::{HostEntry, HostState};

/// Returns the entry that replaces `old` when `new` arrives, or `None` if `old` is kept.
///
/// A host that another host reports as gone only becomes suspect, so that it can refute: after a
/// network partition, each side has marked the hosts of the other side gone. Only a leaving host is
/// marked gone because another host reports it so.
pub(crate) fn merge(old: Option<&HostEntry>, new: HostEntry) -> Option<HostEntry> {
    let Some(old) = old else {
        return (new.state != HostState::Gone).then_some(new);
    };
    if new.member.incarnation != old.member.incarnation {
        let is_later_incarnation = new.member.incarnation > old.member.incarnation;
        return is_later_incarnation.then(|| gone_as_suspect(new));
    }
    let new = if old.state == HostState::Leaving { at_least_leaving(new) } else { new };
    let new = match old.state {
        HostState::Live | HostState::Suspect => gone_as_suspect(new),
        HostState::Leaving | HostState::Gone => new,
    };
    let is_newer = (new.version, new.state) > (old.version, old.state);
    is_newer.then_some(new)
}

fn gone_as_suspect(entry: HostEntry) -> HostEntry {
    let state = if entry.state == HostState::Gone { HostState::Suspect } else { entry.state };
    HostEntry { state, ..entry }
}

fn at_least_leaving(entry: HostEntry) -> HostEntry {
    let state = entry.state.max(HostState::Leaving);
    HostEntry { state, ..entry }
}
