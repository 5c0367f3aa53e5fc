//! Events as text, JSON and HTML.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_timeline::clock::Stamp;
use skylarkdock_timeline::kind::Fingerprint;
use skylarkdock_timeline::reasons::{AcquireReason, AssignReason, PeerReason};
use skylarkdock_timeline::{Event, EventKind, Topic, html};
use skylarkdock_units::ids::{Epoch, Offset};
use skylarkdock_units::times::{Millis, WallTime};

fn event(kind: EventKind) -> Event {
    Event {
        stamp: Stamp { wall: WallTime(1_764_800_000_123), count: 2 },
        host: "host-1".parse().unwrap(),
        seq: 7,
        kind,
        cause: Some("host-2:9".parse().unwrap()),
    }
}

fn lease_acquired() -> EventKind {
    EventKind::LeaseAcquired {
        range: "orders/7".parse().unwrap(),
        epoch: Epoch { offset: Offset(42), place: 1 },
        after_ms: Millis(2300),
        why: AcquireReason::Takeover,
    }
}

fn record_in_force(by: &str) -> EventKind {
    let service = "orders".parse().unwrap();
    EventKind::RecordInForce { service, revision: Offset(42), by: by.to_owned() }
}

fn upstream_assigned() -> EventKind {
    let (range, upstream) = ("orders/7".parse().unwrap(), "orders-2".parse().unwrap());
    let from = Some("orders-1".parse().unwrap());
    EventKind::UpstreamAssigned { range, upstream, from, why: AssignReason::Down }
}

#[rstest]
#[case(lease_acquired(), "lease-acquired orders/7 epoch 42.1 after 2300ms: takeover")]
#[case(upstream_assigned(), "upstream-assigned orders/7 to orders-2 from orders-1: down")]
#[case(record_in_force("ana\nforged"), "record-in-force orders revision 42 by ana\\nforged")]
#[case(EventKind::Quarantined { fingerprint: Fingerprint(10), deaths: 2 }, "quarantined 000000000000000a after 2 deaths")]
#[case(EventKind::PeerRefused { reason: PeerReason::Signature }, "peer-refused: signature")]
#[case(EventKind::DrainDone, "drain-done")]
fn an_event_is_displayed_on_one_line(#[case] kind: EventKind, #[case] expected: &str) {
    let line = event(kind).to_string();
    let head = "2025-12-03T22:13:20.123Z+2 host-1:7 ";
    assert_eq!(line, format!("{head}{expected} (caused by host-2:9)"));
}

#[rstest]
#[case(0, "1970-01-01T00:00:00.000Z")]
#[case(951_782_400_000, "2000-02-29T00:00:00.000Z")]
#[case(4_107_542_399_999, "2100-02-28T23:59:59.999Z")]
fn wall_times_are_displayed_as_utc_dates(#[case] wall: u64, #[case] expected: &str) {
    let mut event = event(EventKind::DrainDone);
    event.stamp.wall = WallTime(wall);
    assert!(event.to_string().starts_with(expected), "{event}");
}

#[test]
fn events_round_trip_through_json() {
    for kind in
        [lease_acquired(), upstream_assigned(), record_in_force("ana"), EventKind::LogOutage]
    {
        let event = event(kind);
        let text = serde_json::to_string(&event).unwrap();
        assert_eq!(serde_json::from_str::<Event>(&text).unwrap(), event);
    }
    let json = serde_json::to_value(event(upstream_assigned())).unwrap();
    assert_eq!(json["kind"]["upstream_assigned"]["why"], "down");
}

#[test]
fn topics_round_trip_through_text() {
    for topic in Topic::ALL {
        assert_eq!(topic.to_string().parse::<Topic>().unwrap(), *topic);
    }
}

#[test]
fn the_html_page_escapes_text_and_loads_no_resources() {
    let html = html::render(&[event(record_in_force("</title><script>alert('1')</script>"))]);
    assert!(!html.contains("<script"), "{html}");
    assert!(html.contains("&lt;script&gt;alert("), "{html}");
    for loader in ["http://", "https://", "src=", "href=", "url(", "@import"] {
        assert!(!html.contains(loader), "{loader}");
    }
    assert_eq!(html.matches("<circle").count(), 1);
}

#[test]
fn the_html_page_has_a_lane_for_each_host_and_a_line_for_each_cause() {
    let mut cause = event(EventKind::LogOutage);
    cause.host = "host-2".parse().unwrap();
    cause.seq = 9;
    cause.cause = None;
    let html = html::render(&[cause, event(lease_acquired())]);
    assert!(html.contains(">host-1</text>") && html.contains(">host-2</text>"));
    assert_eq!(html.matches("class=\"cause\"").count(), 1);
    assert!(html::render(&[]).contains("<svg"));
}
