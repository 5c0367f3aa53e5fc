//! A graceful stop lets requests in flight finish.
#![allow(clippy::unwrap_used)]

mod common;

use common::{CONNECT_TIMEOUT, MAX_BODY_SIZE, deadline, executor, get, serve, text_response};
use futures_lite::future::{block_on, pending, yield_now};
use http::{Response, header};
use skylarkdock_httppath::body::{self, Body};
use skylarkdock_httppath::pool::Pool;
use skylarkdock_httppath::server::ShutdownOutcome;
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

const CALLERS: usize = 16;
const REQUESTS_BEFORE_DRAIN: usize = 400;
const BODY_LEN: usize = 100_000;

async fn slow_response() -> Response<Body> {
    async_io::Timer::after(std::time::Duration::from_millis(1)).await;
    text_response(&"x".repeat(BODY_LEN))
}

async fn read_response(pool: &Pool, addr: SocketAddr) {
    let res = pool.send(addr, get("/"), CONNECT_TIMEOUT, deadline()).await.unwrap();
    let bytes = body::collect(res.into_body(), MAX_BODY_SIZE).await.unwrap();
    assert_eq!(bytes.len(), BODY_LEN);
}

#[test]
fn callers_that_move_away_during_drain_lose_no_request() {
    let executor = executor();
    let leaving = serve(&executor, |b| b, |_, _| slow_response());
    let staying = serve(&executor, |b| b, |_, _| slow_response());
    let pool = Pool::builder(executor.clone()).build();
    let (answered, moved) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let call = |pool: Pool, answered: Arc<AtomicUsize>, moved: Arc<AtomicUsize>| {
        let (from, to, shutdown) = (leaving.addr, staying.addr, leaving.shutdown.clone());
        async move {
            while !shutdown.is_draining() {
                read_response(&pool, from).await;
                answered.fetch_add(1, Ordering::SeqCst);
            }
            moved.fetch_add(1, Ordering::SeqCst);
            read_response(&pool, to).await;
        }
    };
    let start = |_| executor.spawn(call(pool.clone(), Arc::clone(&answered), Arc::clone(&moved)));
    let callers: Vec<_> = (0..CALLERS).map(start).collect();
    block_on(async {
        while answered.load(Ordering::SeqCst) < REQUESTS_BEFORE_DRAIN {
            yield_now().await;
        }
        leaving.shutdown.drain();
        while moved.load(Ordering::SeqCst) < CALLERS {
            yield_now().await;
        }
        leaving.shutdown.stop();
        assert_eq!(leaving.end.await, ShutdownOutcome::Clean);
        for caller in callers {
            caller.await;
        }
    });
}

#[test]
fn stop_lets_requests_in_flight_finish() {
    let executor = executor();
    let in_flight = Arc::new(AtomicUsize::new(0));
    let started = Arc::clone(&in_flight);
    let (finish, finish_rx) = async_channel::bounded::<()>(1);
    let server = serve(
        &executor,
        |b| b,
        move |_, _| {
            started.fetch_add(1, Ordering::SeqCst);
            let finish_rx = finish_rx.clone();
            async move {
                // Ends when the channel is closed.
                let _ = finish_rx.recv().await;
                slow_response().await
            }
        },
    );
    let pool = Pool::builder(executor.clone()).build();
    let addr = server.addr;
    let call = |pool: Pool| async move { read_response(&pool, addr).await };
    let callers: Vec<_> = (0..CALLERS).map(|_| executor.spawn(call(pool.clone()))).collect();
    block_on(async {
        while in_flight.load(Ordering::SeqCst) < CALLERS {
            yield_now().await;
        }
        server.shutdown.stop();
        finish.close();
        for caller in callers {
            caller.await;
        }
        assert_eq!(server.end.await, ShutdownOutcome::Clean);
    });
}

#[test]
fn drain_closes_connections_and_accepts_new_ones() {
    let executor = executor();
    let server = serve(&executor, |b| b, |_, _| async { text_response("ok") });
    let pool = Pool::builder(executor).build();
    server.shutdown.drain();
    for _ in 0..2 {
        let sent = pool.send(server.addr, get("/"), CONNECT_TIMEOUT, deadline());
        let res: Response<_> = block_on(sent).unwrap();
        assert_eq!(res.headers()[header::CONNECTION], "close");
        assert_eq!(block_on(body::collect(res.into_body(), MAX_BODY_SIZE)).unwrap(), "ok");
        assert_eq!(pool.counts(server.addr).idle, 0);
    }
}

#[test]
fn request_in_flight_finishes_after_the_listener_closed() {
    let executor = executor();
    let (started_tx, started) = async_channel::bounded(1);
    let (finish, finish_rx) = async_channel::bounded::<()>(1);
    let server = serve(
        &executor,
        |b| b.idle_grace(Millis(0)),
        move |_, _| {
            let (started_tx, finish_rx) = (started_tx.clone(), finish_rx.clone());
            async move {
                started_tx.send(()).await.unwrap();
                finish_rx.recv().await.unwrap();
                text_response("whole")
            }
        },
    );
    let pool = Pool::builder(executor.clone()).build();
    let addr = server.addr;
    let sent = executor.spawn(async move {
        let res = pool.send(addr, get("/"), CONNECT_TIMEOUT, deadline()).await.unwrap();
        body::collect(res.into_body(), MAX_BODY_SIZE).await.unwrap()
    });
    block_on(async {
        started.recv().await.unwrap();
        server.shutdown.stop();
        // The listener is closed while the request still runs.
        while std::net::TcpStream::connect(addr).is_ok() {}
        finish.send(()).await.unwrap();
        assert_eq!(sent.await, "whole");
        assert_eq!(server.end.await, ShutdownOutcome::Clean);
    });
}

#[test]
fn stop_timeout_drops_open_connections() {
    let executor = executor();
    let (started_tx, started) = async_channel::bounded(1);
    let set = |b: skylarkdock_httppath::server::ServerBuilder| b.stop_timeout(Millis(50));
    let server = serve(&executor, set, move |_, _| {
        let started_tx = started_tx.clone();
        async move {
            started_tx.send(()).await.unwrap();
            pending().await
        }
    });
    let pool = Pool::builder(executor.clone()).build();
    let addr = server.addr;
    let sent = executor.spawn(async move {
        pool.send(addr, get("/"), CONNECT_TIMEOUT, deadline()).await.is_err()
    });
    block_on(async {
        started.recv().await.unwrap();
        server.shutdown.stop();
        assert_eq!(server.end.await, ShutdownOutcome::Aborted(1));
        assert!(sent.await);
    });
}
