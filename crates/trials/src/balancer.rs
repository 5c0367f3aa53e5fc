//! Load balancer in front of the hosts; it chooses hosts by health checks.

use async_executor::Task;
use async_io::Timer;
use futures_lite::StreamExt;
use futures_lite::stream;
use http::header::{HOST, HeaderValue};
use http::{Method, Request, StatusCode};
use skylarkdock_httppath::body;
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};
use std::time::Instant;

const HEALTH_CHECK_INTERVAL_MS: Millis = Millis(100);
const HEALTH_CHECK_TIMEOUT_MS: Millis = Millis(300);

/// Checks the health of all hosts and picks among those that serve.
#[derive(Clone)]
pub struct Balancer {
    shared: Arc<Shared>,
    _health_checks: Arc<Vec<Task<()>>>,
}

struct Shared {
    host_addrs: Vec<SocketAddr>,
    serving: RwLock<Vec<SocketAddr>>,
}

impl Balancer {
    /// Starts the health checks; hosts count as serving until a check fails.
    pub fn start(executor: &Executor, host_addrs: Vec<SocketAddr>) -> Self {
        let serving = RwLock::new(host_addrs.clone());
        let shared = Arc::new(Shared { host_addrs, serving });
        let pool = Pool::builder(executor.clone()).max_idle(0).build();
        let check =
            |addr| executor.spawn(check_periodically(Arc::clone(&shared), pool.clone(), addr));
        let health_checks: Vec<Task<()>> =
            shared.host_addrs.iter().map(|addr| check(*addr)).collect();
        Self { shared, _health_checks: Arc::new(health_checks) }
    }

    /// Returns the serving host selected by `random`, or any host when none is serving.
    pub fn pick(&self, random: usize) -> SocketAddr {
        let serving = self.shared.serving.read().unwrap_or_else(PoisonError::into_inner);
        let candidates = if serving.is_empty() { &self.shared.host_addrs } else { &*serving };
        candidates[random % candidates.len()]
    }
}

impl Shared {
    fn set_serving(&self, addr: SocketAddr, is_serving: bool) {
        let mut serving = self.serving.write().unwrap_or_else(PoisonError::into_inner);
        let was_serving = serving.contains(&addr);
        if is_serving && !was_serving {
            serving.push(addr);
        } else if !is_serving && was_serving {
            serving.retain(|other| *other != addr);
        }
    }
}

async fn check_periodically(shared: Arc<Shared>, pool: Pool, addr: SocketAddr) {
    let mut ticks =
        stream::repeat(()).then(|()| Timer::after(HEALTH_CHECK_INTERVAL_MS.duration())).boxed();
    while ticks.next().await.is_some() {
        shared.set_serving(addr, is_healthy(&pool, addr).await);
    }
}

async fn is_healthy(pool: &Pool, addr: SocketAddr) -> bool {
    let mut req = Request::new(body::empty());
    *req.method_mut() = Method::GET;
    *req.uri_mut() = http::Uri::from_static("/health");
    req.headers_mut().insert(HOST, HeaderValue::from_static("balancer"));
    let deadline = Instant::now() + HEALTH_CHECK_TIMEOUT_MS.duration();
    let res = pool.send(addr, req, HEALTH_CHECK_TIMEOUT_MS, deadline).await;
    res.is_ok_and(|res| res.status() == StatusCode::OK)
}
