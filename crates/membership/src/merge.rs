//! Which of two entries of a host counts.

use crate::messages::{HostEntry, HostState};

/// Returns the entry to keep when `new` arrives, or nothing when `old` stays.
///
/// A host that others hold gone becomes suspect only, so that it can refute: after a cut both sides
/// hold the other gone. Only a leaving host is taken to be gone on the word of another.
pub(crate) fn merge(old: Option<&HostEntry>, new: HostEntry) -> Option<HostEntry> {
    let Some(old) = old else {
        return (new.state != HostState::Gone).then_some(new);
    };
    if new.member.incarnation != old.member.incarnation {
        let newer = new.member.incarnation > old.member.incarnation;
        return newer.then(|| soften(new));
    }
    let new = if old.state == HostState::Leaving { keep_leaving(new) } else { new };
    let new = match old.state {
        HostState::Live | HostState::Suspect => soften(new),
        HostState::Leaving | HostState::Gone => new,
    };
    let later = (new.version, new.state) > (old.version, old.state);
    later.then_some(new)
}

fn soften(entry: HostEntry) -> HostEntry {
    let state = if entry.state == HostState::Gone { HostState::Suspect } else { entry.state };
    HostEntry { state, ..entry }
}

fn keep_leaving(entry: HostEntry) -> HostEntry {
    let state = entry.state.max(HostState::Leaving);
    HostEntry { state, ..entry }
}
