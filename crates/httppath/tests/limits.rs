//! Limits on connections: callers of a full pool wait in order, warm connections are kept, stale ones are closed.
#![allow(clippy::unwrap_used)]

mod common;

use common::{CONNECT_TIMEOUT, deadline, executor, get, get_text, serve, text_response};
use futures_lite::future::{block_on, pending, yield_now};
use skylarkdock_httppath::pool::{ConnectionCounts, Pool};
use skylarkdock_units::times::Millis;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[test]
fn serves_all_callers_within_limit() {
    let executor = executor();
    let (in_flight, max_in_flight) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let max_seen = Arc::clone(&max_in_flight);
    let server = serve(
        &executor,
        |b| b,
        move |_, _| {
            let (in_flight, max_in_flight) = (Arc::clone(&in_flight), Arc::clone(&max_in_flight));
            async move {
                max_in_flight
                    .fetch_max(in_flight.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                async_io::Timer::after(std::time::Duration::from_millis(1)).await;
                in_flight.fetch_sub(1, Ordering::SeqCst);
                text_response("ok")
            }
        },
    );
    let pool = Pool::builder(executor.clone()).max_open(3).build();
    let callers: Vec<_> = (0..50)
        .map(|_| {
            let (pool, addr) = (pool.clone(), server.addr);
            executor.spawn(async move { get_text(&pool, addr, "/").await })
        })
        .collect();
    for caller in callers {
        assert_eq!(block_on(caller), "ok");
    }
    assert_eq!(max_seen.load(Ordering::SeqCst), 3);
    assert_eq!(pool.counts(server.addr), ConnectionCounts { open: 3, idle: 3, waiting: 0 });
}

#[test]
fn waiting_callers_are_served_in_order_and_cancelled_ones_skipped() {
    let executor = executor();
    let (seen_tx, seen) = async_channel::unbounded();
    let (finish, finish_rx) = async_channel::unbounded::<()>();
    let server = serve(
        &executor,
        |b| b,
        move |req, _| {
            let (seen_tx, finish_rx) = (seen_tx.clone(), finish_rx.clone());
            async move {
                seen_tx.send(req.uri().path().to_owned()).await.unwrap();
                finish_rx.recv().await.unwrap();
                text_response("ok")
            }
        },
    );
    let pool = Pool::builder(executor.clone()).max_open(1).build();
    let addr = server.addr;
    block_on(async {
        let mut callers = Vec::new();
        for index in 0..5 {
            let sender = pool.clone();
            callers.push(
                executor.spawn(async move { get_text(&sender, addr, &format!("/{index}")).await }),
            );
            while pool.counts(addr).open + pool.counts(addr).waiting < index + 1 {
                yield_now().await;
            }
        }
        callers.remove(2).cancel().await;
        assert_eq!(pool.counts(addr).waiting, 3);
        for expected in ["/0", "/1", "/3", "/4"] {
            assert_eq!(seen.recv().await.unwrap(), expected);
            finish.send(()).await.unwrap();
        }
        for caller in callers {
            assert_eq!(caller.await, "ok");
        }
    });
}

#[test]
fn cancelled_request_releases_its_slot() {
    let executor = executor();
    let server = serve(
        &executor,
        |b| b,
        |req, _| async move {
            if req.uri().path() == "/stuck" { pending().await } else { text_response("ok") }
        },
    );
    let pool = Pool::builder(executor.clone()).max_open(1).build();
    let (stuck, addr) = (pool.clone(), server.addr);
    let sent = executor.spawn(async move {
        stuck.send(addr, get("/stuck"), CONNECT_TIMEOUT, deadline()).await.is_ok()
    });
    block_on(async {
        while pool.counts(addr).open == 0 {
            yield_now().await;
        }
        let waiting = pool.clone();
        let next = executor.spawn(async move { get_text(&waiting, addr, "/").await });
        while pool.counts(addr).waiting == 0 {
            yield_now().await;
        }
        sent.cancel().await;
        assert_eq!(next.await, "ok");
    });
}

#[test]
fn keeps_warm_connections_and_closes_idle_and_stale_ones() {
    let executor = executor();
    let server =
        serve(&executor, |b| b.idle_grace(Millis(0)), |_, _| async { text_response("ok") });
    let pool = Pool::builder(executor).idle_timeout(Millis(0)).build();
    pool.keep_warm(server.addr, 1);
    let await_open = |expected| {
        let expected = ConnectionCounts { open: expected, idle: expected, waiting: 0 };
        while pool.counts(server.addr) != expected {
            std::thread::yield_now();
        }
    };
    await_open(1);
    block_on(get_text(&pool, server.addr, "/"));
    assert_eq!(pool.counts(server.addr).open, 1);
    pool.keep_warm(server.addr, 0);
    await_open(0);
    pool.keep_warm(server.addr, 1);
    await_open(1);
    server.shutdown.stop();
    block_on(server.end);
    await_open(0);
}

#[test]
fn connections_above_the_limit_of_the_server_wait() {
    let executor = executor();
    let server = serve(&executor, |b| b.max_connections(1), |_, _| async { text_response("ok") });
    let first = Pool::builder(executor.clone()).build();
    let second = Pool::builder(executor.clone()).build();
    assert_eq!(block_on(get_text(&first, server.addr, "/")), "ok");
    let (sender, addr) = (second.clone(), server.addr);
    let waiting = executor.spawn(async move { get_text(&sender, addr, "/").await });
    first.remove(addr);
    assert_eq!(block_on(waiting), "ok");
}
