//! Services that the routing table lacks.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_daemon::routing_table::{MAX_ABSENCE_PROOF_AGE_MS, RoutingTable};
use skylarkdock_units::times::Millis;

/// Guards against a final rejection of requests to a service that a record not read, or not readable, puts in force.
#[rstest]
#[case::proven(Millis(0), false, true)]
#[case::oldest_proof(MAX_ABSENCE_PROOF_AGE_MS, false, true)]
#[case::proof_too_old(MAX_ABSENCE_PROOF_AGE_MS + Millis(1), false, false)]
#[case::unreadable_record(Millis(0), true, false)]
fn a_service_is_absent_only_with_proof(
    #[case] proof_age: Millis,
    #[case] is_unreadable: bool,
    #[case] is_absent: bool,
) {
    let mut table = RoutingTable::default();
    if is_unreadable {
        table.unreadable.insert("orders".parse().unwrap());
    }
    assert_eq!(table.is_absent(&"orders".parse().unwrap(), proof_age), is_absent);
}
