//! When keys move away from a resting upstream.

use rstest::rstest;
use skylarkdock_spans::resting::is_widely_resting;
use skylarkdock_units::times::Millis;

const LONG: Millis = Millis(2_500);
const SHORT: Millis = Millis(1_000);

/// An upstream may ask a single host for rest, and a move that takes longer than the rest helps nobody.
#[rstest]
#[case::nobody(&[], 4, false)]
#[case::the_only_host(&[LONG], 1, false)]
#[case::one_of_two(&[LONG], 2, false)]
#[case::both(&[LONG, LONG], 2, true)]
#[case::half(&[LONG, LONG], 4, true)]
#[case::less_than_half(&[LONG, LONG], 5, false)]
#[case::one_ends_soon(&[LONG, SHORT], 2, false)]
#[case::all_end_soon(&[SHORT, SHORT], 2, false)]
fn keys_move_only_if_half_of_the_hosts_were_asked_for_a_long_rest(
    #[case] rests: &[Millis],
    #[case] hosts: usize,
    #[case] expected: bool,
) {
    assert_eq!(is_widely_resting(rests, hosts), expected);
}
