//! Messages and tables as hosts of an earlier version write them: they know neither copies of the store nor by what a
//! release ended.

#![allow(clippy::unwrap_used)]

use skylarkdock_spans::end::NotEnded;
use skylarkdock_spans::leader::{Action, Inputs, Leader};
use skylarkdock_spans::plan::Candidate;
use skylarkdock_spans::renewal::{Ack, Release, Renewals};
use skylarkdock_spans::restored::StoreCopy;
use skylarkdock_spans::table::{FencingToken, Holder, Table};
use skylarkdock_spans::timing::Timing;
use skylarkdock_units::times::{HostTime, Millis};

const TIMING: Timing =
    Timing { hold: Millis(3_000), call_timeout: Millis(400), proof_lifetime: Millis(14_000) };
const START: HostTime = HostTime(100_000);
const TICK: Millis = Millis(50);

const TABLE: &str = r#"{"service":"s","version":7,"leader":"h","keepers":[{"host":"h","zone":"z","region":"r","size":200},{"host":"k","zone":"y","region":"r","size":200}],"retired":[],"next_fence":4,"spans":[{"first":0,"last":65535,"owner":{"id":"b","born":1,"addr":"127.0.0.1:9001","region":"r"},"fence":3,"is_granted":false,"former":[{"holder":{"id":"a","born":1,"addr":"127.0.0.1:9000","region":"r"},"fence":2}]}]}"#;
const ACK_WITH_GRANT: &str = r#"{"host":"k","version":7,"running":90000,"sent":[{"holder":{"id":"a","born":1,"addr":"127.0.0.1:9000","region":"r"},"first":0,"last":65535,"fence":2,"age":100}],"unreachable":[]}"#;
const ACK_AFTER_START: &str =
    r#"{"host":"k","version":7,"running":100,"sent":[],"unreachable":[]}"#;
const ACK_OF_EARLIER_TABLE: &str =
    r#"{"host":"k","version":6,"running":90000,"sent":[],"unreachable":[]}"#;
const RELEASE: &str = r#"{"first":0,"last":9,"holder":{"id":"a","born":1,"addr":"127.0.0.1:9000","region":"r"},"fence":3}"#;

/// Returns when the leader grants the keys of a holder that can't be reached for a release, if each request is answered by
/// an acknowledgement of the first tick.
fn granted_after(ack_of_k: &str) -> Millis {
    let table: Table = serde_json::from_str(TABLE).unwrap();
    let owner: Holder = table.spans[0].owner.clone();
    let inputs = Inputs {
        candidates: vec![Candidate { holder: owner, capacity: 20.0 }],
        hosts: table.keepers.clone(),
        copy: Some(StoreCopy(3)),
        ..Inputs::default()
    };
    let mut leader = Leader::new("h".parse().unwrap(), "s".parse().unwrap(), TIMING, Some(table));
    let mut is_told = false;
    for tick in 0..1_000 {
        let now = START + Millis(TICK.0 * tick);
        for action in leader.tick(&inputs, now) {
            match action {
                Action::Release(release) => {
                    leader.on_released(&release, Err(NotEnded::Unknown), now);
                }
                Action::Grant(_) => return now.since(START),
                Action::RequestAck(host) if host.as_str() == "k" => {
                    let ack: Ack = serde_json::from_str(ack_of_k).unwrap();
                    if !is_told {
                        leader.on_ack(ack, now);
                    }
                    is_told = true;
                }
                Action::RequestAck(host) => {
                    let (running, sent) = (Millis(90_000), Vec::new());
                    let ack = Ack { host, version: 7, running, sent, unreachable: Vec::new() };
                    leader.on_ack(ack, now);
                }
                Action::Write(_) => {}
            }
        }
    }
    panic!("not granted")
}

/// An acknowledgement must not end the wait for a grant that its sender, or an earlier process of it, may have sent.
#[test]
fn no_acknowledgement_of_an_earlier_host_ends_the_wait_for_a_grant_in_force() {
    let expiry = TIMING.grant_expiry();
    assert!(granted_after(ACK_WITH_GRANT) >= Millis(expiry.0 - 100));
    assert!(granted_after(ACK_AFTER_START) >= Millis(expiry.0 - 100));
    assert!(granted_after(ACK_OF_EARLIER_TABLE) >= TIMING.expiry_without_acks());
}

/// A table without the copy must neither be written anew at once, nor stop its keepers.
#[test]
fn a_table_of_an_earlier_host_is_renewed_and_written_back_as_it_is() {
    let mut table: Table = serde_json::from_str(TABLE).unwrap();
    assert_eq!(serde_json::to_string(&table).unwrap(), TABLE);
    assert_eq!(table.copy, None);
    table.spans[0].is_granted = true;
    table.spans[0].former.clear();
    let mut renewals = Renewals::new("k".parse().unwrap(), "r".parse().unwrap(), TIMING, START);
    renewals.adopt(table);
    renewals.on_read(START, StoreCopy(3), true);
    assert_eq!(renewals.due_renewals(START).len(), 1);
}

#[test]
fn a_release_is_sent_for_an_earlier_host_and_by_it() {
    let release: Release = serde_json::from_str(RELEASE).unwrap();
    assert_eq!((release.first, release.last, release.fence), (0, 9, FencingToken(3)));
    assert_eq!(serde_json::to_string(&release).unwrap(), RELEASE);
}
