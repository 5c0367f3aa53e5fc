//! Results of releases that another host sent.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_edge::releases::PeerRelease;
use skylarkdock_spans::end::{GrantEnd, NotEnded};
use skylarkdock_spans::table::Holder;

fn holder() -> Holder {
    let (id, region) = ("i-1".parse().unwrap(), "r".parse().unwrap());
    Holder { id, born: 1, addr: ([127, 0, 0, 1], 9_000).into(), region }
}

/// A host of an earlier version reported any success so, and it ended the wait for the holder.
#[rstest]
#[case::released(r#"{"Ok":"a1"}"#, Ok("released"))]
#[case::without_state(r#"{"Ok":null}"#, Err(NotEnded::Refused))]
#[case::with_an_empty_state(r#"{"Ok":""}"#, Err(NotEnded::Refused))]
#[case::bare_status(r#"{"Err":"Gone"}"#, Err(NotEnded::Refused))]
#[case::confirmed_as_a_failure(r#"{"Err":"Done"}"#, Err(NotEnded::Unknown))]
#[case::replaced(r#"{"Replaced":{"by":"i-9"}}"#, Ok("replaced by i-9"))]
#[case::replaced_by_itself(r#"{"Replaced":{"by":"i-1"}}"#, Err(NotEnded::Refused))]
fn a_success_without_the_holders_state_does_not_end_its_grants(
    #[case] text: &str,
    #[case] expected: Result<&str, NotEnded>,
) {
    let result: PeerRelease = serde_json::from_str(text).unwrap();
    let end = result.end(&holder()).map(|end: GrantEnd| end.to_string());
    assert_eq!(end.as_deref().map_err(|reason| *reason), expected);
}
