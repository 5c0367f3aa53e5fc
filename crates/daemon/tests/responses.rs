//! Tests of the refusals of the router, of recorded and replayed answers, and of guarded response bodies.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use bytes::Bytes;
use futures_lite::{future, stream};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Body as _, Frame};
use rstest::rstest;
use serde_json::{Value, json};
use skylarkdock_daemon::proxy::guarded_body::GuardedBody;
use skylarkdock_daemon::proxy::headers;
use skylarkdock_daemon::proxy::recorded_answer::{self, ReadBody};
use skylarkdock_daemon::proxy::refusal::{Reason, Refusal};
use skylarkdock_httppath::body::{self, Body, BodyError};
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::Millis;
use std::sync::{Arc, Mutex};

const ID: &str = "019ae7a4-5c00-7000-8000-000000000000";

fn id() -> RequestId {
    ID.parse().unwrap()
}

fn bytes(res: Response<Body>) -> Bytes {
    future::block_on(res.into_body().collect()).unwrap().to_bytes()
}

/// Returns a body of several parts, which ends with an error if `truncated`.
fn body_of(parts: &[&[u8]], truncated: bool) -> Body {
    let frames = parts.iter().map(|part| Ok(Frame::data(Bytes::copy_from_slice(part))));
    let end = truncated.then_some(Err(BodyError::Unframed));
    let frames: Vec<Result<_, BodyError>> = frames.chain(end).collect();
    StreamBody::new(stream::iter(frames)).boxed_unsync()
}

#[rstest]
#[case(Reason::NoService, 404, "no-service")]
#[case(Reason::UnprovenService, 503, "unproven-service")]
#[case(Reason::BadRequest, 400, "bad-request")]
#[case(Reason::TooLarge, 413, "too-large")]
#[case(Reason::KeyReused, 422, "key-reused")]
#[case(Reason::KeyFromFuture, 400, "key-from-future")]
#[case(Reason::StillRunning, 409, "still-running")]
#[case(Reason::AnswerNotKept, 200, "answer-not-kept")]
#[case(Reason::NoHolder, 503, "no-holder")]
#[case(Reason::UpstreamDown, 503, "upstream-down")]
#[case(Reason::Overload, 503, "overload")]
#[case(Reason::Deadline, 504, "deadline")]
#[case(Reason::Quarantined, 422, "quarantined")]
#[case(Reason::Lost, 502, "lost")]
#[case(Reason::TooOld, 504, "too-old")]
#[case(Reason::NotHolder, 421, "not-holder")]
#[case(Reason::Draining, 503, "draining")]
#[case(Reason::Starting, 503, "starting")]
fn each_reason_has_its_status_and_name(
    #[case] reason: Reason,
    #[case] status: u16,
    #[case] name: &str,
) {
    for (refusal, outcome) in
        [(Refusal::not_run(reason), "not-run"), (Refusal::unknown(reason), "unknown")]
    {
        let res = refusal.response(Some(id()));
        assert_eq!(res.status(), status);
        assert_eq!(res.headers()[CONTENT_TYPE], "application/problem+json");
        assert_eq!(res.headers()[headers::OUTCOME], outcome);
        assert_eq!(res.headers()[headers::REQUEST_ID], ID);
        assert!(!res.headers().contains_key(RETRY_AFTER));
        let mut problem: Value = serde_json::from_slice(&bytes(res)).unwrap();
        assert!(problem["title"].take().as_str().is_some_and(|title| title.ends_with('.')));
        let expected = json!({"title": null, "status": status, "reason": name, "outcome": outcome,
            "request_id": ID});
        assert_eq!(problem, expected);
    }
}

#[rstest]
#[case(1, "1")]
#[case(1_000, "1")]
#[case(1_001, "2")]
#[case(0, "1")]
fn retry_after_is_rounded_up_to_whole_seconds(#[case] delay_ms: u64, #[case] expected: &str) {
    let res = Refusal::not_run(Reason::Overload).with_retry_after(Millis(delay_ms)).response(None);
    assert_eq!(res.headers()[RETRY_AFTER], expected);
    assert!(!res.headers().contains_key(headers::REQUEST_ID));
}

#[test]
fn a_whole_answer_is_replayed_unchanged() {
    let ReadBody::Whole(read) =
        future::block_on(recorded_answer::read_body(body_of(&[b"ab", b"", b"c"], false)))
    else {
        panic!("not whole");
    };
    let answer =
        recorded_answer::whole_answer(StatusCode::CREATED, Some("text/plain".to_owned()), read);
    let res = recorded_answer::replay(&answer, id());
    assert_eq!(res.status(), StatusCode::CREATED);
    assert_eq!(res.headers()[CONTENT_TYPE], "text/plain");
    assert_eq!(res.headers()[headers::OUTCOME], "done");
    assert_eq!(res.headers()[headers::REQUEST_ID], ID);
    assert_eq!(bytes(res), "abc");
}

#[test]
fn a_truncated_answer_is_not_recorded() {
    assert!(matches!(
        future::block_on(recorded_answer::read_body(body_of(&[b"ab"], true))),
        ReadBody::Truncated
    ));
}

/// Reads an answer of 300 kB and returns the digests passed to `on_end`, and the body that the caller received.
fn read_long_answer(
    truncated: bool,
    drop_early: bool,
) -> (Vec<Option<recorded_answer::Digest>>, Option<Bytes>) {
    let half = vec![7; 150_000];
    let source = body_of(&[&half, &half, b"end"], truncated);
    let ReadBody::Long(long_body) = future::block_on(recorded_answer::read_body(source)) else {
        panic!("not long")
    };
    let reported = Arc::new(Mutex::new(Vec::new()));
    let reported_by_body = Arc::clone(&reported);
    let body = long_body.into_body(move |digest| reported_by_body.lock().unwrap().push(digest));
    let read = if drop_early {
        drop(body);
        None
    } else {
        future::block_on(body.collect()).ok()
    };
    let reported = std::mem::take(&mut *reported.lock().unwrap());
    (reported, read.map(http_body_util::Collected::to_bytes))
}

#[test]
fn a_long_answer_is_passed_on_completely_and_has_a_digest() {
    let (mut reported, read) = read_long_answer(false, false);
    assert_eq!((reported.len(), read.unwrap().len()), (1, 300_003));
    let answer = recorded_answer::digest_answer(StatusCode::OK, None, reported.remove(0).unwrap());
    assert_eq!(answer.body.kept_bytes(), 0);
    let res = recorded_answer::replay(&answer, id());
    assert_eq!(res.headers()[headers::OUTCOME], "done");
    let problem: Value = serde_json::from_slice(&bytes(res)).unwrap();
    assert_eq!(problem["reason"], "answer-not-kept");
}

#[rstest]
#[case::truncated(true, false)]
#[case::dropped(false, true)]
fn a_long_answer_that_ends_early_has_no_digest(#[case] truncated: bool, #[case] dropped: bool) {
    let (reported, read) = read_long_answer(truncated, dropped);
    assert!(matches!(reported[..], [None]));
    assert!(read.is_none());
}

/// Polls a guarded body `frames` times and drops it. Returns the values passed to `on_end`, and whether the guard was
/// dropped when the body ended and not before.
fn poll_and_drop(body: Body, frames: usize) -> (Vec<bool>, bool) {
    let reported = Arc::new(Mutex::new(Vec::new()));
    let (reported_by_body, guard) = (Arc::clone(&reported), Arc::new(()));
    let on_end = Box::new(move |is_complete| reported_by_body.lock().unwrap().push(is_complete));
    let mut body = GuardedBody::new(body, Arc::clone(&guard), on_end);
    let mut dropped_at_end = true;
    for _ in 0..frames {
        let _ = future::block_on(body.frame());
        dropped_at_end &= (Arc::strong_count(&guard) == 1) != reported.lock().unwrap().is_empty();
    }
    drop(body);
    let reported = reported.lock().unwrap().clone();
    (reported, dropped_at_end && Arc::strong_count(&guard) == 1)
}

#[rstest]
#[case::read_to_the_end(body_of(&[b"a", b"b"], false), 3, true)]
#[case::polled_after_the_end(body_of(&[b"a"], false), 5, true)]
#[case::ends_with_its_last_frame(body::full("a"), 1, true)]
#[case::empty(body::empty(), 0, true)]
#[case::truncated(body_of(&[b"a"], true), 2, false)]
#[case::polled_after_truncation(body_of(&[b"a"], true), 4, false)]
#[case::dropped_before_the_end(body_of(&[b"a", b"b"], false), 1, false)]
#[case::never_polled(body::full("a"), 0, false)]
fn a_guarded_body_ends_exactly_once(
    #[case] body: Body,
    #[case] frames: usize,
    #[case] is_complete: bool,
) {
    let announced = body.size_hint().exact();
    assert!(announced.is_none_or(|len| len <= 1));
    assert_eq!(poll_and_drop(body, frames), (vec![is_complete], true));
}

#[test]
fn an_invalid_recorded_status_is_replayed_as_ok() {
    let mut answer =
        recorded_answer::whole_answer(StatusCode::OK, Some("bad\nvalue".to_owned()), Bytes::new());
    answer.status = 7;
    let res = recorded_answer::replay(&answer, id());
    assert_eq!((res.status(), res.headers().contains_key(CONTENT_TYPE)), (StatusCode::OK, false));
}
