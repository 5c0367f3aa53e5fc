//! Shares of a host's descriptors.

use rstest::rstest;
use skylarkdock_dispatch::descriptors::{CallerAdmission, DescriptorLimit, Shares};

/// Guards against callers that leave nothing for upstreams, the store and other hosts.
#[rstest]
fn every_purpose_has_a_share_and_all_of_the_limit_is_shared_out(
    #[values(16, 64, 300, 1_024, 4_100, 65_536, 1_048_576)] limit: u32,
) {
    let Shares { control, upstreams, callers } = Shares::of(DescriptorLimit(limit));
    assert_eq!(control + upstreams + callers, limit);
    assert!(control >= limit / 6 && upstreams >= limit / 6 && callers >= limit / 2, "{callers}");
}

/// Guards against two log lines for each connection at the limit.
#[rstest]
#[case::below(15, false, false)]
#[case::reached(16, false, true)]
#[case::one_closed(15, true, true)]
#[case::a_part_free(14, true, false)]
fn a_full_share_is_full_until_a_part_of_it_is_free(
    #[case] open: u32,
    #[case] was_full: bool,
    #[case] expected: bool,
) {
    let shares = Shares { control: 4, upstreams: 4, callers: 16 };
    assert_eq!(shares.is_full(open, was_full), expected);
}

#[test]
fn an_empty_limit_has_empty_shares() {
    let shares = Shares::of(DescriptorLimit(0));
    assert_eq!(shares, Shares { control: 0, upstreams: 0, callers: 0 });
    assert_eq!(shares.admit(0, 0), CallerAdmission::Wait);
}

/// Guards against requests that wait for a descriptor while idle connections have them.
#[rstest]
#[case::room(9, 0, CallerAdmission::Accept)]
#[case::room_beside_idle_ones(9, 9, CallerAdmission::Accept)]
#[case::full_of_idle_ones(10, 10, CallerAdmission::CloseIdle)]
#[case::full_with_one_idle(10, 1, CallerAdmission::CloseIdle)]
#[case::above(12, 1, CallerAdmission::CloseIdle)]
#[case::full_of_requests(10, 0, CallerAdmission::Wait)]
#[case::above_with_requests(12, 0, CallerAdmission::Wait)]
fn a_new_caller_takes_the_place_of_an_idle_one(
    #[case] open: u32,
    #[case] idle: u32,
    #[case] expected: CallerAdmission,
) {
    let shares = Shares { control: 2, upstreams: 2, callers: 10 };
    assert_eq!(shares.admit(open, idle), expected);
}
