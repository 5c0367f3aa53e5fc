//! Client connections, kept per address.
//!
//! A connection goes back to the pool once the answer's body was read to its end. Dropping the answer's body, or the
//! future of [`Pool::send`], closes the connection, by which the request is cancelled at the peer.

use crate::body::Body;
use crate::client_connection::{ClientConnection, FailedExchange};
use crate::executor::Executor;
use crate::response_body;
use crate::slots::{self, Acquired, Address, Conn, Grant, Limits, Slot};
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use http::{Request, Response};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::Millis;
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::pin::Pin;
use std::sync::{Arc, PoisonError, RwLock, Weak};
use std::time::Instant;

pub use crate::errors::{FailedSend, NotSent, ResponseLost, SendError};
pub use crate::slots::Counts;

const MAX_OPEN: usize = 110;
const MAX_IDLE: usize = 110;
const IDLE_TIMEOUT: Millis = Millis(30_000);
const SWEEP_INTERVAL: Millis = Millis(500);
const WARM_CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Settings of a [`Pool`], changed one by one.
pub struct PoolBuilder {
    executor: Executor,
    limits: Limits,
    idle_timeout: Millis,
}

impl PoolBuilder {
    /// Sets the largest number of open connections per address.
    #[must_use]
    pub fn max_open(mut self, count: usize) -> Self {
        self.limits.max_open = count.max(1);
        self
    }

    /// Sets the largest number of idle connections per address.
    #[must_use]
    pub fn max_idle(mut self, count: usize) -> Self {
        self.limits.max_idle = count;
        self
    }

    /// Sets how long a connection may be idle.
    #[must_use]
    pub fn idle_timeout(mut self, timeout: Millis) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Returns the pool and starts its upkeep on the executor.
    pub fn build(self) -> Pool {
        let inner = Arc::new(Inner {
            limits: self.limits,
            idle_timeout: self.idle_timeout,
            addresses: RwLock::default(),
            executor: self.executor.clone(),
        });
        self.executor.spawn(upkeep(Arc::downgrade(&inner))).detach();
        Pool { inner }
    }
}

/// Connections to any number of addresses.
#[derive(Clone)]
pub struct Pool {
    inner: Arc<Inner>,
}

struct Inner {
    limits: Limits,
    idle_timeout: Millis,
    addresses: RwLock<FastMap<SocketAddr, Entry>>,
    executor: Executor,
}

#[derive(Clone)]
struct Entry {
    address: Arc<Address>,
    warm: usize,
}

impl Pool {
    /// Starts the settings of a pool whose upkeep runs on `executor`.
    pub fn builder(executor: Executor) -> PoolBuilder {
        let limits = Limits { max_open: MAX_OPEN, max_idle: MAX_IDLE };
        PoolBuilder { executor, limits, idle_timeout: IDLE_TIMEOUT }
    }

    /// Sends a request and waits for the answer's head. The answer's body has the same deadline.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] only when no byte of the request was written.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<Body>,
        connect_timeout: Millis,
        deadline: Instant,
    ) -> Result<Response<Body>, SendError> {
        let sent = self.send_if_allowed(addr, req, connect_timeout, deadline, || true).await;
        sent.map_err(|failed| failed.error)
    }

    /// Sends a request as [`Pool::send`] does, if `allowed` still holds right before the first byte is written.
    ///
    /// # Errors
    ///
    /// Fails as [`Pool::send`] does, and with [`NotSent::NotAllowed`]. The request comes back where possible.
    pub async fn send_if_allowed(
        &self,
        addr: SocketAddr,
        req: Request<Body>,
        connect_timeout: Millis,
        deadline: Instant,
        allowed: impl Fn() -> bool + Send,
    ) -> Result<Response<Body>, FailedSend> {
        let attempt = Attempt { connect_timeout, deadline, allowed };
        let grant = match self.address(addr).acquire() {
            Acquired::Now(grant) => grant,
            Acquired::Later(place) => {
                let granted = place.grant().or(async {
                    Timer::at(deadline).await;
                    None
                });
                match granted.await {
                    Some(grant) => grant,
                    None => return Err(FailedSend::not_sent(NotSent::QueueTimeout, req)),
                }
            }
        };
        match grant {
            Grant::Fresh(slot) => attempt.on_fresh(addr, slot, req).await,
            Grant::Reused(conn) => attempt.on_reused(addr, conn, req).await,
        }
    }

    /// Returns the numbers of connections and waiting callers of an address.
    pub fn counts(&self, addr: SocketAddr) -> Counts {
        let addresses = self.inner.addresses.read().unwrap_or_else(PoisonError::into_inner);
        addresses.get(&addr).map(|entry| entry.address.counts()).unwrap_or_default()
    }

    /// Keeps at least `count` connections to an address open, also while they are idle.
    pub fn keep_warm(&self, addr: SocketAddr, count: usize) {
        let mut addresses = self.inner.addresses.write().unwrap_or_else(PoisonError::into_inner);
        let entry = addresses.entry(addr).or_insert_with(|| Entry::new(self.inner.limits));
        entry.warm = count;
    }

    /// Forgets an address: its idle connections close now, the others when their exchange ends.
    pub fn forget(&self, addr: SocketAddr) {
        let mut addresses = self.inner.addresses.write().unwrap_or_else(PoisonError::into_inner);
        let entry = addresses.remove(&addr);
        drop(addresses);
        if let Some(entry) = entry {
            entry.address.close();
        }
    }

    fn address(&self, addr: SocketAddr) -> Arc<Address> {
        let addresses = self.inner.addresses.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = addresses.get(&addr) {
            return Arc::clone(&entry.address);
        }
        drop(addresses);
        let mut addresses = self.inner.addresses.write().unwrap_or_else(PoisonError::into_inner);
        let entry = addresses.entry(addr).or_insert_with(|| Entry::new(self.inner.limits));
        Arc::clone(&entry.address)
    }
}

impl Entry {
    fn new(limits: Limits) -> Self {
        Self { address: Address::new(limits), warm: 0 }
    }
}

/// What holds for one request on whichever connection it is tried.
struct Attempt<F> {
    connect_timeout: Millis,
    deadline: Instant,
    allowed: F,
}

impl<F: Fn() -> bool + Send> Attempt<F> {
    async fn on_reused(
        &self,
        addr: SocketAddr,
        mut conn: Conn,
        req: Request<Body>,
    ) -> Result<Response<Body>, FailedSend> {
        if let Err(reason) = self.check() {
            slots::release(conn);
            return Err(FailedSend::not_sent(reason, req));
        }
        let mut timer = Timer::at(self.deadline);
        match conn.line.exchange(req, |cx| Pin::new(&mut timer).poll(cx).map(|_| ())).await {
            Ok(res) => Ok(response_body::attach_connection(res, conn, timer)),
            Err(FailedExchange { request: Some(req), .. }) => {
                // The peer had closed the idle connection.
                let Conn { line, slot } = conn;
                drop(line);
                self.on_fresh(addr, slot, req).await
            }
            Err(failed) => Err(FailedSend::from_exchange(failed)),
        }
    }

    async fn on_fresh(
        &self,
        addr: SocketAddr,
        slot: Slot,
        req: Request<Body>,
    ) -> Result<Response<Body>, FailedSend> {
        let line = match connect(addr, self.connect_timeout, self.deadline).await {
            Ok(line) => line,
            Err(reason) => return Err(FailedSend::not_sent(reason, req)),
        };
        let mut conn = Conn { line, slot };
        if let Err(reason) = self.check() {
            slots::release(conn);
            return Err(FailedSend::not_sent(reason, req));
        }
        let mut timer = Timer::at(self.deadline);
        match conn.line.exchange(req, |cx| Pin::new(&mut timer).poll(cx).map(|_| ())).await {
            Ok(res) => Ok(response_body::attach_connection(res, conn, timer)),
            Err(failed) => Err(FailedSend::from_exchange(failed)),
        }
    }

    /// Decides right before the write whether it may still happen.
    fn check(&self) -> Result<(), NotSent> {
        if Instant::now() >= self.deadline {
            return Err(NotSent::Deadline);
        }
        if (self.allowed)() { Ok(()) } else { Err(NotSent::NotAllowed) }
    }
}

async fn connect(
    addr: SocketAddr,
    timeout: Millis,
    deadline: Instant,
) -> Result<Box<ClientConnection>, NotSent> {
    let until = deadline.min(Instant::now() + timeout.duration());
    let opened = async {
        let stream = Async::<TcpStream>::connect(addr).await.map_err(NotSent::Connect)?;
        stream.get_ref().set_nodelay(true).map_err(NotSent::Connect)?;
        ClientConnection::open(stream).await.map_err(NotSent::Closed)
    };
    let passed = async {
        Timer::at(until).await;
        Err(NotSent::ConnectTimeout)
    };
    opened.or(passed).await
}

/// Closes stale connections and opens warm ones until the pool is gone.
async fn upkeep(pool: Weak<Inner>) {
    loop {
        Timer::after(SWEEP_INTERVAL.duration()).await;
        let Some(pool) = pool.upgrade() else { return };
        let idle_since = Instant::now().checked_sub(pool.idle_timeout.duration());
        let addresses = pool.addresses.read().unwrap_or_else(PoisonError::into_inner).clone();
        for (addr, entry) in addresses {
            entry.address.sweep(idle_since, entry.warm);
            if let Some(slot) = entry.address.slot_below(entry.warm) {
                pool.executor.spawn(warm_up(addr, entry, slot)).detach();
            }
        }
    }
}

/// Opens connections until enough are open or one fails.
async fn warm_up(addr: SocketAddr, entry: Entry, mut slot: Slot) {
    loop {
        let deadline = Instant::now() + WARM_CONNECT_TIMEOUT.duration();
        let Ok(line) = connect(addr, WARM_CONNECT_TIMEOUT, deadline).await else { return };
        slots::release(Conn { line, slot });
        let Some(next) = entry.address.slot_below(entry.warm) else { return };
        slot = next;
    }
}
