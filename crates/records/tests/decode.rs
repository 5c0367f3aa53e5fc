//! Both schema versions decode into the internal form, and every fault is reported with its field.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed};
use rstest::rstest;
use serde_json::{Value, json};
use skylarkdock_records::service::{Class, OnCut, Priority};
use skylarkdock_records::{DecodeError, Service, decode};
use skylarkdock_units::times::Millis;

fn record_v1() -> Value {
    json!({"schema": 1, "service": "orders", "ranges": 16, "upstreams": [
        {"id": "b", "address": "10.0.0.2:80", "zone": "norte-b"},
        {"id": "a", "address": "10.0.0.1:80", "zone": "norte-a"}]})
}

fn record_v2() -> Value {
    let mut record = record_v1();
    record["schema"] = json!(2);
    record
}

fn with_value(mut record: Value, pointer: &str, value: Value) -> Value {
    let (parent, name) = pointer.rsplit_once('/').unwrap();
    let parent = record.pointer_mut(parent).unwrap();
    match parent {
        Value::Array(list) => list.push(value),
        other => other[name] = value,
    }
    record
}

/// Returns the record's faults, each as `field: problem`.
fn fault_texts(record: &Value) -> Vec<String> {
    match decode(record) {
        Err(DecodeError::Faults(faults)) => faults.iter().map(ToString::to_string).collect(),
        other => panic!("{other:?}"),
    }
}

fn classes(service: &Service, requests: &[(&str, &str)]) -> Vec<(Class, Priority)> {
    requests.iter().map(|(method, path)| service.classify(method, path)).collect()
}

#[test]
fn both_schema_versions_decode_to_the_same_defaults() {
    let (first, second) = (decode(&record_v1()).unwrap(), decode(&record_v2()).unwrap());
    assert_eq!(first, second);
    assert_eq!((first.name.as_str(), first.ranges), ("orders", 16));
    assert_eq!((first.deadline, first.on_cut), (Millis(10_000), OnCut::Move));
    let ids: Vec<_> = first.upstreams.iter().map(|upstream| upstream.id.as_str()).collect();
    assert_eq!(ids, ["a", "b"]);
    let upstream = first.upstream(&"b".parse().unwrap()).unwrap();
    assert_eq!(upstream.address, "10.0.0.2:80".parse().unwrap());
    assert_eq!((upstream.slots, upstream.connections, upstream.checks_orders), (4, 40, true));
    let expected =
        [(Class::Repeatable, Priority::Interactive), (Class::OnceOnly, Priority::Critical)];
    assert_eq!(classes(&first, &[("GET", "/"), ("POST", "/")]), expected);
}

#[rstest]
#[case("POST", Class::OnceOnly)]
#[case("GET", Class::Repeatable)]
#[case("DELETE", Class::Repeatable)]
#[case("OPTIONS", Class::Repeatable)]
#[case("PROPFIND", Class::OnceOnly)]
fn in_version_1_unlisted_standard_methods_are_repeatable(
    #[case] method: &str,
    #[case] expected: Class,
) {
    let service = decode(&with_value(record_v1(), "/once_only_methods", json!(["post"]))).unwrap();
    assert_eq!(service.classify(method, "/").0, expected);
}

#[test]
fn the_first_matching_operation_determines_the_class() {
    let operations = json!([
        {"method": "post", "path_prefix": "/search", "class": "repeatable", "priority": "bulk"},
        {"method": "POST", "class": "once-only"},
        {"method": "GET", "class": "once-only", "priority": "interactive"}]);
    let service = decode(&with_value(record_v2(), "/operations", operations)).unwrap();
    let found = classes(&service, &[("POST", "/search/x"), ("POST", "/pay"), ("GET", "/")]);
    let expected = [
        (Class::Repeatable, Priority::Bulk),
        (Class::OnceOnly, Priority::Critical),
        (Class::OnceOnly, Priority::Interactive),
    ];
    assert_eq!(found, expected);
}

#[test]
fn all_faults_of_a_record_are_reported_together() {
    let record = json!({"schema": 2, "service": "Orders", "ranges": 0, "deadline_ms": 1,
        "on_cut": "wait", "operations": [{"method": "", "class": "twice", "priority": "low"}],
        "upstreams": [
            {"id": "a", "address": "nowhere", "zone": "", "slots": 0, "connections": 0},
            {"id": "a", "address": "10.0.0.1:80", "zone": "z"}]});
    let expected = [
        "service: service name allows only lower-case letters, digits, '-', '_' and '.', found 'O'",
        "ranges: 0 is outside 1 to 4096",
        "deadline_ms: 1 is outside 10 to 600000",
        "on_cut: \"wait\" is not one of hold, move",
        "operations[0].method: must not be empty",
        "operations[0].class: \"twice\" is not one of repeatable, once-only",
        "operations[0].priority: \"low\" is not one of critical, interactive, bulk",
        "upstreams[1].id: a is listed more than once",
        "upstreams[0].address: \"nowhere\" is not an IP address with port, for example 10.0.0.1:80",
        "upstreams[0].zone: availability zone has 0 characters; 1 to 63 are allowed",
        "upstreams[0].slots: 0 is outside 1 to 10000",
        "upstreams[0].connections: 0 is outside 1 to 100000",
    ];
    assert_eq!(fault_texts(&record), expected);
}

#[rstest]
#[case(with_value(record_v1(), "/ranges", json!(4097)), "ranges: 4097 is outside 1 to 4096")]
#[case(with_value(record_v1(), "/upstreams", json!([])), "upstreams: must not be empty")]
#[case(with_value(record_v1(), "/once_only_methods", json!([""])), "once_only_methods[0]: must not be empty")]
#[case(with_value(record_v2(), "/deadline_ms", json!(600_001)), "deadline_ms: 600001 is outside 10 to 600000")]
#[case(with_value(record_v1(), "/ranges", json!("x")), "ranges: invalid type: string \"x\", expected u32")]
fn a_fault_is_reported_with_its_field(#[case] record: Value, #[case] expected: &str) {
    assert_eq!(fault_texts(&record), [expected]);
}

#[rstest]
#[case(with_value(record_v1(), "/on_cut", json!("hold")), "on_cut")]
#[case(with_value(record_v2(), "/onCut", json!("hold")), "onCut")]
#[case(with_value(record_v2(), "/upstreams/0/weight", json!(1)), "upstreams[0].weight")]
#[case(with_value(record_v2(), "/operations", json!([{"method": "GET", "class": "repeatable", "x": 1}])),
       "operations[0].x")]
fn unknown_fields_are_reported_by_name(#[case] record: Value, #[case] field: &str) {
    let found = fault_texts(&record);
    assert!(found[0].starts_with(&format!("{field}: unknown field")), "{found:?}");
}

#[test]
fn fields_of_the_wrong_type_are_reported_with_all_other_faults() {
    let record = json!({"schema": 2, "service": 7, "on_cut": "wait", "new": 1, "deadline_ms": "x",
        "operations": ["GET", {"class": "repeatable"}],
        "upstreams": [{"id": [], "address": 80, "zone": "z", "slots": -1, "weight": 2}, 5]});
    let mut fields: Vec<_> = fault_texts(&record)
        .iter()
        .map(|fault| fault.split(':').next().unwrap().to_owned())
        .collect();
    fields.sort();
    let expected = [
        "deadline_ms",
        "new",
        "on_cut",
        "operations[0]",
        "operations[1].method",
        "ranges",
        "service",
        "upstreams[0].address",
        "upstreams[0].id",
        "upstreams[0].slots",
        "upstreams[0].weight",
        "upstreams[1]",
    ];
    assert_eq!(fields, expected);
}

#[rstest]
#[case(0)]
#[case(3)]
#[case(u32::MAX)]
fn an_unknown_schema_version_is_not_reported_as_a_fault(#[case] found: u32) {
    let record = with_value(record_v2(), "/schema", json!(found));
    assert_eq!(decode(&record), Err(DecodeError::UnknownSchema { found, newest: 2 }));
}

#[rstest]
#[case(json!(null))]
#[case(json!([1]))]
#[case(json!({}))]
#[case(json!({"schema": "2"}))]
#[case(json!({"schema": -1}))]
#[case(json!({"schema": 4_294_967_296_u64}))]
fn json_without_a_schema_version_is_not_a_record(#[case] record: Value) {
    assert!(matches!(decode(&record), Err(DecodeError::NotARecord { .. })));
}

fn arbitrary_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<u64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,12}".prop_map(Value::from),
    ];
    leaf.prop_recursive(4, 32, 4, |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..4).prop_map(Value::from),
            prop::collection::btree_map("[a-z_]{1,8}", inner, 0..4)
                .prop_map(|map| Value::Object(map.into_iter().collect())),
        ]
    })
}

/// A valid record in which one value is replaced by arbitrary JSON.
fn arbitrary_record() -> impl Strategy<Value = Value> {
    let base = prop_oneof![Just(record_v1()), Just(record_v2())];
    let pointer = prop::sample::select(vec![
        "/schema",
        "/service",
        "/ranges",
        "/upstreams",
        "/operations",
        "/deadline_ms",
        "/on_cut",
        "/once_only_methods",
        "/upstreams/0/id",
        "/upstreams/0/address",
        "/upstreams/0/slots",
        "/upstreams/1/zone",
        "/new",
    ]);
    (base, pointer, arbitrary_json())
        .prop_map(|(base, pointer, value)| with_value(base, pointer, value))
}

proptest! {
    #![proptest_config(Config { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Config::default() })]

    #[test]
    fn decoding_arbitrary_json_is_deterministic(record in prop_oneof![arbitrary_json(), arbitrary_record()]) {
        let first = decode(&record);
        prop_assert_eq!(&first, &decode(&record));
        if let Err(DecodeError::Faults(faults)) = first {
            prop_assert!(!faults.is_empty());
        }
    }
}
