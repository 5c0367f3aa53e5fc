//! Connections per address are limited, and callers wait in order.
#![allow(clippy::unwrap_used)]

mod common;

use common::{CONNECT_TIMEOUT, ask, deadline, executor, get, serve, text};
use futures_lite::future::{block_on, pending, yield_now};
use skylarkdock_httppath::pool::{ConnectionCounts, Pool};
use skylarkdock_units::times::Millis;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

#[test]
fn serves_all_callers_within_limit() {
    let executor = executor();
    let (now, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    let most_seen = Arc::clone(&most);
    let running = serve(
        &executor,
        |b| b,
        move |_, _| {
            let (now, most) = (Arc::clone(&now), Arc::clone(&most));
            async move {
                most.fetch_max(now.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                async_io::Timer::after(std::time::Duration::from_millis(1)).await;
                now.fetch_sub(1, Ordering::SeqCst);
                text("ok")
            }
        },
    );
    let pool = Pool::builder(executor.clone()).max_open(3).build();
    let callers: Vec<_> = (0..50)
        .map(|_| {
            let (pool, addr) = (pool.clone(), running.addr);
            executor.spawn(async move { ask(&pool, addr, "/").await })
        })
        .collect();
    for caller in callers {
        assert_eq!(block_on(caller), "ok");
    }
    assert_eq!(most_seen.load(Ordering::SeqCst), 3);
    assert_eq!(pool.counts(running.addr), ConnectionCounts { open: 3, idle: 3, waiting: 0 });
}

#[test]
fn waiting_callers_are_served_in_order_and_leavers_skipped() {
    let executor = executor();
    let (seen_tx, seen) = async_channel::unbounded();
    let (go, go_rx) = async_channel::unbounded::<()>();
    let running = serve(
        &executor,
        |b| b,
        move |req, _| {
            let (seen_tx, go_rx) = (seen_tx.clone(), go_rx.clone());
            async move {
                seen_tx.send(req.uri().path().to_owned()).await.unwrap();
                go_rx.recv().await.unwrap();
                text("ok")
            }
        },
    );
    let pool = Pool::builder(executor.clone()).max_open(1).build();
    let addr = running.addr;
    block_on(async {
        let mut callers = Vec::new();
        for index in 0..5 {
            let sender = pool.clone();
            callers.push(
                executor.spawn(async move { ask(&sender, addr, &format!("/{index}")).await }),
            );
            while pool.counts(addr).open + pool.counts(addr).waiting < index + 1 {
                yield_now().await;
            }
        }
        callers.remove(2).cancel().await;
        assert_eq!(pool.counts(addr).waiting, 3);
        for expected in ["/0", "/1", "/3", "/4"] {
            assert_eq!(seen.recv().await.unwrap(), expected);
            go.send(()).await.unwrap();
        }
        for caller in callers {
            assert_eq!(caller.await, "ok");
        }
    });
}

#[test]
fn cancelled_request_frees_its_slot() {
    let executor = executor();
    let running = serve(
        &executor,
        |b| b,
        |req, _| async move { if req.uri().path() == "/stuck" { pending().await } else { text("ok") } },
    );
    let pool = Pool::builder(executor.clone()).max_open(1).build();
    let (stuck, addr) = (pool.clone(), running.addr);
    let sent = executor.spawn(async move {
        stuck.send(addr, get("/stuck"), CONNECT_TIMEOUT, deadline()).await.is_ok()
    });
    block_on(async {
        while pool.counts(addr).open == 0 {
            yield_now().await;
        }
        let waiting = pool.clone();
        let next = executor.spawn(async move { ask(&waiting, addr, "/").await });
        while pool.counts(addr).waiting == 0 {
            yield_now().await;
        }
        sent.cancel().await;
        assert_eq!(next.await, "ok");
    });
}

#[test]
fn keeps_warm_and_discards_idle_and_closed() {
    let executor = executor();
    let running = serve(&executor, |b| b.idle_grace(Millis(0)), |_, _| async { text("ok") });
    let pool = Pool::builder(executor).idle_timeout(Millis(0)).build();
    pool.keep_warm(running.addr, 1);
    let await_open = |expected| {
        let expected = ConnectionCounts { open: expected, idle: expected, waiting: 0 };
        while pool.counts(running.addr) != expected {
            std::thread::yield_now();
        }
    };
    await_open(1);
    block_on(ask(&pool, running.addr, "/"));
    assert_eq!(pool.counts(running.addr).open, 1);
    pool.keep_warm(running.addr, 0);
    await_open(0);
    pool.keep_warm(running.addr, 1);
    await_open(1);
    running.shutdown.stop();
    block_on(running.end);
    await_open(0);
}

#[test]
fn server_at_its_limit_lets_connections_wait() {
    let executor = executor();
    let running = serve(&executor, |b| b.max_connections(1), |_, _| async { text("ok") });
    let first = Pool::builder(executor.clone()).build();
    let second = Pool::builder(executor.clone()).build();
    assert_eq!(block_on(ask(&first, running.addr, "/")), "ok");
    let (sender, addr) = (second.clone(), running.addr);
    let waiting = executor.spawn(async move { ask(&sender, addr, "/").await });
    first.remove(addr);
    assert_eq!(block_on(waiting), "ok");
}
