//! Errors of sending a request, split by whether the request may have been run.

use crate::body::Body;
use crate::client_connection::{FailedExchange, Loss};
use http::Request;
use std::io;
use thiserror::Error;

/// Why a request has no response.
#[derive(Debug, Error)]
pub enum SendError {
    /// No byte of the request was written to a connection, so the request was not run.
    #[error("request was not sent")]
    NotSent(#[from] NotSent),
    /// Part of the request may have been written to a connection, so the request may have been run.
    #[error("request may have been sent")]
    Unknown(#[from] ResponseLost),
}

/// Why a request was not sent.
#[derive(Debug, Error)]
pub enum NotSent {
    /// No connection to the address became available before the deadline.
    #[error("no connection became available before the deadline")]
    QueueTimeout,
    /// The connection could not be opened.
    #[error("connection could not be opened")]
    Connect(#[source] io::Error),
    /// The connection was not open before the connect timeout or the deadline.
    #[error("timed out opening a connection")]
    ConnectTimeout,
    /// The deadline passed before the first byte was written.
    #[error("deadline passed before the first byte was written")]
    Deadline,
    /// The connection closed before the first byte was written.
    #[error("connection closed before the first byte was written")]
    Closed(#[source] hyper::Error),
    /// The `allowed` check of [`Pool::send_if_allowed`](crate::pool::Pool::send_if_allowed) returned false right before
    /// the first byte was written.
    #[error("request was not allowed to be sent any more")]
    NotAllowed,
}

/// Why the response to a request that may have been sent did not arrive.
#[derive(Debug, Error)]
pub enum ResponseLost {
    /// The deadline passed before the response head arrived.
    #[error("deadline passed before the response head arrived")]
    Deadline,
    /// The connection closed or failed before the response head arrived.
    #[error("connection closed before the response head arrived")]
    Closed(#[source] hyper::Error),
    /// The response has a status that is none of a final response, or too many interim responses came before it.
    #[error("response is not valid")]
    Invalid,
}

/// A failed send, with the request if it can be sent again.
#[derive(Debug)]
pub struct FailedSend {
    /// Why the request has no response.
    pub error: SendError,
    /// The unchanged request. Only set with [`SendError::NotSent`], and not with every one.
    pub request: Option<Request<Body>>,
}

impl FailedSend {
    pub(crate) fn not_sent(reason: NotSent, req: Request<Body>) -> Self {
        Self { error: reason.into(), request: Some(req) }
    }

    pub(crate) fn from_exchange(failed: FailedExchange) -> Self {
        let error = match (failed.nothing_written, failed.loss) {
            (true, Loss::Closed(e)) => NotSent::Closed(e).into(),
            (true, Loss::TimedOut) => NotSent::Deadline.into(),
            (false, Loss::Closed(e)) => ResponseLost::Closed(e).into(),
            (false, Loss::TimedOut) => ResponseLost::Deadline.into(),
            (_, Loss::Invalid) => ResponseLost::Invalid.into(),
        };
        Self { error, request: failed.request }
    }
}
