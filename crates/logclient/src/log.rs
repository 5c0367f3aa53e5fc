//! Client of the platform's append-only log.

use crate::wire::{AppendRequest, AppendResponse, ReadResponse};
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
const MAX_READ_RESPONSE: ByteSize = ByteSize(64 * 1024 * 1024);
const MAX_APPEND_RESPONSE: ByteSize = ByteSize(4 * 1024);

/// Why an append did not return an offset.
#[derive(Debug, Error)]
pub enum AppendError {
    /// The record is not in the log.
    #[error("record was not appended")]
    NotAppended(#[source] CallError),
    /// The log rejected the record because its append rate limit was reached; the record is not in the log.
    #[error("append rate limit of the log was reached")]
    RateLimited {
        /// Time to wait before the next attempt.
        retry_after: Millis,
    },
    /// The record may be in the log. Only a read of the log can tell.
    #[error("record may have been appended")]
    Unknown(#[source] CallError),
}

/// Why the log could not be read.
#[derive(Debug, Error)]
#[error("could not read the log")]
pub struct ReadError(#[from] CallError);

/// Records returned by one read of the log, and the range of offsets in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogPage {
    /// Offset of the oldest record that the log retains.
    pub oldest: Offset,
    /// Offset of the next record to be appended.
    pub next: Offset,
    /// The records with their offsets, in the order of the log.
    pub records: Vec<(Offset, String)>,
}

/// Client of the platform's log.
#[derive(Clone)]
pub struct Log {
    pool: Pool,
    addr: SocketAddr,
}

impl Log {
    /// Returns a client of the log at `addr` that uses the connections of `pool`.
    pub const fn new(pool: Pool, addr: SocketAddr) -> Self {
        Self { pool, addr }
    }

    /// Appends a record and returns its offset.
    ///
    /// # Errors
    ///
    /// Fails with [`AppendError::Unknown`] if the record may be in the log; after any other error it is not.
    pub async fn append(&self, record: &str) -> Result<Offset, AppendError> {
        let call = self.call("/append", APPEND_TIMEOUT, MAX_APPEND_RESPONSE);
        let appended: Result<AppendResponse, CallError> =
            json::post_json(call, &AppendRequest { record }).await;
        appended.map(|appended| appended.offset).map_err(append_error)
    }

    /// Reads at most `max` records, starting at an offset. If there are none, waits for one, at most for `wait`.
    ///
    /// # Errors
    ///
    /// Fails if the log can't be read.
    pub async fn read(&self, from: Offset, max: u32, wait: Millis) -> Result<LogPage, ReadError> {
        let path = format!("/read?from={from}&max={max}&wait_ms={}", wait.0);
        let call = self.call(&path, READ_TIMEOUT + wait, MAX_READ_RESPONSE);
        let response: ReadResponse = json::get_json(call).await?;
        let records = response.records.into_iter().map(|record| (record.offset, record.record));
        Ok(LogPage { oldest: response.oldest, next: response.next, records: records.collect() })
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
            AppendError::RateLimited { retry_after }
        }
        error @ (CallError::NotSent(_) | CallError::Request(_)) => AppendError::NotAppended(error),
        error @ CallError::Status { status, .. } if rules_out_append(status) => {
            AppendError::NotAppended(error)
        }
        error => AppendError::Unknown(error),
    }
}

/// Returns whether a status means that nothing was appended. Any other failure status may come from an intermediary
/// after the record was appended.
fn rules_out_append(status: StatusCode) -> bool {
    status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE
}
