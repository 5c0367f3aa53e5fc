//! Blocking HTTP client for tests: each call uses a new connection, and dropping a call closes it.

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
const MAX_RESPONSE_SIZE: ByteSize = ByteSize(256 * 1024 * 1024);

/// Why a call has no complete response.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No response arrived.
    #[error(transparent)]
    Send(#[from] SendError),
    /// The response body is incomplete or too large.
    #[error(transparent)]
    Body(#[from] BodyError),
}

/// Sends requests and waits for their responses.
#[derive(Clone)]
pub struct Client {
    executor: Executor,
    pool: Pool,
}

/// A call in flight; dropping it closes its connection.
pub struct PendingCall(Task<Result<Response<Bytes>, ClientError>>);

impl Client {
    /// Starts the client's thread.
    ///
    /// # Errors
    /// Fails when the thread can't be started.
    pub fn start() -> io::Result<Self> {
        let executor = Executor::start("client", 1)?;
        let pool = Pool::builder(executor.clone()).max_idle(0).build();
        Ok(Self { executor, pool })
    }

    /// Sends `GET` and parses the JSON response.
    ///
    /// # Errors
    /// Fails when the response is missing, has an error status or is not JSON of the expected type.
    pub fn get<T: DeserializeOwned>(&self, addr: SocketAddr, path: &str) -> Result<T, CallError> {
        async_io::block_on(json::get_json(self.call(addr, path)))
    }

    /// Sends `PUT` with a JSON value and parses the JSON response.
    ///
    /// # Errors
    /// Fails when the response is missing, has an error status or is not JSON of the expected type.
    pub fn put<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, CallError> {
        async_io::block_on(json::put_json(self.call(addr, path), value))
    }

    /// Sends `POST` with a JSON value and parses the JSON response.
    ///
    /// # Errors
    /// Fails when the response is missing, has an error status or is not JSON of the expected type.
    pub fn post<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
        value: &impl Serialize,
    ) -> Result<T, CallError> {
        async_io::block_on(json::post_json(self.call(addr, path), value))
    }

    /// Starts a call without waiting for its response.
    pub fn begin(&self, addr: SocketAddr, req: Request<Body>) -> PendingCall {
        let pool = self.pool.clone();
        PendingCall(self.executor.spawn(async move { send_and_collect(&pool, addr, req).await }))
    }

    fn call<'a>(&'a self, addr: SocketAddr, path: &'a str) -> Call<'a> {
        Call {
            pool: &self.pool,
            addr,
            path,
            connect_timeout: CONNECT_TIMEOUT,
            deadline: Instant::now() + CALL_TIMEOUT,
            max_response_size: MAX_RESPONSE_SIZE,
        }
    }
}

impl PendingCall {
    /// Waits for the complete response, whatever its status.
    ///
    /// # Errors
    /// Fails when the response is missing or incomplete.
    pub fn wait(self) -> Result<Response<Bytes>, ClientError> {
        async_io::block_on(self.0)
    }

    /// Returns whether the call has a result.
    pub fn is_finished(&self) -> bool {
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

async fn send_and_collect(
    pool: &Pool,
    addr: SocketAddr,
    req: Request<Body>,
) -> Result<Response<Bytes>, ClientError> {
    let deadline = Instant::now() + CALL_TIMEOUT;
    let res = pool.send(addr, req, CONNECT_TIMEOUT, deadline).await?;
    let (parts, body) = res.into_parts();
    Ok(Response::from_parts(parts, body::collect(body, MAX_RESPONSE_SIZE).await?))
}
