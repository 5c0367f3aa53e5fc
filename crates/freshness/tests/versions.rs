//! When a host refuses requests because it knows of a newer configuration than it has.

use fastrand::Rng;
use rstest::rstest;
use skylarkdock_freshness::versions::{
    self, Claim, KnownVersions, Limits, MAX_TOLD, Origin, Proof,
};
use skylarkdock_units::times::{HostTime, Millis};

const APPLY_TIME: Millis = Millis(2_000);
const OWN: Origin = Origin(1);
const START: HostTime = HostTime(100_000);
/// Age from which a version that this host lacks leads to refusals.
const REFUSE_AFTER: u64 = 1_800;
/// Time for which a claim of one host counts.
const SOLE_CLAIM_TIME: u64 = 5_000;

fn limits() -> Limits {
    Limits::new(APPLY_TIME)
}

/// Returns the state of a host that has version 9 for long.
fn host() -> KnownVersions {
    let mut known = KnownVersions::new(OWN);
    known.on_in_force(9, HostTime(0), HostTime(1_000));
    known
}

/// Proof that is older than all claims.
const OLD_PROOF: Proof = Proof { at: HostTime(90_000), version: 9 };

fn claim(origin: u32, version: u64, age: u64) -> Claim {
    Claim { origin: Origin(origin), version, age: Millis(age) }
}

fn refuses(known: &KnownVersions, proof: Proof, after_ms: u64) -> bool {
    known.outdated(proof, limits(), START + Millis(after_ms)).is_some()
}

/// Guards against refusals during the time that a large configuration usually takes, and against requests by the former
/// one later.
#[rstest]
#[case::one_host(&[2])]
#[case::two_hosts(&[2, 3])]
fn a_host_refuses_from_the_limit_on_until_it_has_the_version(#[case] origins: &[u32]) {
    let mut known = host();
    for origin in origins {
        known.on_claim(claim(*origin, 12, 300), START);
    }
    assert!(!refuses(&known, OLD_PROOF, REFUSE_AFTER - 301));
    assert!(refuses(&known, OLD_PROOF, REFUSE_AFTER - 300));
    known.on_in_force(10, START, START + Millis(1_700));
    assert!(refuses(&known, OLD_PROOF, REFUSE_AFTER - 300));
    known.on_in_force(12, START, START + Millis(1_700));
    assert!(!refuses(&known, OLD_PROOF, REFUSE_AFTER - 300));
}

/// Guards against a refusal that is put off by a notice which waited on its way, as on a host that was suspended.
#[test]
fn a_notice_that_arrives_late_does_not_make_a_version_younger() {
    let mut known = host();
    known.on_claim(claim(2, 12, 300), START);
    known.on_claim(claim(2, 12, 300), START + Millis(1_000));
    assert!(refuses(&known, OLD_PROOF, REFUSE_AFTER - 300));
}

/// Guards against refusals in an outage, in which all proofs are old.
#[test]
fn a_host_that_knows_of_no_newer_version_never_refuses() {
    let mut known = host();
    known.on_claim(claim(2, 9, 5_000), START);
    known.on_claim(claim(3, 8, 5_000), START);
    for after_ms in (0..100_000).step_by(500) {
        assert!(!refuses(&known, OLD_PROOF, after_ms));
    }
}

/// Guards against a report that the configuration is out of date on a host that starts and has none.
#[test]
fn a_host_without_a_configuration_has_none_that_is_out_of_date() {
    let mut known = KnownVersions::new(OWN);
    known.on_claim(claim(2, 12, 1_000), START);
    known.on_claim(claim(3, 12, 1_000), START);
    assert!(!refuses(&known, Proof::default(), REFUSE_AFTER));
    known.on_in_force(9, START, START);
    assert!(refuses(&known, Proof::default(), REFUSE_AFTER));
}

/// Guards against versions in series, each of which is too new to refuse requests for.
#[test]
fn later_versions_do_not_put_off_the_refusal() {
    let mut known = host();
    for step in 0..20 {
        let now = START + Millis(step * 200);
        known.on_claim(claim(2, 10 + step, 0), now);
        known.on_claim(claim(3, 10 + step, 0), now);
        assert_eq!(refuses(&known, OLD_PROOF, step * 200), step * 200 >= REFUSE_AFTER);
    }
}

/// Guards against a faulty host whose claim would keep all others from serving, while the store can't be read.
#[rstest]
#[case::the_same_version(|_| u64::MAX)]
#[case::rising_versions(|step: u64| 1_000 + step)]
fn a_claim_of_one_host_counts_for_a_limited_time(#[case] version: fn(u64) -> u64) {
    let mut known = host();
    for step in 0..100 {
        let now = START + Millis(step * 150);
        known.on_claim(claim(2, version(step), 60_000), now);
        let counts = step * 150 < SOLE_CLAIM_TIME;
        assert_eq!(refuses(&known, OLD_PROOF, step * 150), counts, "{step}");
    }
    // The claims of others are judged by their own ages, as before.
    let now = START + Millis(20_000);
    known.on_claim(claim(3, 12, 100), now);
    assert!(!refuses(&known, OLD_PROOF, 20_000));
    assert!(refuses(&known, OLD_PROOF, 20_000 + REFUSE_AFTER - 100));
}

/// Guards against claims of a version that does not exist, and of one that a restored store no longer has: a later read
/// shows no such version.
#[test]
fn claims_that_a_later_read_of_the_store_refutes_do_not_count() {
    let mut known = host();
    known.on_claim(claim(2, 12, 60_000), START);
    known.on_claim(claim(3, 12, 60_000), START);
    assert!(refuses(&known, OLD_PROOF, 0));
    for at in [HostTime(START.0 - 1), START] {
        let before = Proof { at, version: 9 };
        assert!(refuses(&known, before, 0), "the version may have been published since");
    }
    let after = Proof { at: START + Millis(1), version: 9 };
    assert!(!refuses(&known, after, 100));
    // Neither the same claims nor others of the same hosts count from then on.
    let now = START + Millis(1_000);
    known.on_claim(claim(2, 12, 61_000), now);
    known.on_claim(claim(3, 13, 61_000), now);
    assert!(!refuses(&known, after, 1_000));
    // The host's thread of requests has not got the version yet that its other thread has read.
    assert!(refuses(&known, Proof { at: now, version: 13 }, 1_000));
}

/// Guards against hosts that hear of a version only over others: claims are passed on with their origins, so that two hosts
/// are still told apart, and end.
#[test]
fn claims_are_passed_on_with_their_origins_and_for_a_limited_time() {
    let mut relay = host();
    relay.on_claim(claim(2, 12, 100), START);
    relay.on_claim(claim(3, 12, 200), START);
    let now = START + Millis(50);
    assert_eq!(relay.claims_to_tell(now), [claim(3, 12, 250), claim(2, 12, 150)]);
    let mut late = KnownVersions::new(Origin(4));
    late.on_in_force(9, HostTime(0), HostTime(1_000));
    relay.claims_to_tell(now).into_iter().for_each(|told| late.on_claim(told, now));
    let outdated = late.outdated(OLD_PROOF, limits(), START + Millis(3_000));
    assert_eq!(outdated.map(|outdated| (outdated.version, outdated.witnesses)), Some((12, 2)));
    // A host does not take its own claim for that of another.
    let own = Claim { origin: Origin(4), ..claim(4, 50, 0) };
    late.on_claim(own, now);
    assert_eq!(late.newest(), 12);
    assert!(relay.claims_to_tell(START + Millis(10_000)).is_empty());
}

/// Guards against a state that grows with what others claim.
#[test]
fn the_claims_that_are_kept_are_bounded() {
    let mut rng = Rng::with_seed(7);
    let mut known = host();
    for step in 0..5_000 {
        let now = START + Millis(step);
        known.on_claim(claim(rng.u32(..), rng.u64(..), rng.u64(..20_000)), now);
        assert!(known.claims_to_tell(now).len() <= MAX_TOLD);
    }
    assert!(format!("{known:?}").matches("KnownClaim").count() <= 28);
}

/// One run of a fleet in which some hosts get a version and one does not. Returns when the late host begins to refuse, and
/// when it first heard of the version, in milliseconds after the publication.
fn first_refusal(rng: &mut Rng) -> Option<(u64, u64)> {
    let published = START + Millis(5_000);
    // The first reader reads every 0.25 s, or up to 1.1 s later if the former one was lost.
    let delay = if rng.bool() { rng.u64(..250) } else { rng.u64(..1_100) };
    let absent_at = HostTime(published.0 - rng.u64(..250));
    let mut at = published + Millis(delay + rng.u64(1..100));
    let mut since = versions::published_after(absent_at, None, limits(), at);
    let mut notices: Vec<(HostTime, Vec<Claim>)> = Vec::new();
    for origin in 2..rng.u32(3..6) {
        if origin > 2 {
            at = at + Millis(rng.u64(1..700));
            let absent_at = HostTime(published.0 - rng.u64(1..1_100));
            since = versions::published_after(absent_at, Some(since), limits(), at);
        }
        let mut host = KnownVersions::new(Origin(origin));
        host.on_in_force(12, since, at);
        for told_at in [100, 250, 400].map(|ms| at + Millis(ms)) {
            notices.push((told_at + Millis(rng.u64(1..30)), host.claims_to_tell(told_at)));
        }
    }
    let heard = notices.iter().map(|(heard_at, _)| heard_at.since(published).0).min()?;
    let mut late = host();
    let refused = (0..10_000).find(|ms| {
        let now = published + Millis(*ms);
        for (_, claims) in notices.extract_if(.., |(heard_at, _)| *heard_at <= now) {
            claims.into_iter().for_each(|claim| late.on_claim(claim, now));
        }
        late.outdated(OLD_PROOF, limits(), now).is_some()
    });
    refused.map(|ms| (ms, heard))
}

/// Guards against a limit that leaves no room for the way of the claims: a request that is sent when the version has to be
/// in force is refused, if the host had heard of the version by then. None is refused in the time that a large record takes.
#[test]
fn refusals_begin_before_the_version_has_to_be_in_force_and_not_at_once() {
    for seed in 0..2_000 {
        let mut rng = Rng::with_seed(seed);
        let Some((refused, heard)) = first_refusal(&mut rng) else {
            panic!("seed {seed}: no refusal")
        };
        assert!(refused <= APPLY_TIME.0.max(heard), "seed {seed}: {refused} ms, heard {heard} ms");
        assert!(refused >= 1_500, "seed {seed}: {refused} ms");
    }
}

/// Guards against versions in series, of which the later one is first on a host whose earlier claims were not kept.
#[test]
fn claims_of_the_version_in_force_leave_room_for_a_newer_one() {
    let mut known = host();
    for origin in 2..20 {
        known.on_claim(claim(origin, 12, 300), START);
    }
    known.on_in_force(12, START, START + Millis(500));
    let told_at = START + Millis(2_000);
    known.on_claim(claim(30, 14, 0), told_at);
    known.on_claim(claim(31, 14, 0), told_at);
    assert_eq!(known.newest(), 14);
    assert!(refuses(&known, OLD_PROOF, 2_000 + REFUSE_AFTER));
    assert_eq!(known.claims_to_tell(told_at).first().map(|claim| claim.version), Some(14));
}

/// Guards against a host that forgets of the newest version as others of the same host follow in one notice.
#[test]
fn the_newest_version_of_a_host_stays_known() {
    let mut known = KnownVersions::new(OWN);
    for version in [11, 13, 17, 23, 19, 21] {
        known.on_claim(claim(2, version, 100), START);
    }
    assert_eq!(known.newest_unrefuted(OLD_PROOF), 23);
    known.on_in_force(20, START, START + Millis(10));
    assert_eq!((known.newest(), known.newest_unrefuted(OLD_PROOF)), (23, 23));
}

/// Guards against a host that starts again and takes an older version for the newest, although others tell it of the one
/// that it had itself.
#[test]
fn a_host_that_starts_again_counts_its_own_earlier_claim() {
    let mut known = host();
    known.on_claim(claim(1, 9, 100), START);
    assert_eq!(known.newest_unrefuted(OLD_PROOF), 9);
    known.on_claim(claim(1, 12, 100), START);
    known.on_claim(claim(1, 11, 100), START + Millis(10));
    assert_eq!(known.newest_unrefuted(OLD_PROOF), 12);
    let later_proof = Proof { at: START + Millis(1), version: 9 };
    assert_eq!(known.newest_unrefuted(later_proof), 9);
    known.on_in_force(13, START, START + Millis(20));
    assert_eq!(known.newest_unrefuted(OLD_PROOF), 13);
}
