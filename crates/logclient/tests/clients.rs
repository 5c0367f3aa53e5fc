//! The clients against the stand-in log and host list, with their faults.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use async_io::block_on;
use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_logclient::log::{AppendError, Reading};
use skylarkdock_logclient::{HostList, Log};
use skylarkdock_standins::client::Client;
use skylarkdock_standins::hosts::service::HostsService;
use skylarkdock_standins::log::LogSettings;
use skylarkdock_standins::log::service::LogService;
use skylarkdock_standins::log::store::Retention;
use skylarkdock_standins::server::Server;
use skylarkdock_standins::{responses, startup};
use skylarkdock_units::ids::Offset;
use skylarkdock_units::measures::PerSecond;
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;

const ANY: &str = "127.0.0.1:0";

/// A stand-in in this process, what drives it and what the client under test keeps connections in.
struct Standin {
    executor: Executor,
    addr: SocketAddr,
    control: Client,
}

impl Standin {
    fn log(settings: impl FnOnce(LogSettings) -> LogSettings) -> (Self, Log) {
        let executor = startup::executor().unwrap();
        let service = LogService::new(&settings(LogSettings::new(ANY.parse().unwrap())));
        let (listener, addr) = startup::listen(ANY.parse().unwrap()).unwrap();
        let server = Server::new(executor.clone(), None);
        server.start(listener, move |req| service.clone().handle(req));
        let log = Log::new(Pool::builder(executor.clone()).build(), addr);
        (Self { executor, addr, control: Client::start().unwrap() }, log)
    }

    fn set(&self, path: &str, value: Value) {
        let _: Value = self.control.put(self.addr, path, &value).unwrap();
    }

    fn fault(&self, faults: Value) {
        self.set("/_standin/faults", faults);
    }
}

fn read(log: &Log, from: u64) -> Reading {
    block_on(log.read(Offset(from), 500, Millis(0))).unwrap()
}

fn texts(reading: &Reading) -> Vec<(u64, &str)> {
    reading.records.iter().map(|(offset, text)| (offset.0, text.as_str())).collect()
}

#[test]
fn records_are_read_from_an_offset_as_they_were_appended() {
    let (_standin, log) = Standin::log(|settings| settings);
    for (offset, text) in [(1, "one \"quoted\""), (2, "zwei ü\n"), (3, "")] {
        assert_eq!(block_on(log.append(text)).unwrap(), Offset(offset));
    }
    assert_eq!(texts(&read(&log, 2)), [(2, "zwei ü\n"), (3, "")]);
    let reading = block_on(log.read(Offset(1), 1, Millis(0))).unwrap();
    assert_eq!(texts(&reading), [(1, "one \"quoted\"")]);
    assert_eq!((reading.oldest, reading.next), (Offset(1), Offset(4)));
}

#[test]
fn a_lost_answer_leaves_the_append_unknown_and_the_log_tells() {
    let (standin, log) = Standin::log(|settings| settings);
    standin.fault(json!({"lose_next_answers": 1}));
    assert!(matches!(block_on(log.append("lost")), Err(AppendError::Unknown(_))));
    assert_eq!(texts(&read(&log, 1)), [(1, "lost")]);
}

#[rstest]
#[case("status", true)]
#[case("refuse", false)]
#[case("hang", false)]
fn an_outage_is_not_appended_only_if_the_log_says_so(#[case] mode: &str, #[case] says_so: bool) {
    let (standin, log) = Standin::log(|settings| settings);
    standin.fault(json!({"outage": true, "outage_mode": mode}));
    let error = block_on(log.append("text")).unwrap_err();
    assert_eq!(matches!(error, AppendError::NotAppended(_)), says_so, "{error:?}");
    assert_eq!(matches!(error, AppendError::Unknown(_)), !says_so, "{error:?}");
    assert!(block_on(log.read(Offset(1), 500, Millis(0))).is_err());
    standin.fault(json!({}));
    assert!(read(&log, 1).records.is_empty());
    assert_eq!(block_on(log.append("after")).unwrap(), Offset(1));
}

#[test]
fn an_append_that_could_not_be_sent_is_not_appended() {
    let executor = startup::executor().unwrap();
    let (listener, addr) = startup::listen(ANY.parse().unwrap()).unwrap();
    drop(listener);
    let log = Log::new(Pool::builder(executor).build(), addr);
    assert!(matches!(block_on(log.append("text")), Err(AppendError::NotAppended(_))));
}

#[rstest]
#[case(StatusCode::BAD_REQUEST, true)]
#[case(StatusCode::PAYLOAD_TOO_LARGE, true)]
#[case(StatusCode::SERVICE_UNAVAILABLE, true)]
#[case(StatusCode::INTERNAL_SERVER_ERROR, false)]
#[case(StatusCode::BAD_GATEWAY, false)]
#[case(StatusCode::GATEWAY_TIMEOUT, false)]
#[case(StatusCode::OK, false)]
fn a_status_that_does_not_rule_the_append_out_leaves_it_unknown(
    #[case] status: StatusCode,
    #[case] not_appended: bool,
) {
    let executor = startup::executor().unwrap();
    let (listener, addr) = startup::listen(ANY.parse().unwrap()).unwrap();
    let server = Server::new(executor.clone(), None);
    server.start(listener, move |_| async move { Ok(responses::error(status, "text")) });
    let log = Log::new(Pool::builder(executor).build(), addr);
    let error = block_on(log.append("text")).unwrap_err();
    assert_eq!(matches!(error, AppendError::NotAppended(_)), not_appended, "{error:?}");
    assert_eq!(matches!(error, AppendError::Unknown(_)), !not_appended, "{error:?}");
}

#[test]
fn an_append_over_the_rate_is_told_with_the_time_and_not_in_the_log() {
    let (_standin, log) = Standin::log(|settings| settings.appends_per_second(PerSecond(0)));
    let error = block_on(log.append("text")).unwrap_err();
    let over = AppendError::OverRate { retry_after: Millis(1_000) };
    assert_eq!(format!("{error:?}"), format!("{over:?}"));
    assert!(read(&log, 1).records.is_empty());
}

#[test]
fn retention_moves_the_oldest_and_a_read_below_begins_there() {
    let retention = Retention { max_records: Some(2), max_age: None };
    let (_standin, log) = Standin::log(|settings| settings.retention(retention));
    for text in ["a", "b", "c"] {
        block_on(log.append(text)).unwrap();
    }
    let reading = read(&log, 1);
    assert_eq!((reading.oldest, reading.next), (Offset(2), Offset(4)));
    assert_eq!(texts(&reading), [(2, "b"), (3, "c")]);
}

#[test]
fn a_waiting_read_is_answered_by_the_next_append() {
    let (standin, log) = Standin::log(|settings| settings);
    let reader = log.clone();
    // Far longer than the test may take: it ends early or fails by its answer.
    let waiting =
        standin.executor.spawn(async move { reader.read(Offset(1), 500, Millis(600_000)).await });
    block_on(log.append("news")).unwrap();
    assert_eq!(texts(&block_on(waiting).unwrap()), [(1, "news")]);
}

#[test]
fn the_host_list_has_the_addresses_by_which_the_asking_host_reaches_others() {
    let executor = startup::executor().unwrap();
    let service = HostsService::new(serde_json::from_value(json!({"hosts": []})).unwrap()).unwrap();
    let (listener, addr) = startup::listen(ANY.parse().unwrap()).unwrap();
    let server = Server::new(executor.clone(), None);
    server.start(listener, move |req| service.clone().handle(req));
    let list = HostList::new(Pool::builder(executor.clone()).build(), addr);
    let standin = Standin { executor, addr, control: Client::start().unwrap() };
    let me = "host-1".parse().unwrap();
    assert!(block_on(list.fetch(&me)).unwrap().is_empty());
    let host = json!({"id": "host-2", "zone": "norte-a", "region": "bajio-norte", "leaving": true,
        "peer": "127.0.0.1:7102", "http": "127.0.0.1:8102",
        "via": {"host-1": {"peer": "127.0.0.1:1", "http": "127.0.0.1:2"}}});
    standin.set("/_standin/hosts", json!({"hosts": [host]}));
    let listed = block_on(list.fetch(&me)).unwrap();
    assert_eq!((listed[0].id.as_str(), listed[0].zone.as_str()), ("host-2", "norte-a"));
    assert_eq!((listed[0].region.as_str(), listed[0].leaving), ("bajio-norte", true));
    assert_eq!(listed[0].peer, "127.0.0.1:1".parse().unwrap());
    assert_eq!(listed[0].http, "127.0.0.1:2".parse().unwrap());
    standin.fault(json!({"outage": true}));
    assert!(block_on(list.fetch(&me)).is_err());
}
