//! When a host may tell a caller that a route does not exist.

use rstest::rstest;
use skylarkdock_edge::status::Status;
use skylarkdock_freshness::final_answers::Evidence;
use skylarkdock_units::times::{HostTime, Millis};

const APPLY_TIME: Millis = Millis(2_000);

/// A route may have been added since the host last got the configuration, from the store or from another host. Once that
/// is longer ago than a new configuration may take to be in force, the host must not say that the route does not exist.
#[rstest]
#[case::no_configuration_yet(None, 3, false)]
#[case::within_the_time(Some(HostTime(8_000)), 3, true)]
#[case::too_old(Some(HostTime(7_999)), 3, false)]
#[case::of_a_newer_version(Some(HostTime(8_000)), 2, false)]
fn configuration_is_current_only_within_the_apply_time(
    #[case] proof_at: Option<HostTime>,
    #[case] applied_version: u64,
    #[case] expected: bool,
) {
    let status = Status::default();
    if let Some(at) = proof_at {
        status.set_config_proof(at, 3);
        // A proof that arrives late does not make the configuration older.
        status.set_config_proof(HostTime(5_000), 2);
    }
    let evidence = Evidence {
        applied: applied_version,
        proof: status.config_proof(),
        newest_known: applied_version,
        apply_time: APPLY_TIME,
    };
    assert_eq!(evidence.prove(HostTime(10_000)).is_ok(), expected);
}
