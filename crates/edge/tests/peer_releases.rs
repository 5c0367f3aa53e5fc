//! Results of releases that other hosts have sent.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_edge::releases::PeerRelease;
use skylarkdock_spans::end::{GrantEnd, NotEnded};
use skylarkdock_spans::table::Holder;

fn holder() -> Holder {
    Holder {
        id: "i-1".parse().unwrap(),
        born: 1,
        addr: "127.0.0.1:80".parse().unwrap(),
        region: "r1".parse().unwrap(),
    }
}

fn end(text: &str) -> Result<GrantEnd, NotEnded> {
    serde_json::from_str::<PeerRelease>(text).unwrap().end(&holder())
}

/// A host of an earlier version takes a bare status for the end of the holder, or for its release.
#[rstest]
#[case::gone(r#"{"Err":"Gone"}"#, NotEnded::Refused)]
#[case::unknown(r#"{"Err":"Unknown"}"#, NotEnded::Unknown)]
#[case::released_without_state(r#"{"Ok":null}"#, NotEnded::Refused)]
#[case::released_with_an_empty_state(r#"{"Ok":""}"#, NotEnded::Refused)]
#[case::confirmed_as_a_failure(r#"{"Err":"Done"}"#, NotEnded::Unknown)]
#[case::replaced_by_itself(r#"{"Replaced":{"by":"i-1"}}"#, NotEnded::Refused)]
fn what_a_host_of_an_earlier_version_concludes_ends_no_wait(
    #[case] text: &str,
    #[case] expected: NotEnded,
) {
    assert_eq!(end(text), Err(expected));
}

#[test]
fn a_release_of_another_host_comes_back_with_its_evidence() {
    let other = "i-9".parse().unwrap();
    let ends = [
        GrantEnd::released(Some("state".to_owned())),
        GrantEnd::replaced(&holder(), &other).unwrap(),
    ];
    for expected in ends {
        let text = serde_json::to_string(&PeerRelease::from(Ok(expected.clone()))).unwrap();
        assert_eq!(end(&text), Ok(expected), "{text}");
    }
    for expected in [NotEnded::Refused, NotEnded::Unknown] {
        let text = serde_json::to_string(&PeerRelease::from(Err(expected))).unwrap();
        assert_eq!(end(&text), Err(expected), "{text}");
    }
}
