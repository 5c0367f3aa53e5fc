//! Calls to daemons.

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
const MAX_ANSWER: ByteSize = ByteSize(64 * 1024 * 1024);

/// Calls daemons.
#[derive(Clone)]
pub struct Client {
    pool: Pool,
    executor: Executor,
    timeout: Millis,
    token: Option<Arc<str>>,
}

impl Client {
    /// Builds a client whose calls end after `timeout` and carry `token`, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the operating system refuses a thread.
    pub fn new(timeout: Millis, token: Option<String>) -> Result<Self, CliError> {
        let executor = Executor::start("calls", 1).map_err(CliError::Start)?;
        let pool = Pool::builder(executor.clone()).build();
        let token = token.map(Arc::from);
        Ok(Self { pool, executor, timeout, token })
    }

    /// Shortens the time after which a call ends to at most `timeout`.
    pub fn limit_timeout(&mut self, timeout: Millis) {
        self.timeout = self.timeout.min(timeout);
    }

    /// Returns the time after which a call ends.
    pub const fn timeout(&self) -> Millis {
        self.timeout
    }

    /// Makes a call that ends after the timeout and `extra`.
    ///
    /// # Errors
    ///
    /// Fails if the host is not reached, the answer is lost or is an error.
    pub async fn call<P: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        method: &str,
        params: &P,
        extra: Millis,
    ) -> Result<R, CallFailure> {
        let call = Call {
            pool: &self.pool,
            addr,
            path: RPC_PATH,
            connect_timeout: CONNECT_TIMEOUT_MS,
            deadline: Instant::now() + (self.timeout + extra).duration(),
            max_response_size: MAX_ANSWER,
        };
        let answer = json::post_json_with_token(
            call,
            self.token.as_deref(),
            &Request::new(1, method, params),
        )
        .await;
        let answer: Response<R> = answer.map_err(failure)?;
        answer.into_result().map_err(CallFailure::Answered)
    }

    /// Makes calls to several hosts at the same time; the results have the calls' order.
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

    /// Makes a call without effects to the first host that answers.
    ///
    /// # Errors
    ///
    /// Fails as the call to the last host did.
    pub async fn call_any<P: Serialize, R: DeserializeOwned>(
        &self,
        addrs: &[SocketAddr],
        method: &str,
        params: &P,
    ) -> Result<R, CliError> {
        let mut failed = CliError::Usage(UsageError::NoHosts);
        for addr in addrs {
            match self.call(*addr, method, params, Millis(0)).await {
                Ok(result) => return Ok(result),
                Err(source) => failed = CliError::Call { addr: *addr, source },
            }
        }
        Err(failed)
    }
}

fn failure(error: CallError) -> CallFailure {
    match &error {
        CallError::NotSent(_) | CallError::Request(_) => CallFailure::NotSent(error),
        CallError::Status { status, .. } if status.is_client_error() => {
            CallFailure::Rejected(error)
        }
        _ => CallFailure::Lost(error),
    }
}
