//! Claims of newer configurations on their way from the traffic thread to the control thread.

use skylarkdock_edge::version_claims::{NewerVersion, VersionClaims};
use skylarkdock_freshness::versions::{Claim, Origin};
use skylarkdock_units::times::{HostTime, Millis};

const NOW: HostTime = HostTime(100_000);

fn claim(origin: u32, version: u64, age: u64) -> Claim {
    Claim { origin: Origin(origin), version, age: Millis(age) }
}

fn newer(origin: u32, version: u64, age: u64) -> NewerVersion {
    NewerVersion { origin: Origin(origin), version, since: NOW - Millis(age) }
}

/// Guards against a control thread that is woken for each notice of each host.
#[test]
fn repeated_claims_are_passed_on_once() {
    let claims = VersionClaims::default();
    claims.add(&[claim(2, 5, 300), claim(3, 4, 900)], 4, NOW);
    assert_eq!(claims.take(), [newer(2, 5, 300)]);
    for round in 1..100 {
        claims.add(&[claim(2, 5, 300 + round * 100)], 4, NOW + Millis(round * 100));
    }
    assert_eq!(claims.take(), []);
    claims.add(&[claim(2, 6, 0)], 4, NOW);
    assert_eq!(claims.take(), [newer(2, 6, 0)]);
}

/// Guards against requests that wait for nothing: claims that stay untaken count as a call, and a host that has missed
/// several versions was woken for each notice of them.
#[test]
fn repeated_claims_of_several_versions_of_a_host_are_passed_on_once() {
    let claims = VersionClaims::default();
    let notice = |passed: u64| [claim(2, 6, 100 + passed), claim(2, 5, 900 + passed)];
    claims.add(&notice(0), 4, NOW);
    assert_eq!(claims.take(), [newer(2, 6, 100), newer(2, 5, 900)]);
    claims.on_fetch_end();
    for round in 1..100 {
        claims.add(&notice(round * 100), 4, NOW + Millis(round * 100));
    }
    assert!(!claims.is_fetching());
    assert_eq!(claims.take(), []);
}

/// Guards against a host that never asks for a version of which it was told before it had a configuration, and that its source
/// lacks: it asks nobody then, and repeated claims are not passed on.
#[test]
fn claims_count_once_a_host_has_a_configuration() {
    let claims = VersionClaims::default();
    claims.add(&[claim(2, 5, 0)], 0, NOW);
    assert!(!claims.is_fetching());
    assert_eq!(claims.take(), []);
    claims.add(&[claim(2, 5, 300)], 4, NOW + Millis(300));
    assert_eq!(claims.take(), [newer(2, 5, 0)]);
}

/// Guards against requests that wait for a version which is applied already: updates brought it before its claim was taken.
#[test]
fn claims_of_a_version_that_is_applied_are_dropped() {
    let claims = VersionClaims::default();
    claims.add(&[claim(2, 5, 0)], 4, NOW);
    claims.on_applied(5);
    assert_eq!(claims.take(), []);
    assert!(!claims.is_fetching());
}

/// Guards against a host that was suspended and takes a version for young: the first notices waited in its socket, and only the
/// later ones tell how old it is.
#[test]
fn a_claim_that_knows_the_version_to_be_older_is_passed_on() {
    let claims = VersionClaims::default();
    claims.add(&[claim(2, 5, 0)], 4, NOW);
    claims.add(&[claim(2, 5, 3_000)], 4, NOW);
    claims.add(&[claim(2, 5, 100)], 4, NOW);
    assert_eq!(claims.take(), [newer(2, 5, 0), newer(2, 5, 3_000)]);
}

/// Guards against refusals between the time at which claims are taken and the one at which the call begins.
#[test]
fn claims_that_are_taken_count_as_a_call_until_it_is_decided() {
    let claims = VersionClaims::default();
    assert!(!claims.is_fetching());
    claims.add(&[claim(2, 5, 0)], 4, NOW);
    assert!(claims.is_fetching());
    claims.take();
    assert!(claims.is_fetching());
    claims.on_fetch_end();
    assert!(!claims.is_fetching());
    claims.take();
    assert!(!claims.is_fetching());
}

/// Guards against memory that grows with damaged or invented claims.
#[test]
fn the_claims_that_are_passed_on_are_bounded() {
    let claims = VersionClaims::default();
    (0..10_000).for_each(|origin| claims.add(&[claim(origin, 5, 0)], 4, NOW));
    assert_eq!(claims.take().len(), 512);
    claims.add(&[claim(20_000, 6, 0)], 5, NOW);
    assert_eq!(claims.take(), [newer(20_000, 6, 0)]);
}
