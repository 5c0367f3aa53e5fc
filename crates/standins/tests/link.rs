//! Tests of the process that runs links: cuts, resets, latency, rate limits and counters.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use http::Method;
use rstest::rstest;
use rustix::net::sockopt;
use serde_json::{Value, json};
use skylarkdock_standins::client::{self, PendingCall};
use skylarkdock_standins::link::rate_limiter::RateLimiter;
use skylarkdock_standins::process::Process;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use support::{Standin, WAIT_TIMEOUT, eventually, launch, standin};

/// Number of transfers that are reset.
const RESETS: usize = 40;
/// Size of a transfer that waits in the link when the connection is reset.
const TRANSFER: usize = 1024 * 1024;

struct Relay {
    process: Process,
    control: SocketAddr,
    log: Standin,
}

impl Relay {
    fn start() -> Self {
        let log = standin("log", &[]);
        let link = format!("127.0.0.1:0={}", log.addr);
        let args = ["--link", &link, "--control", support::ANY_PORT];
        let process = launch("link", &args).start().unwrap();
        let control = process.address_with_label("control").unwrap();
        Self { process, control, log }
    }

    fn fault(&self, faults: Value) {
        let links = json!({ "links": { self.process.address().to_string(): faults } });
        let _: Value = self.log.client.put(self.control, "/_standin/faults", &links).unwrap();
    }

    fn stat(&self, name: &str) -> u64 {
        let stats: Value = self.log.client.get(self.control, "/_standin/stats").unwrap();
        stats["links"][self.process.address().to_string()][name].as_u64().unwrap()
    }

    fn append(&self) -> PendingCall {
        let req = client::request(Method::POST, "/append", r#"{"record": "text"}"#);
        self.log.client.begin(self.process.address(), req)
    }

    fn append_count(&self) -> u64 {
        self.log.get("/_standin/stats")["appends"].as_u64().unwrap()
    }
}

/// Starts a link to a listener of the test.
fn link_to_listener() -> (Relay, TcpListener) {
    let listener = TcpListener::bind(support::ANY_PORT).unwrap();
    let mut relay = Relay::start();
    let to = listener.local_addr().unwrap().to_string();
    let args = ["--listen", support::ANY_PORT, "--to", &to, "--control", support::ANY_PORT];
    relay.process = launch("link", &args).start().unwrap();
    relay.control = relay.process.address_with_label("control").unwrap();
    (relay, listener)
}

/// Opens a connection over a new link to a listener of the test; returns the sockets of caller and destination.
fn connect() -> (Relay, TcpStream, TcpStream) {
    let (relay, listener) = link_to_listener();
    let (caller, destination) = connect_over(&relay, &listener);
    (relay, caller, destination)
}

fn connect_over(relay: &Relay, listener: &TcpListener) -> (TcpStream, TcpStream) {
    let caller = TcpStream::connect(relay.process.address()).unwrap();
    let destination = listener.accept().unwrap().0;
    for stream in [&caller, &destination] {
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    }
    (caller, destination)
}

fn read_available(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut buf = [0; 64];
    let len = stream.read(&mut buf)?;
    Ok(String::from_utf8_lossy(&buf[..len]).into_owned())
}

#[test]
fn relayed_bytes_are_counted() {
    let relay = Relay::start();
    assert!(relay.append().wait().is_ok());
    assert!(relay.stat("bytes_to") > 0 && relay.stat("bytes_from") > 0);
    assert_eq!((relay.stat("accepted"), relay.stat("swallowed_to")), (1, 0));
}

#[rstest]
#[case("both")]
#[case("to")]
#[case("from")]
fn new_connections_hang_until_the_cut_ends(#[case] cut: &str) {
    let relay = Relay::start();
    relay.fault(json!({ "cut": cut }));
    let hanging = relay.append();
    eventually(|| (relay.stat("accepted") == 1).then_some(()));
    assert_eq!(relay.append_count(), 0);
    assert!(!hanging.is_finished());
    relay.fault(json!({}));
    assert_eq!(hanging.wait().unwrap().status().as_u16(), 200);
}

#[test]
fn a_cut_discards_bytes_of_one_direction_and_its_end_resets_the_connection() {
    let (relay, mut caller, mut destination) = connect();
    relay.fault(json!({ "cut": "to" }));
    caller.write_all(b"lost").unwrap();
    eventually(|| (relay.stat("swallowed_to") == 4).then_some(()));
    destination.write_all(b"back").unwrap();
    assert_eq!(read_available(&mut caller).unwrap(), "back");
    relay.fault(json!({}));
    assert!(read_available(&mut caller).is_err());
    assert!(read_available(&mut destination).is_err());
}

#[test]
fn a_connection_without_lost_bytes_survives_the_end_of_the_cut() {
    let (relay, mut caller, mut destination) = connect();
    relay.fault(json!({ "cut": "both" }));
    relay.fault(json!({}));
    caller.write_all(b"on").unwrap();
    assert_eq!(read_available(&mut destination).unwrap(), "on");
}

#[test]
fn a_close_is_not_relayed_during_a_cut() {
    let (relay, caller, mut destination) = connect();
    relay.fault(json!({ "cut": "both" }));
    drop(caller);
    destination.set_nonblocking(true).unwrap();
    assert_eq!(relay.stat("open"), 1);
    assert_eq!(
        read_available(&mut destination).unwrap_err().kind(),
        std::io::ErrorKind::WouldBlock
    );
    destination.set_nonblocking(false).unwrap();
    relay.fault(json!({}));
    assert_eq!(read_available(&mut destination).unwrap_or_default(), "");
}

#[test]
fn a_reset_closes_open_and_new_connections() {
    let (relay, mut caller, mut destination) = connect();
    relay.fault(json!({ "reset": true }));
    assert!(read_available(&mut caller).is_err());
    assert!(read_available(&mut destination).is_err());
    assert!(relay.append().wait().is_err());
    assert_eq!(relay.append_count(), 0);
}

/// The link's write to one side may learn of a reset there before its read does, which then ends as after an orderly close.
#[rstest]
#[case::by_the_destination(false)]
#[case::by_the_caller(true)]
fn a_reset_during_a_transfer_is_passed_on_as_a_reset(#[case] is_by_caller: bool) {
    let (relay, listener) = link_to_listener();
    for _ in 0..RESETS {
        let (caller, destination) = connect_over(&relay, &listener);
        let (mut writer, mut resetter) =
            if is_by_caller { (destination, caller) } else { (caller, destination) };
        writer.write_all(&vec![b'x'; TRANSFER]).unwrap();
        resetter.read_exact(&mut [0; 4096]).unwrap();
        resetter.write_all(b"part").unwrap();
        sockopt::set_socket_linger(&resetter, Some(Duration::ZERO)).unwrap();
        drop(resetter);
        let end = writer.read_to_end(&mut Vec::new());
        assert!(end.is_err(), "an orderly end: {end:?}");
    }
}

#[test]
fn a_slow_link_delivers_all_bytes_in_order() {
    let (relay, mut caller, mut destination) = connect();
    relay.fault(json!({ "latency_ms": 3, "bytes_per_second": 4_000_000 }));
    let sent: Vec<u8> = (0..200_000_u32).map(|n| u8::try_from(n % 251).unwrap()).collect();
    let expected = sent.clone();
    let writer = std::thread::spawn(move || {
        caller.write_all(&sent).unwrap();
        caller
    });
    let mut received = vec![0; expected.len()];
    destination.read_exact(&mut received).unwrap();
    assert!(received == expected);
    drop(writer.join().unwrap());
    assert_eq!(read_available(&mut destination).unwrap(), "");
}

#[test]
fn faults_of_unknown_links_are_refused() {
    let relay = Relay::start();
    let faults = r#"{"links": {"127.0.0.1:1": {}}}"#;
    let req = client::request(Method::PUT, "/_standin/faults", faults);
    let res = relay.log.client.begin(relay.control, req).wait().unwrap();
    assert_eq!(res.status().as_u16(), 400);
}

#[test]
fn a_process_can_run_several_links() {
    let args = ["--link", "127.0.0.1:0=127.0.0.1:1", "--link", "127.0.0.1:0=127.0.0.1:2"];
    let links = launch("link", &args).expected_listeners(2).start().unwrap();
    let addresses = links.listening();
    assert_eq!(addresses.len(), 2);
    assert_ne!(addresses[0], addresses[1]);
}

#[test]
fn the_rate_limiter_schedules_transmissions_one_after_the_other() {
    let mut limiter = RateLimiter::default();
    let at = Duration::from_millis;
    assert_eq!(limiter.schedule(at(0), 500, None), at(0));
    assert_eq!(limiter.schedule(at(0), 500, Some(1000)), at(500));
    assert_eq!(limiter.schedule(at(100), 500, Some(1000)), at(1000));
    assert_eq!(limiter.schedule(at(2000), 500, Some(1000)), at(2500));
}
