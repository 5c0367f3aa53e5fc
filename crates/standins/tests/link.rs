//! Links as a process: cut and healed, reset, slowed down and counted.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use http::Method;
use rstest::rstest;
use serde_json::{Value, json};
use skylarkdock_standins::client::{self, PendingCall};
use skylarkdock_standins::link::rate_limiter::RateLimiter;
use skylarkdock_standins::process::Process;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;
use support::{LIMIT, Standin, eventually, launch, standin};

struct Relay {
    process: Process,
    control: SocketAddr,
    log: Standin,
}

impl Relay {
    fn start() -> Self {
        let log = standin("log", &[]);
        let link = format!("127.0.0.1:0={}", log.addr);
        let args = ["--link", &link, "--control", support::ANY];
        let process = launch("link", &args).start().unwrap();
        let control = process.address_labeled("control").unwrap();
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

    fn appended(&self) -> u64 {
        self.log.get("/_standin/stats")["appends"].as_u64().unwrap()
    }
}

/// A connection over a new link whose far end is in the test's hands.
fn connected() -> (Relay, TcpStream, TcpStream) {
    let listener = TcpListener::bind(support::ANY).unwrap();
    let mut relay = Relay::start();
    let to = listener.local_addr().unwrap().to_string();
    let args = ["--listen", support::ANY, "--to", &to, "--control", support::ANY];
    relay.process = launch("link", &args).start().unwrap();
    relay.control = relay.process.address_labeled("control").unwrap();
    let near = TcpStream::connect(relay.process.address()).unwrap();
    let far = listener.accept().unwrap().0;
    for stream in [&near, &far] {
        stream.set_read_timeout(Some(LIMIT)).unwrap();
    }
    (relay, near, far)
}

fn read_some(stream: &mut TcpStream) -> std::io::Result<String> {
    let mut buf = [0; 64];
    let len = stream.read(&mut buf)?;
    Ok(String::from_utf8_lossy(&buf[..len]).into_owned())
}

#[test]
fn bytes_pass_and_are_counted() {
    let relay = Relay::start();
    assert!(relay.append().wait().is_ok());
    assert!(relay.stat("bytes_to") > 0 && relay.stat("bytes_from") > 0);
    assert_eq!((relay.stat("accepted"), relay.stat("swallowed_to")), (1, 0));
}

#[rstest]
#[case("both")]
#[case("to")]
#[case("from")]
fn new_connections_over_a_cut_link_hang_until_it_heals(#[case] cut: &str) {
    let relay = Relay::start();
    relay.fault(json!({ "cut": cut }));
    let hanging = relay.append();
    eventually(|| (relay.stat("accepted") == 1).then_some(()));
    assert_eq!(relay.appended(), 0);
    assert!(!hanging.is_finished());
    relay.fault(json!({}));
    assert_eq!(hanging.wait().unwrap().status().as_u16(), 200);
}

#[test]
fn bytes_over_a_cut_are_swallowed_one_way_and_the_connection_is_reset_when_it_heals() {
    let (relay, mut near, mut far) = connected();
    relay.fault(json!({ "cut": "to" }));
    near.write_all(b"lost").unwrap();
    eventually(|| (relay.stat("swallowed_to") == 4).then_some(()));
    far.write_all(b"back").unwrap();
    assert_eq!(read_some(&mut near).unwrap(), "back");
    relay.fault(json!({}));
    assert!(read_some(&mut near).is_err());
    assert!(read_some(&mut far).is_err());
}

#[test]
fn a_connection_that_lost_nothing_goes_on_when_the_cut_heals() {
    let (relay, mut near, mut far) = connected();
    relay.fault(json!({ "cut": "both" }));
    relay.fault(json!({}));
    near.write_all(b"on").unwrap();
    assert_eq!(read_some(&mut far).unwrap(), "on");
}

#[test]
fn a_close_is_not_seen_over_a_cut() {
    let (relay, near, mut far) = connected();
    relay.fault(json!({ "cut": "both" }));
    drop(near);
    far.set_nonblocking(true).unwrap();
    assert_eq!(relay.stat("open"), 1);
    assert_eq!(read_some(&mut far).unwrap_err().kind(), std::io::ErrorKind::WouldBlock);
    far.set_nonblocking(false).unwrap();
    relay.fault(json!({}));
    assert_eq!(read_some(&mut far).unwrap_or_default(), "");
}

#[test]
fn a_reset_ends_connections_and_refuses_new_ones() {
    let (relay, mut near, mut far) = connected();
    relay.fault(json!({ "reset": true }));
    assert!(read_some(&mut near).is_err());
    assert!(read_some(&mut far).is_err());
    assert!(relay.append().wait().is_err());
    assert_eq!(relay.appended(), 0);
}

#[test]
fn a_slow_link_delivers_everything() {
    let (relay, mut near, mut far) = connected();
    relay.fault(json!({ "latency_ms": 3, "bytes_per_second": 4_000_000 }));
    let sent: Vec<u8> = (0..200_000_u32).map(|n| u8::try_from(n % 251).unwrap()).collect();
    let expected = sent.clone();
    let writer = std::thread::spawn(move || {
        near.write_all(&sent).unwrap();
        near
    });
    let mut got = vec![0; expected.len()];
    far.read_exact(&mut got).unwrap();
    assert!(got == expected);
    drop(writer.join().unwrap());
    assert_eq!(read_some(&mut far).unwrap(), "");
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
fn a_process_carries_many_links() {
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
