//! Measures a minimal proxy under load: prints the requests per second and the CPU time of the proxy per request.
//!
//! Arguments: seconds to measure, connections of the load generator, size of each response body in bytes, and requests
//! per second to send (0 for as many as possible).

use async_io::{Async, Timer};
use http::{Request, Response};
use hyper::body::Incoming;
use skylarkdock_httppath::body::{self, Body};
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::pool::Pool;
use skylarkdock_httppath::server::Server;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use std::error::Error;
use std::fs;
use std::future::Future;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

const CONNECT_TIMEOUT: Millis = Millis(1_000);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_BODY_SIZE: ByteSize = ByteSize(1 << 24);
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
const DEFAULT_SECONDS: u64 = 5;
const DEFAULT_CONNECTIONS: u64 = 64;
const DEFAULT_RESPONSE_BYTES: u64 = 256;

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<u64> =
        std::env::args().skip(1).map(|arg| arg.parse()).collect::<Result<_, _>>()?;
    let argument = |index: usize, default| args.get(index).copied().unwrap_or(default);
    let seconds = argument(0, DEFAULT_SECONDS);
    let connections = argument(1, DEFAULT_CONNECTIONS);
    let rate = argument(3, 0);
    let response = vec![b'x'; usize::try_from(argument(2, DEFAULT_RESPONSE_BYTES))?];

    let upstream_executor = Executor::start("upstream", 2)?;
    let response = bytes::Bytes::from(response);
    let upstream = serve(&upstream_executor, move |_, _| {
        let response = response.clone();
        async move { Response::new(body::full(response)) }
    })?;

    let proxy_executor = Executor::start("proxy", 2)?;
    let pool = Pool::builder(proxy_executor.clone()).build();
    let proxy = serve(&proxy_executor, move |req, _| proxy(pool.clone(), upstream, req))?;

    let load_executor = Executor::start("load", 2)?;
    let answered = Arc::new(AtomicU64::new(0));
    let pool = Pool::builder(load_executor.clone()).max_open(usize::try_from(connections)?).build();
    for _ in 0..connections {
        let pause = Duration::from_secs(connections).checked_div(u32::try_from(rate)?);
        let load =
            generate_load(pool.clone(), proxy, Arc::clone(&answered), pause.unwrap_or_default());
        load_executor.spawn(load).detach();
    }

    async_io::block_on(Timer::after(Duration::from_secs(1)));
    let (answered_before, cpu_before) = (answered.load(Ordering::Relaxed), cpu_seconds("proxy-")?);
    let start = Instant::now();
    async_io::block_on(Timer::after(Duration::from_secs(seconds)));
    let count = (answered.load(Ordering::Relaxed) - answered_before) as f64;
    let cpu = cpu_seconds("proxy-")? - cpu_before;
    println!("{:.0} requests/s", count / start.elapsed().as_secs_f64());
    println!("{:.1} us of CPU time of the proxy per request", cpu / count * 1e6);
    Ok(())
}

fn serve<F, Fut>(executor: &Executor, handler: F) -> std::io::Result<SocketAddr>
where
    F: Fn(Request<Incoming>, SocketAddr) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
    let server = Server::builder(listener, executor.clone()).build();
    let addr = server.local_addr()?;
    executor.spawn(server.serve(handler)).detach();
    Ok(addr)
}

async fn proxy(pool: Pool, upstream: SocketAddr, req: Request<Incoming>) -> Response<Body> {
    let req = req.map(body::streamed);
    let deadline = Instant::now() + REQUEST_TIMEOUT;
    pool.send(upstream, req, CONNECT_TIMEOUT, deadline).await.unwrap_or_else(|_| {
        let mut res = Response::new(body::empty());
        *res.status_mut() = http::StatusCode::BAD_GATEWAY;
        res
    })
}

async fn generate_load(pool: Pool, addr: SocketAddr, answered: Arc<AtomicU64>, pause: Duration) {
    let mut start = Instant::now();
    loop {
        start += pause;
        if start > Instant::now() {
            Timer::at(start).await;
        }
        let mut req = Request::new(body::empty());
        req.headers_mut().insert("host", http::HeaderValue::from_static("load"));
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let Ok(res) = pool.send(addr, req, CONNECT_TIMEOUT, deadline).await else { continue };
        let success = res.status().is_success();
        if success && body::collect(res.into_body(), MAX_BODY_SIZE).await.is_ok() {
            answered.fetch_add(1, Ordering::Relaxed);
        }
    }
}

/// Returns the CPU time, in user and system mode, of the threads of this process whose names start with `name`.
fn cpu_seconds(name: &str) -> Result<f64, Box<dyn Error>> {
    let mut ticks = 0.0;
    for task in fs::read_dir("/proc/self/task")? {
        let stat = fs::read_to_string(task?.path().join("stat"))?;
        let (head, rest) = stat.rsplit_once(')').unwrap_or_default();
        if head.split_once('(').is_some_and(|(_, comm)| comm.starts_with(name)) {
            let fields: Vec<&str> = rest.split_whitespace().collect();
            ticks += fields[11].parse::<f64>()? + fields[12].parse::<f64>()?;
        }
    }
    Ok(ticks / CLOCK_TICKS_PER_SECOND)
}
