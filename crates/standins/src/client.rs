//! Blocking HTTP client for tests: one connection per call, and calls that can be dropped midway.

use async_executor::Task;
use bytes::Bytes;
use http::{Method, Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use skylarkdock_httppath::body::{self, Body, BodyError};
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::json::{self, Call, CallError};
use skylarkdock_httppath::pool::{Pool, SendError};
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use thiserror::Error;

const CONNECT_TIMEOUT: Millis = Millis(5_000);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_ANSWER: ByteSize = ByteSize(256 * 1024 * 1024);

/// Why a call has no whole answer.
#[derive(Debug, Error)]
pub enum ClientError {
    /// There is no answer.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The answer's body did not arrive whole.
    #[error(transparent)]
    Body(#[from] BodyError),
}

/// Makes calls and waits for their answers.
#[derive(Clone)]
pub struct Client {
    executor: Executor,
    pool: Pool,
}

/// A call under way; dropping it closes its connection.
pub struct Pending(Task<Result<Response<Bytes>, ClientError>>);

impl Client {
    /// Starts the client's thread.
    ///
    /// # Errors
    /// Fails when the operating system refuses the thread.
    pub fn start() -> io::Result<Self> {
        let executor = Executor::start("client", 1)?;
        let pool = Pool::builder(executor.clone()).max_idle(0).build();
        Ok(Self { executor, pool })
    }

    /// Gets a JSON value.
    ///
    /// # Errors
    /// Fails when the call is not answered with a success and the JSON expected.
    pub fn get<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T, CallError> {
        async_io::block_on(json::get_json(self.call(addr, path)))
    }

    /// Puts a JSON value.
    ///
    /// # Errors
    /// Fails when the call is not answered with a success and the JSON expected.
    pub fn put<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, CallError> {
        async_io::block_on(json::put_json(self.call(addr, path), value))
    }

    /// Posts a JSON value.
    ///
    /// # Errors
    /// Fails when the call is not answered with a success and the JSON expected.
    pub fn post<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, CallError> {
        async_io::block_on(json::post_json(self.call(addr, path), value))
    }

    /// Starts a call.
    pub fn begin(&self, addr: SocketAddr, req: Request<Body>) -> Pending {
        let pool = self.pool.clone();
        Pending(self.executor.spawn(async move { exchange(&pool, addr, req).await }))
    }

    fn call<'a>(&'a self, addr: SocketAddr, path: &'a str) -> Call<'a> {
        Call {
            pool: &self.pool,
            addr,
            path,
            connect_timeout: CONNECT_TIMEOUT,
            deadline: Instant::now() + CALL_TIMEOUT,
            max_response_size: MAX_ANSWER,
        }
    }
}

impl Pending {
    /// Waits for the whole answer, whatever its status.
    ///
    /// # Errors
    /// Fails when there is no whole answer.
    pub fn wait(self) -> Result<Response<Bytes>, ClientError> {
        async_io::block_on(self.0)
    }

    /// Returns whether the call has ended.
    pub fn has_ended(&self) -> bool {
        self.0.is_finished()
    }
}

/// Returns a request without headers.
pub fn request(method: Method, path: &str, content: impl Into<Bytes>) -> Request<Body> {
    let mut req = Request::new(body::full(content));
    *req.method_mut() = method;
    if let Ok(uri) = path.parse() {
        *req.uri_mut() = uri;
    }
    req
}

async fn exchange(
    pool: &Pool,
    addr: SocketAddr,
    req: Request<Body>,
) -> Result<Response<Bytes>, ClientError> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let res = pool.send(addr, req, CONNECT_TIMEOUT, deadline).await?;
    let (parts, body) = res.into_parts();
    Ok(Response::from_parts(parts, body::collect(body, MAX_ANSWER).await?))
}
