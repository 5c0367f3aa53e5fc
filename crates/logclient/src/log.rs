//! Client of the platform's append-only log.

use crate::wire::{Append, Appended, Page};
use http::StatusCode;
use skylarkdock_httppath::json::{self, Call, CallError};
use skylarkdock_httppath::pool::Pool;
use skylarkdock_units::ids::Offset;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::time::Instant;
use thiserror::Error;

const CONNECT_TIMEOUT: Millis = Millis(1_000);
const APPEND_TIMEOUT: Millis = Millis(2_000);
const READ_TIMEOUT: Millis = Millis(2_000);
const MAX_PAGE: ByteSize = ByteSize(64 * 1024 * 1024);
const MAX_APPEND_ANSWER: ByteSize = ByteSize(4 * 1024);

/// Why an append has no offset.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The record is not in the log.
    #[error("record was not appended")]
    NotAppended(#[source] CallError),
    /// The log takes no more records at the moment; this one is not in it.
    #[error("log is over its append rate")]
    OverRate {
        /// When to try again.
        retry_after: Millis,
    },
    /// The record may be in the log. Only reading the log tells.
    #[error("record may have been appended")]
    Unknown(#[source] CallError),
}

/// Why the log could not be read.
#[derive(Debug, Error)]
#[error("log was not read")]
pub struct ReadError(#[from] CallError);

/// Records read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reading {
    /// Offset of the oldest record that the log still has.
    pub oldest: Offset,
    /// Offset that the next append gets.
    pub next: Offset,
    /// The records, in order.
    pub records: Vec<(Offset, String)>,
}

/// The platform's log.
#[derive(Clone)]
pub struct Log {
    pool: Pool,
    addr: SocketAddr,
}

impl Log {
    /// Builds a client that keeps its connections in `pool`.
    pub const fn new(pool: Pool, addr: SocketAddr) -> Self {
        Self { pool, addr }
    }

    /// Appends a record.
    ///
    /// # Errors
    ///
    /// Returns whether the record is certainly not in the log or may be.
    pub async fn append(&self, record: &str) -> Result<Offset, AppendError> {
        let call = self.call("/append", APPEND_TIMEOUT, MAX_APPEND_ANSWER);
        let appended: Result<Appended, CallError> = json::post_json(call, &Append { record }).await;
        appended.map(|appended| appended.offset).map_err(append_error)
    }

    /// Reads records from an offset on; waits up to `wait` when there are none.
    ///
    /// # Errors
    ///
    /// Returns an error if the log does not answer.
    pub async fn read(&self, from: Offset, max: u32, wait: Millis) -> Result<Reading, ReadError> {
        let path = format!("/read?from={from}&max={max}&wait_ms={}", wait.0);
        let call = self.call(&path, READ_TIMEOUT + wait, MAX_PAGE);
        let page: Page = json::get_json(call).await?;
        let records = page.records.into_iter().map(|record| (record.offset, record.record));
        Ok(Reading { oldest: page.oldest, next: page.next, records: records.collect() })
    }

    fn call<'a>(&'a self, path: &'a str, timeout: Millis, max_response_size: ByteSize) -> Call<'a> {
        Call {
            pool: &self.pool,
            addr: self.addr,
            path,
            connect_timeout: CONNECT_TIMEOUT,
            deadline: Instant::now() + timeout.duration(),
            max_response_size,
        }
    }
}

fn append_error(error: CallError) -> AppendError {
    match error {
        CallError::Status { status: StatusCode::TOO_MANY_REQUESTS, retry_after_s, .. } => {
            let retry_after = Millis(retry_after_s.unwrap_or(1).saturating_mul(1_000));
            AppendError::OverRate { retry_after }
        }
        error @ (CallError::NotSent(_) | CallError::Request(_)) => AppendError::NotAppended(error),
        error @ CallError::Status { status, .. } if tells_not_appended(status) => {
            AppendError::NotAppended(error)
        }
        error => AppendError::Unknown(error),
    }
}

/// Tells whether an answer says that nothing was appended. Another failure may come from something
/// on the way, with the record in the log.
fn tells_not_appended(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}
