//! Pool of client connections, with limits for each address.
//!
//! A connection goes back to the pool once the response body was read to its end. Dropping the response body or the
//! future of [`Pool::send`] closes the connection, which cancels the request at the peer.

use crate::address_pool::{
    self, AddressPool, Checkout, CheckoutResult, Limits, PooledConnection, Slot,
};
use crate::body::Body;
use crate::client_connection::{ClientConnection, FailedExchange};
use crate::executor::Executor;
use crate::response_body;
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

pub use crate::address_pool::ConnectionCounts;
pub use crate::errors::{FailedSend, NotSent, ResponseLost, SendError};

const DEFAULT_MAX_OPEN: usize = 110;
const DEFAULT_MAX_IDLE: usize = 110;
const DEFAULT_IDLE_TIMEOUT: Millis = Millis(30_000);
const MAINTENANCE_INTERVAL: Millis = Millis(500);
const WARM_CONNECT_TIMEOUT: Millis = Millis(1_000);

/// Builder of a [`Pool`].
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

    /// Sets how long a connection may be idle before it is closed.
    #[must_use]
    pub fn idle_timeout(mut self, timeout: Millis) -> Self {
        self.idle_timeout = timeout;
        self
    }

    /// Builds the pool and starts its maintenance task on the executor.
    pub fn build(self) -> Pool {
        let inner = Arc::new(Inner {
            limits: self.limits,
            idle_timeout: self.idle_timeout,
            addresses: RwLock::default(),
            executor: self.executor.clone(),
        });
        self.executor.spawn(maintain(Arc::downgrade(&inner))).detach();
        Pool { inner }
    }
}

/// A pool of connections to any number of addresses.
#[derive(Clone)]
pub struct Pool {
    inner: Arc<Inner>,
}

struct Inner {
    limits: Limits,
    idle_timeout: Millis,
    addresses: RwLock<FastMap<SocketAddr, AddressEntry>>,
    executor: Executor,
}

#[derive(Clone)]
struct AddressEntry {
    address_pool: Arc<AddressPool>,
    /// Number of connections to keep open, also while they are idle.
    warm: usize,
}

impl Pool {
    /// Returns a builder with default limits. The pool's maintenance task will run on `executor`.
    pub fn builder(executor: Executor) -> PoolBuilder {
        let limits = Limits { max_open: DEFAULT_MAX_OPEN, max_idle: DEFAULT_MAX_IDLE };
        PoolBuilder { executor, limits, idle_timeout: DEFAULT_IDLE_TIMEOUT }
    }

    /// Sends a request and waits for the response head. The response body has the same deadline.
    ///
    /// # Errors
    ///
    /// Fails with [`SendError::NotSent`] only if no byte of the request was written.
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

    /// Sends a request as [`Pool::send`] does, but only if `allowed` returns true right before the first byte is written.
    ///
    /// # Errors
    ///
    /// Fails as [`Pool::send`] does, and with [`NotSent::NotAllowed`] if `allowed` returns false. The error contains the
    /// request if it can be sent again.
    pub async fn send_if_allowed(
        &self,
        addr: SocketAddr,
        req: Request<Body>,
        connect_timeout: Millis,
        deadline: Instant,
        allowed: impl Fn() -> bool + Send,
    ) -> Result<Response<Body>, FailedSend> {
        let limits = SendLimits { connect_timeout, deadline, allowed };
        let checkout = match self.address_pool(addr).check_out() {
            CheckoutResult::Ready(checkout) => checkout,
            CheckoutResult::Queued(queue_entry) => {
                let waited = queue_entry.wait().or(async {
                    Timer::at(deadline).await;
                    None
                });
                match waited.await {
                    Some(checkout) => checkout,
                    None => return Err(FailedSend::not_sent(NotSent::QueueTimeout, req)),
                }
            }
        };
        match checkout {
            Checkout::New(slot) => limits.send_on_new(addr, slot, req).await,
            Checkout::Reused(conn) => limits.send_on_reused(addr, conn, req).await,
        }
    }

    /// Returns the numbers of connections and of waiting callers of an address.
    pub fn counts(&self, addr: SocketAddr) -> ConnectionCounts {
        let addresses = self.inner.addresses.read().unwrap_or_else(PoisonError::into_inner);
        addresses.get(&addr).map(|entry| entry.address_pool.counts()).unwrap_or_default()
    }

    /// Keeps at least `count` connections to an address open, also while they are idle.
    pub fn keep_warm(&self, addr: SocketAddr, count: usize) {
        let mut addresses = self.inner.addresses.write().unwrap_or_else(PoisonError::into_inner);
        let entry = addresses.entry(addr).or_insert_with(|| AddressEntry::new(self.inner.limits));
        entry.warm = count;
    }

    /// Removes an address from the pool. Its idle connections close now, the others when their response ends.
    pub fn remove(&self, addr: SocketAddr) {
        let mut addresses = self.inner.addresses.write().unwrap_or_else(PoisonError::into_inner);
        let entry = addresses.remove(&addr);
        drop(addresses);
        if let Some(entry) = entry {
            entry.address_pool.close();
        }
    }

    fn address_pool(&self, addr: SocketAddr) -> Arc<AddressPool> {
        let addresses = self.inner.addresses.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(entry) = addresses.get(&addr) {
            return Arc::clone(&entry.address_pool);
        }
        drop(addresses);
        let mut addresses = self.inner.addresses.write().unwrap_or_else(PoisonError::into_inner);
        let entry = addresses.entry(addr).or_insert_with(|| AddressEntry::new(self.inner.limits));
        Arc::clone(&entry.address_pool)
    }
}

impl AddressEntry {
    fn new(limits: Limits) -> Self {
        Self { address_pool: AddressPool::new(limits), warm: 0 }
    }
}

/// Limits of sending one request, which apply to every connection that it is tried on.
struct SendLimits<F> {
    connect_timeout: Millis,
    deadline: Instant,
    allowed: F,
}

impl<F: Fn() -> bool + Send> SendLimits<F> {
    async fn send_on_reused(
        &self,
        addr: SocketAddr,
        mut conn: PooledConnection,
        req: Request<Body>,
    ) -> Result<Response<Body>, FailedSend> {
        if let Err(reason) = self.check_before_write() {
            address_pool::release(conn);
            return Err(FailedSend::not_sent(reason, req));
        }
        let mut timer = Timer::at(self.deadline);
        match conn.connection.exchange(req, |cx| Pin::new(&mut timer).poll(cx).map(|_| ())).await {
            Ok(res) => Ok(response_body::attach_connection(res, conn, timer)),
            Err(FailedExchange { request: Some(req), .. }) => {
                // The peer closed the connection while it was idle, and nothing was sent on it: open a new one.
                let PooledConnection { connection, slot } = conn;
                drop(connection);
                self.send_on_new(addr, slot, req).await
            }
            Err(failed) => Err(FailedSend::from_exchange(failed)),
        }
    }

    async fn send_on_new(
        &self,
        addr: SocketAddr,
        slot: Slot,
        req: Request<Body>,
    ) -> Result<Response<Body>, FailedSend> {
        let connection = match connect(addr, self.connect_timeout, self.deadline).await {
            Ok(connection) => connection,
            Err(reason) => return Err(FailedSend::not_sent(reason, req)),
        };
        let mut conn = PooledConnection { connection, slot };
        if let Err(reason) = self.check_before_write() {
            address_pool::release(conn);
            return Err(FailedSend::not_sent(reason, req));
        }
        let mut timer = Timer::at(self.deadline);
        match conn.connection.exchange(req, |cx| Pin::new(&mut timer).poll(cx).map(|_| ())).await {
            Ok(res) => Ok(response_body::attach_connection(res, conn, timer)),
            Err(failed) => Err(FailedSend::from_exchange(failed)),
        }
    }

    /// Checks the deadline and `allowed` right before the first byte is written.
    fn check_before_write(&self) -> Result<(), NotSent> {
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
    let timed_out = async {
        Timer::at(until).await;
        Err(NotSent::ConnectTimeout)
    };
    opened.or(timed_out).await
}

/// Closes stale connections and opens warm ones at a fixed interval until the pool is dropped.
async fn maintain(pool: Weak<Inner>) {
    loop {
        Timer::after(MAINTENANCE_INTERVAL.duration()).await;
        let Some(pool) = pool.upgrade() else { return };
        let idle_before = Instant::now().checked_sub(pool.idle_timeout.duration());
        let addresses = pool.addresses.read().unwrap_or_else(PoisonError::into_inner).clone();
        for (addr, entry) in addresses {
            entry.address_pool.close_stale(idle_before, entry.warm);
            if let Some(slot) = entry.address_pool.acquire_slot_below(entry.warm) {
                pool.executor.spawn(open_warm_connections(addr, entry, slot)).detach();
            }
        }
    }
}

/// Opens warm connections until enough are open or one can't be opened.
async fn open_warm_connections(addr: SocketAddr, entry: AddressEntry, mut slot: Slot) {
    loop {
        let deadline = Instant::now() + WARM_CONNECT_TIMEOUT.duration();
        let Ok(connection) = connect(addr, WARM_CONNECT_TIMEOUT, deadline).await else { return };
        address_pool::release(PooledConnection { connection, slot });
        let Some(next) = entry.address_pool.acquire_slot_below(entry.warm) else { return };
        slot = next;
    }
}
