//! Which upstreams keep keys while operators have evacuated all of them.

use crate::plan::Candidate;
use crate::table::Table;

/// Returns the candidates for keys while all of them are evacuated: those that own keys, also in a later incarnation, so that no
/// key moves. Without a table, or if all owners have ended, all are.
pub fn keep_owners(mut evacuated: Vec<Candidate>, table: Option<&Table>) -> Vec<Candidate> {
    let owns_keys = |candidate: &Candidate| {
        table.is_some_and(|table| {
            table.spans.iter().any(|span| span.owner.id == candidate.holder.id)
        })
    };
    if evacuated.iter().any(owns_keys) {
        evacuated.retain(owns_keys);
    }
    evacuated
}
