//! JSON-RPC client for the admin interface of the daemons.

use crate::errors::{CallFailure, CliError, UsageError};
use serde::Serialize;
use serde::de::DeserializeOwned;
use skylarkdock_admin::envelope::{Request, Response};
use skylarkdock_admin::methods::RPC_PATH;
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::json::{self, Call, CallError};
use skylarkdock_httppath::pool::Pool;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

const CONNECT_TIMEOUT_MS: Millis = Millis(1000);
const MAX_RESPONSE_SIZE: ByteSize = ByteSize(64 * 1024 * 1024);

/// JSON-RPC client for the admin interface of the daemons.
#[derive(Clone)]
pub struct Client {
    pool: Pool,
    executor: Executor,
    timeout: Millis,
    token: Option<Arc<str>>,
}

impl Client {
    /// Builds a client with a timeout for each call. Calls carry `token` as their bearer token, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the thread that runs the calls can't be started.
    pub fn new(timeout: Millis, token: Option<String>) -> Result<Self, CliError> {
        let executor = Executor::start("calls", 1).map_err(CliError::Start)?;
        let pool = Pool::builder(executor.clone()).build();
        let token = token.map(Arc::from);
        Ok(Self { pool, executor, timeout, token })
    }

    /// Limits the timeout of later calls to at most `timeout`.
    pub fn limit_timeout(&mut self, timeout: Millis) {
        self.timeout = self.timeout.min(timeout);
    }

    /// Returns the timeout of a call.
    pub const fn timeout(&self) -> Millis {
        self.timeout
    }

    /// Calls a method of one host. The timeout is extended by `timeout_extension`.
    ///
    /// # Errors
    ///
    /// Fails if the call can't be sent, is rejected, gets no response or gets an error response.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: &str,
        params: &P,
        timeout_extension: Millis,
    ) -> Result<R, CallFailure> {
        let call = Call {
            pool: &self.pool,
            addr,
            path: RPC_PATH,
            connect_timeout: CONNECT_TIMEOUT_MS,
            deadline: Instant::now() + (self.timeout + timeout_extension).duration(),
            max_response_size: MAX_RESPONSE_SIZE,
        };
        let response = json::post_json_with_token(
            call,
            self.token.as_deref(),
            &Request::new(1, method, params),
        )
        .await;
        let response: Response<R> = response.map_err(call_failure)?;
        response.into_result().map_err(CallFailure::ErrorResponse)
    }

    /// Calls a method of several hosts concurrently. Returns the results in the order of `calls`.
    pub async fn call_all<P, R>(
        &self,
        calls: Vec<(SocketAddr, P)>,
        method: &'static str,
    ) -> Vec<Result<R, CallFailure>>
    where
        P: Serialize + Send + Sync + 'static,
        R: DeserializeOwned + Send + 'static,
    {
        let start = |(addr, params)| {
            let client = self.clone();
            self.executor.spawn(async move { client.call(addr, method, &params, Millis(0)).await })
        };
        let tasks: Vec<_> = calls.into_iter().map(start).collect();
        let mut results = Vec::with_capacity(tasks.len());
        for task in tasks {
            results.push(task.await);
        }
        results
    }

    /// Calls a method of the hosts in turn, until one returns a result. The method must have no side effects, as several
    /// hosts may run it.
    ///
    /// # Errors
    ///
    /// Returns the error of the call to the last host.
    pub async fn call_any<P: Serialize, R: DeserializeOwned>(
        &self,
        addrs: &[SocketAddr],
        method: &str,
        params: &P,
    ) -> Result<R, CliError> {
        let mut last_error = CliError::Usage(UsageError::NoHosts);
        for addr in addrs {
            match self.call(*addr, method, params, Millis(0)).await {
                Ok(result) => return Ok(result),
                Err(source) => last_error = CliError::Call { addr: *addr, source },
            }
        }
        Err(last_error)
    }
}

fn call_failure(error: CallError) -> CallFailure {
    match &error {
        CallError::NotSent(_) | CallError::Request(_) => CallFailure::NotSent(error),
        CallError::Status { status, .. } if status.is_client_error() => {
            CallFailure::Rejected(error)
        }
        _ => CallFailure::ResponseLost(error),
    }
}
