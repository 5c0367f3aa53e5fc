//! A planned stop cuts no request.
#![allow(clippy::unwrap_used)]

mod common;

use common::{CONNECT_TIMEOUT, LIMIT, deadline, executor, get, serve, text};
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

async fn slow_answer() -> Response<Body> {
    async_io::Timer::after(std::time::Duration::from_millis(1)).await;
    text(&"x".repeat(BODY_LEN))
}

async fn read_whole(pool: &Pool, addr: SocketAddr) {
    let res = pool.send(addr, get("/"), CONNECT_TIMEOUT, deadline()).await.unwrap();
    let bytes = body::collect(res.into_body(), LIMIT).await.unwrap();
    assert_eq!(bytes.len(), BODY_LEN);
}

#[test]
fn busy_callers_that_follow_health_lose_no_request() {
    let executor = executor();
    let leaving = serve(&executor, |b| b, |_, _| slow_answer());
    let staying = serve(&executor, |b| b, |_, _| slow_answer());
    let pool = Pool::builder(executor.clone()).build();
    let (answered, moved) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let call = |pool: Pool, answered: Arc<AtomicUsize>, moved: Arc<AtomicUsize>| {
        let (from, to, health) = (leaving.addr, staying.addr, leaving.shutdown.clone());
        async move {
            while !health.is_draining() {
                read_whole(&pool, from).await;
                answered.fetch_add(1, Ordering::SeqCst);
            }
            moved.fetch_add(1, Ordering::SeqCst);
            read_whole(&pool, to).await;
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
fn stop_cuts_no_running_request() {
    let executor = executor();
    let running_now = Arc::new(AtomicUsize::new(0));
    let started = Arc::clone(&running_now);
    let (go, go_rx) = async_channel::bounded::<()>(1);
    let running = serve(
        &executor,
        |b| b,
        move |_, _| {
            started.fetch_add(1, Ordering::SeqCst);
            let go_rx = go_rx.clone();
            async move {
                // Ends when the channel is closed.
                let _ = go_rx.recv().await;
                slow_answer().await
            }
        },
    );
    let pool = Pool::builder(executor.clone()).build();
    let addr = running.addr;
    let call = |pool: Pool| async move { read_whole(&pool, addr).await };
    let callers: Vec<_> = (0..CALLERS).map(|_| executor.spawn(call(pool.clone()))).collect();
    block_on(async {
        while running_now.load(Ordering::SeqCst) < CALLERS {
            yield_now().await;
        }
        running.shutdown.stop();
        go.close();
        for caller in callers {
            caller.await;
        }
        assert_eq!(running.end.await, ShutdownOutcome::Clean);
    });
}

#[test]
fn drain_answers_with_close_and_goes_on_accepting() {
    let executor = executor();
    let running = serve(&executor, |b| b, |_, _| async { text("ok") });
    let pool = Pool::builder(executor).build();
    running.shutdown.drain();
    for _ in 0..2 {
        let sent = pool.send(running.addr, get("/"), CONNECT_TIMEOUT, deadline());
        let res: Response<_> = block_on(sent).unwrap();
        assert_eq!(res.headers()[header::CONNECTION], "close");
        assert_eq!(block_on(body::collect(res.into_body(), LIMIT)).unwrap(), "ok");
        assert_eq!(pool.counts(running.addr).idle, 0);
    }
}

#[test]
fn request_in_flight_finishes_after_stop() {
    let executor = executor();
    let (started_tx, started) = async_channel::bounded(1);
    let (go, go_rx) = async_channel::bounded::<()>(1);
    let running = serve(
        &executor,
        |b| b.idle_grace(Millis(0)),
        move |_, _| {
            let (started_tx, go_rx) = (started_tx.clone(), go_rx.clone());
            async move {
                started_tx.send(()).await.unwrap();
                go_rx.recv().await.unwrap();
                text("whole")
            }
        },
    );
    let pool = Pool::builder(executor.clone()).build();
    let addr = running.addr;
    let sent = executor.spawn(async move {
        let res = pool.send(addr, get("/"), CONNECT_TIMEOUT, deadline()).await.unwrap();
        body::collect(res.into_body(), LIMIT).await.unwrap()
    });
    block_on(async {
        started.recv().await.unwrap();
        running.shutdown.stop();
        // The listener is closed while the request still runs.
        while std::net::TcpStream::connect(addr).is_ok() {}
        go.send(()).await.unwrap();
        assert_eq!(sent.await, "whole");
        assert_eq!(running.end.await, ShutdownOutcome::Clean);
    });
}

#[test]
fn stop_limit_cuts_what_is_left() {
    let executor = executor();
    let (started_tx, started) = async_channel::bounded(1);
    let set = |b: skylarkdock_httppath::server::ServerBuilder| b.stop_timeout(Millis(50));
    let running = serve(&executor, set, move |_, _| {
        let started_tx = started_tx.clone();
        async move {
            started_tx.send(()).await.unwrap();
            pending().await
        }
    });
    let pool = Pool::builder(executor.clone()).build();
    let addr = running.addr;
    let sent = executor.spawn(async move {
        pool.send(addr, get("/"), CONNECT_TIMEOUT, deadline()).await.is_err()
    });
    block_on(async {
        started.recv().await.unwrap();
        running.shutdown.stop();
        assert_eq!(running.end.await, ShutdownOutcome::Aborted(1));
        assert!(sent.await);
    });
}
