//! JSON calls return decoded values and an error for each kind of failure.
#![allow(clippy::unwrap_used)]

mod common;

use common::{
    CONNECT_TIMEOUT, MAX_BODY_SIZE, deadline, executor, read_request_head, scripted_peer, serve,
};
use futures_lite::future::block_on;
use http::{Response, StatusCode};
use skylarkdock_httppath::body;
use skylarkdock_httppath::json::{self, Call, CallError};
use skylarkdock_httppath::pool::Pool;
use skylarkdock_units::measures::ByteSize;

#[test]
fn calls_return_values_and_typed_errors() {
    let executor = executor();
    let server = serve(
        &executor,
        |b| b,
        |req, _| async move {
            let busy = req.uri().path() == "/busy";
            let sent = body::collect(req.into_body(), MAX_BODY_SIZE).await.unwrap();
            let res = Response::builder();
            let res = if busy { res.status(429).header("retry-after", "2") } else { res };
            let response_body = if sent.is_empty() { "[7]".into() } else { sent };
            res.body(body::full(response_body)).unwrap()
        },
    );
    let pool = Pool::builder(executor).build();
    let call = Call {
        pool: &pool,
        addr: server.addr,
        path: "/",
        connect_timeout: CONNECT_TIMEOUT,
        deadline: deadline(),
        max_response_size: MAX_BODY_SIZE,
    };
    assert_eq!(block_on(json::get_json::<Vec<u32>>(call)).unwrap(), [7]);
    assert_eq!(block_on(json::post_json::<Vec<u32>>(call, &[1, 2])).unwrap(), [1, 2]);
    assert_eq!(block_on(json::put_json::<Vec<u32>>(call, &[3])).unwrap(), [3]);

    let decode = block_on(json::get_json::<String>(call));
    assert!(matches!(decode, Err(CallError::Decode { status: StatusCode::OK, .. })));
    let too_large =
        block_on(json::get_json::<Vec<u32>>(Call { max_response_size: ByteSize(1), ..call }));
    assert!(matches!(too_large, Err(CallError::Body { status: StatusCode::OK, .. })));
    let bad_path = block_on(json::get_json::<Vec<u32>>(Call { path: "a b", ..call }));
    assert!(matches!(bad_path, Err(CallError::Request(_))));
    let busy = block_on(json::get_json::<Vec<u32>>(Call { path: "/busy", ..call }));
    let retry = Some(2);
    assert!(matches!(busy, Err(CallError::Status { retry_after_s, .. }) if retry_after_s == retry));

    let peer = scripted_peer(vec![|stream| drop(read_request_head(stream))]);
    let lost = block_on(json::get_json::<Vec<u32>>(Call { addr: peer.addr, ..call }));
    assert!(matches!(lost, Err(CallError::Unknown(_))));
    peer.thread.join().unwrap();
    let refused = block_on(json::get_json::<Vec<u32>>(Call { addr: peer.addr, ..call }));
    assert!(matches!(refused, Err(CallError::NotSent(_))));
}
