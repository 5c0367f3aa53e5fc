//! The clients with the stand-ins of the log and of the host list, also while those inject faults.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use async_io::block_on;
use http::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_logclient::log::{AppendError, LogPage};
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

const ANY_PORT: &str = "127.0.0.1:0";

/// A stand-in server in this process, with its address and the client that controls it.
struct Standin {
    executor: Executor,
    addr: SocketAddr,
    control: Client,
}

impl Standin {
    fn log(settings: impl FnOnce(LogSettings) -> LogSettings) -> (Self, Log) {
        let executor = startup::executor().unwrap();
        let service = LogService::new(&settings(LogSettings::new(ANY_PORT.parse().unwrap())));
        let (listener, addr) = startup::listen(ANY_PORT.parse().unwrap()).unwrap();
        let server = Server::new(executor.clone(), None);
        server.start(listener, move |req| service.clone().handle(req));
        let log = Log::new(Pool::builder(executor.clone()).build(), addr);
        (Self { executor, addr, control: Client::start().unwrap() }, log)
    }

    fn put(&self, path: &str, value: Value) {
        let _: Value = self.control.put(self.addr, path, &value).unwrap();
    }

    fn set_faults(&self, faults: Value) {
        self.put("/_standin/faults", faults);
    }
}

fn read(log: &Log, from: u64) -> LogPage {
    block_on(log.read(Offset(from), 500, Millis(0))).unwrap()
}

fn texts(page: &LogPage) -> Vec<(u64, &str)> {
    page.records.iter().map(|(offset, text)| (offset.0, text.as_str())).collect()
}

#[test]
fn records_are_read_from_an_offset_as_they_were_appended() {
    let (_standin, log) = Standin::log(|settings| settings);
    for (offset, text) in [(1, "one \"quoted\""), (2, "zwei ü\n"), (3, "")] {
        assert_eq!(block_on(log.append(text)).unwrap(), Offset(offset));
    }
    assert_eq!(texts(&read(&log, 2)), [(2, "zwei ü\n"), (3, "")]);
    let page = block_on(log.read(Offset(1), 1, Millis(0))).unwrap();
    assert_eq!(texts(&page), [(1, "one \"quoted\"")]);
    assert_eq!((page.oldest, page.next), (Offset(1), Offset(4)));
}

#[test]
fn append_with_lost_response_is_unknown_and_can_be_read() {
    let (standin, log) = Standin::log(|settings| settings);
    standin.set_faults(json!({"lose_next_answers": 1}));
    assert!(matches!(block_on(log.append("lost")), Err(AppendError::Unknown(_))));
    assert_eq!(texts(&read(&log, 1)), [(1, "lost")]);
}

#[rstest]
#[case("status", true)]
#[case("refuse", false)]
#[case("hang", false)]
fn append_during_an_outage_is_unknown_unless_the_response_rules_it_out(
    #[case] mode: &str,
    #[case] rules_out_append: bool,
) {
    let (standin, log) = Standin::log(|settings| settings);
    standin.set_faults(json!({"outage": true, "outage_mode": mode}));
    let error = block_on(log.append("text")).unwrap_err();
    assert_eq!(matches!(error, AppendError::NotAppended(_)), rules_out_append, "{error:?}");
    assert_eq!(matches!(error, AppendError::Unknown(_)), !rules_out_append, "{error:?}");
    assert!(block_on(log.read(Offset(1), 500, Millis(0))).is_err());
    standin.set_faults(json!({}));
    assert!(read(&log, 1).records.is_empty());
    assert_eq!(block_on(log.append("after")).unwrap(), Offset(1));
}

#[test]
fn append_that_could_not_be_sent_is_not_appended() {
    let executor = startup::executor().unwrap();
    let (listener, addr) = startup::listen(ANY_PORT.parse().unwrap()).unwrap();
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
fn append_is_unknown_unless_the_status_rules_it_out(
    #[case] status: StatusCode,
    #[case] not_appended: bool,
) {
    let executor = startup::executor().unwrap();
    let (listener, addr) = startup::listen(ANY_PORT.parse().unwrap()).unwrap();
    let server = Server::new(executor.clone(), None);
    server.start(listener, move |_| async move { Ok(responses::error(status, "text")) });
    let log = Log::new(Pool::builder(executor).build(), addr);
    let error = block_on(log.append("text")).unwrap_err();
    assert_eq!(matches!(error, AppendError::NotAppended(_)), not_appended, "{error:?}");
    assert_eq!(matches!(error, AppendError::Unknown(_)), !not_appended, "{error:?}");
}

#[test]
fn rate_limited_append_has_a_retry_time_and_is_not_in_the_log() {
    let (_standin, log) = Standin::log(|settings| settings.appends_per_second(PerSecond(0)));
    let error = block_on(log.append("text")).unwrap_err();
    let expected = AppendError::RateLimited { retry_after: Millis(1_000) };
    assert_eq!(format!("{error:?}"), format!("{expected:?}"));
    assert!(read(&log, 1).records.is_empty());
}

#[test]
fn read_below_the_oldest_retained_record_starts_there() {
    let retention = Retention { max_records: Some(2), max_age: None };
    let (_standin, log) = Standin::log(|settings| settings.retention(retention));
    for text in ["a", "b", "c"] {
        block_on(log.append(text)).unwrap();
    }
    let page = read(&log, 1);
    assert_eq!((page.oldest, page.next), (Offset(2), Offset(4)));
    assert_eq!(texts(&page), [(2, "b"), (3, "c")]);
}

#[test]
fn waiting_read_returns_the_next_append() {
    let (standin, log) = Standin::log(|settings| settings);
    let reader = log.clone();
    // Far longer than the test should take. If the append does not end the read, the read returns no records and the test
    // fails.
    let waiting =
        standin.executor.spawn(async move { reader.read(Offset(1), 500, Millis(600_000)).await });
    block_on(log.append("news")).unwrap();
    assert_eq!(texts(&block_on(waiting).unwrap()), [(1, "news")]);
}

#[test]
fn host_list_has_the_addresses_by_which_the_requesting_host_reaches_others() {
    let executor = startup::executor().unwrap();
    let service = HostsService::new(serde_json::from_value(json!({"hosts": []})).unwrap()).unwrap();
    let (listener, addr) = startup::listen(ANY_PORT.parse().unwrap()).unwrap();
    let server = Server::new(executor.clone(), None);
    server.start(listener, move |req| service.clone().handle(req));
    let list = HostList::new(Pool::builder(executor.clone()).build(), addr);
    let standin = Standin { executor, addr, control: Client::start().unwrap() };
    let requester = "host-1".parse().unwrap();
    assert!(block_on(list.fetch(&requester)).unwrap().is_empty());
    let host = json!({"id": "host-2", "zone": "norte-a", "region": "bajio-norte", "leaving": true,
        "peer": "127.0.0.1:7102", "http": "127.0.0.1:8102",
        "via": {"host-1": {"peer": "127.0.0.1:1", "http": "127.0.0.1:2"}}});
    standin.put("/_standin/hosts", json!({"hosts": [host]}));
    let listed = block_on(list.fetch(&requester)).unwrap();
    assert_eq!((listed[0].id.as_str(), listed[0].zone.as_str()), ("host-2", "norte-a"));
    assert_eq!((listed[0].region.as_str(), listed[0].leaving), ("bajio-norte", true));
    assert_eq!(listed[0].peer, "127.0.0.1:1".parse().unwrap());
    assert_eq!(listed[0].http, "127.0.0.1:2".parse().unwrap());
    standin.set_faults(json!({"outage": true}));
    assert!(block_on(list.fetch(&requester)).is_err());
}
