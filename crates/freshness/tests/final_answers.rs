//! When a host may answer so that a caller never sends its request again.

use rstest::rstest;
use skylarkdock_freshness::earlier_configs::EarlierConfigs;
use skylarkdock_freshness::final_answers::{
    ConfigFault, Evidence, FinalAnswer, RequestFault, Unproven,
};
use skylarkdock_freshness::versions::{Claim, KnownVersions, Origin, Proof};
use skylarkdock_units::times::{HostTime, Millis};

const APPLY_TIME: Millis = Millis(2_000);
const ARRIVED: HostTime = HostTime(10_000);

fn evidence(applied: u64, proven_at: u64, proven: u64, newest_known: u64) -> Evidence {
    let proof = Proof { at: HostTime(proven_at), version: proven };
    Evidence { applied, proof, newest_known, apply_time: APPLY_TIME }
}

/// Guards against a 404 for a route that a newer configuration has.
#[rstest]
#[case::no_configuration(0, 10_000, 0, 0, Err(Unproven::NoConfig))]
#[case::just_young_enough(3, 8_000, 3, 3, Ok(404))]
#[case::too_old(3, 7_999, 3, 3, Err(Unproven::ProofTooOld))]
#[case::no_proof(3, 0, 0, 3, Err(Unproven::ProofTooOld))]
#[case::no_proof_just_after_the_start_of_the_clock(3, 9_000, 0, 3, Err(Unproven::ProofTooOld))]
#[case::of_a_newer_version(3, 9_000, 4, 3, Err(Unproven::NewerProven))]
#[case::of_an_older_version(3, 9_000, 2, 3, Ok(404))]
#[case::newer_one_elsewhere(3, 9_000, 3, 4, Err(Unproven::NewerKnown))]
fn a_missing_route_is_final_only_with_a_proof(
    #[case] applied: u64,
    #[case] proven_at: u64,
    #[case] proven: u64,
    #[case] newest_known: u64,
    #[case] expected: Result<u16, Unproven>,
) {
    let current = evidence(applied, proven_at, proven, newest_known).prove(ARRIVED);
    assert_eq!(current.map(|current| FinalAnswer::no_route(current).status()), expected);
}

/// Guards against refusals for as long as a faulty host claims a version that the store doesn't have.
#[test]
fn a_claim_counts_until_a_later_read_of_the_store_refutes_it() {
    let mut known = KnownVersions::new(Origin(1));
    known.on_in_force(9, HostTime(0), HostTime(1_000));
    let claim = Claim { origin: Origin(2), version: 12, age: Millis(0) };
    known.on_claim(claim, HostTime(9_000));
    let proof = |at| Proof { at: HostTime(at), version: 9 };
    assert_eq!(known.newest_unrefuted(proof(9_000)), 12);
    assert_eq!(known.newest_unrefuted(proof(9_001)), 9);
    known.on_claim(claim, HostTime(9_500));
    assert_eq!(known.newest_unrefuted(proof(9_001)), 9);
}

#[rstest]
#[case(RequestFault::MalformedHead, "malformed_head")]
#[case(RequestFault::AmbiguousLength, "ambiguous_length")]
#[case(RequestFault::MalformedChunk, "malformed_chunk")]
#[case(RequestFault::NoHost, "no_host")]
#[case(RequestFault::NoRequestId, "no_request_id")]
#[case(RequestFault::InvalidDeadline, "invalid_deadline")]
fn faults_of_the_bytes_need_no_proof(#[case] fault: RequestFault, #[case] reason: &str) {
    let answer = FinalAnswer::invalid(fault);
    assert_eq!((answer.status(), answer.as_str()), (400, reason));
}

#[rstest]
#[case(ConfigFault::NoKey, 400, "no_key")]
#[case(ConfigFault::InvalidKey, 400, "invalid_key")]
#[case(ConfigFault::HeadTooLong, 431, "head_too_long")]
#[case(ConfigFault::BodyTooLong, 413, "body_too_long")]
fn faults_under_a_configuration_have_a_status(
    #[case] fault: ConfigFault,
    #[case] status: u16,
    #[case] reason: &str,
) {
    let current = evidence(3, 9_000, 3, 3).prove(ARRIVED);
    let mut earlier = EarlierConfigs::<u64>::new(APPLY_TIME);
    earlier.on_applied(None, HostTime(0));
    let answer = current.and_then(|current| {
        let none = earlier.prove_none_allows(ARRIVED, |_| true)?;
        Ok(FinalAnswer::not_allowed(fault, current, none))
    });
    assert_eq!(answer.map(|answer| (answer.status(), answer.as_str())), Ok((status, reason)));
}
