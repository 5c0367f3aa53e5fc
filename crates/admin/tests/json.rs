//! The JSON of the calls does not change, because scripts of operators rely on it.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::{Value, json};
use skylarkdock_admin::envelope::{Done, NoParams, Request, Response, RpcError};
use skylarkdock_admin::explain::{RequestExplanation, RequestOutcome};
use skylarkdock_admin::status::EventsResult;
use skylarkdock_admin::verdict::{Fault, Refusal, Verdict};
use skylarkdock_admin::{methods, ranges::RangesParams};
use skylarkdock_timeline::ring::Page;
use skylarkdock_units::ids::{Incarnation, Offset};
use std::fmt::Debug;

fn check_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, expected: &Value) {
    assert_eq!(&serde_json::to_value(value).unwrap(), expected);
    assert_eq!(&serde_json::from_value::<T>(expected.clone()).unwrap(), value);
}

#[test]
fn requests_and_responses_follow_json_rpc() {
    let call = Request::new(7, methods::STATUS, NoParams {});
    check_json(&call, &json!({"jsonrpc": "2.0", "id": 7, "method": "status", "params": {}}));
    let done = Response::result(7, Done {});
    check_json(&done, &json!({"jsonrpc": "2.0", "id": 7, "result": {}}));
    let error = RpcError { code: -32601, message: "Method not found".to_owned(), data: None };
    let failed: Response<Done> = Response::error(None, error.clone());
    let expected = json!({"jsonrpc": "2.0", "id": null, "error": {"code": -32601, "message": "Method not found"}});
    check_json(&failed, &expected);
    assert_eq!(failed.into_result(), Err(error));
    let unsupported = json!({"jsonrpc": "1.0", "id": 7, "result": {}});
    assert!(serde_json::from_value::<Response<Done>>(unsupported).is_err());
}

#[rstest]
#[case::conflict(
    Refusal::Conflict { revision: Offset(9), by: "ana".to_owned() },
    json!({"verdict": "refused", "reason": "conflict", "revision": 9, "by": "ana"})
)]
#[case::invalid(
    Refusal::Invalid { faults: vec![Fault { field: "ranges".to_owned(), problem: "is 0".to_owned() }] },
    json!({"verdict": "refused", "reason": "invalid", "faults": [{"field": "ranges", "problem": "is 0"}]})
)]
#[case::schema(
    Refusal::UnsupportedSchema { host: "host-1".parse().unwrap() },
    json!({"verdict": "refused", "reason": "unsupported_schema", "host": "host-1"})
)]
#[case::not_found(Refusal::NotFound, json!({"verdict": "refused", "reason": "not_found"}))]
fn refusals_are_tagged_with_their_reason(#[case] reason: Refusal, #[case] expected: Value) {
    check_json(&Verdict::Refused { reason }, &expected);
}

#[test]
fn verdicts_are_tagged() {
    check_json(
        &Verdict::Accepted { offset: Offset(4) },
        &json!({"verdict": "accepted", "offset": 4}),
    );
    let id = "6f2c1d9e-3c1f-4a52-9a55-1f0f6a1f2b3c";
    let unknown = Verdict::Unknown { id: id.parse().unwrap() };
    check_json(&unknown, &json!({"verdict": "unknown", "id": id}));
}

#[test]
fn pages_and_outcomes_are_flattened() {
    let host = "host-1".parse().unwrap();
    let page = Page { oldest: 1, last: 4, events: Vec::new() };
    let events = EventsResult { host, incarnation: Incarnation(3), page };
    let expected =
        json!({"host": "host-1", "incarnation": 3, "oldest": 1, "last": 4, "events": []});
    check_json(&events, &expected);
    let outcome = RequestOutcome::Answered { status: 200, upstream: "orders-1".parse().unwrap() };
    let host = "host-1".parse().unwrap();
    let explanation = RequestExplanation { host, outcome, range: None, why: Vec::new() };
    let expected = json!({"host": "host-1", "outcome": "answered", "status": 200, "upstream": "orders-1", "range": null, "why": []});
    check_json(&explanation, &expected);
    let all: RangesParams = serde_json::from_str("{}").unwrap();
    assert_eq!(all, RangesParams::default());
}
