//! Rejected requests whose route a later configuration has.

use rstest::rstest;
use skylarkdock_freshness::missing_routes::{
    self, KEEP_TIME, MAX_KEPT, MAX_TEXT_BYTES, MissingRoutes,
};
use skylarkdock_units::times::{HostTime, Millis};

const START: HostTime = HostTime(100_000);

/// Guards against a wrong 404 that can't be told from a request for a route that never existed.
#[rstest]
#[case::at_once("/new/x", 8, Millis(0), 1)]
#[case::late("/new/x", 8, KEEP_TIME, 1)]
#[case::too_late("/new/x", 8, Millis(KEEP_TIME.0 + 1), 0)]
#[case::never_there("/none/x", 8, Millis(10), 0)]
#[case::same_version("/new/x", 7, Millis(10), 0)]
fn a_rejected_request_is_found_when_a_newer_configuration_has_its_route(
    #[case] path: &str,
    #[case] version: u64,
    #[case] after: Millis,
    #[case] count: usize,
) {
    let mut missing = MissingRoutes::default();
    missing.record("h.example", path, 7, START);
    let has_route = |host: &str, path: &str| host == "h.example" && path.starts_with("/new/");
    let found = missing.take_found(version, START + after, has_route);
    assert_eq!(found.len(), count);
    assert!(found.iter().all(|route| route.version == 7 && route.at == START));
    assert_eq!(missing.take_found(version, START + after, has_route).len(), 0);
}

/// Guards against a record that grows with the requests of a faulty caller.
#[test]
fn the_record_is_bounded_in_number_and_length() {
    let mut missing = MissingRoutes::default();
    let path = format!("/{}", "\u{20ac}".repeat(MAX_TEXT_BYTES));
    for step in 0..3 * MAX_KEPT as u64 {
        missing.record("h.example", &path, 7, START + Millis(step));
    }
    let found = missing.take_found(8, START + Millis(200), |_, _| true);
    assert_eq!(found.len(), MAX_KEPT);
    assert!(
        found
            .iter()
            .all(|route| route.path.len() <= MAX_TEXT_BYTES && path.starts_with(&route.path))
    );
    assert_eq!(missing_routes::cut("/short"), "/short");
}
