//! HTTP calls with JSON bodies to the control interfaces of other processes.

use crate::body::{self, Body, BodyError};
use crate::pool::{NotSent, Pool, ResponseLost, SendError};
use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST, HeaderValue};
use http::{Method, Request, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::times::Millis;
use std::net::SocketAddr;
use std::time::Instant;
use thiserror::Error;

/// Why a call has no result.
#[derive(Debug, Error)]
pub enum CallError {
    /// The call was not sent.
    #[error("call was not sent")]
    NotSent(#[source] NotSent),
    /// The call may have been run, and its response did not arrive.
    #[error("call may have been run")]
    Unknown(#[source] ResponseLost),
    /// The response head arrived, and its body was truncated, too large or late.
    #[error("could not read the body of the response with status {status}")]
    Body {
        /// Status of the response.
        status: StatusCode,
        /// Why the body could not be read.
        #[source]
        source: BodyError,
    },
    /// The response has a status other than a success.
    #[error("response has status {status}")]
    Status {
        /// Status of the response.
        status: StatusCode,
        /// Value of the `Retry-After` header, if it is a number of seconds.
        retry_after_s: Option<u64>,
        /// Body of the response.
        body: Bytes,
    },
    /// The response body is not the expected JSON.
    #[error("body of the response with status {status} is not the expected JSON")]
    Decode {
        /// Status of the response.
        status: StatusCode,
        /// Why the body could not be decoded.
        #[source]
        source: serde_json::Error,
    },
    /// No request could be built from the path and the value.
    #[error("could not build the request")]
    Request(#[source] RequestError),
}

/// Why no request could be built for a call.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The path is not a valid URI, or the token not a valid header value.
    #[error("path or token is not valid in a request")]
    Invalid(#[source] http::Error),
    /// The value could not be serialized as JSON.
    #[error("value could not be serialized as JSON")]
    Serialize(#[source] serde_json::Error),
}

/// Target and limits of a call.
#[derive(Clone, Copy)]
pub struct Call<'a> {
    /// Pool whose connections are used.
    pub pool: &'a Pool,
    /// Address of the server.
    pub addr: SocketAddr,
    /// Path and query of the request.
    pub path: &'a str,
    /// Longest time to open a connection.
    pub connect_timeout: Millis,
    /// Time by which the whole response must have arrived.
    pub deadline: Instant,
    /// Largest response body accepted.
    pub max_response_size: ByteSize,
}

/// Sends a GET request and decodes the response.
///
/// # Errors
///
/// Fails unless the response has a success status and the expected JSON.
pub async fn get_json<T: DeserializeOwned>(call: Call<'_>) -> Result<T, CallError> {
    send_call(call, Method::GET, body::empty(), None).await
}

/// Sends a value by a POST request and decodes the response.
///
/// # Errors
///
/// Fails unless the response has a success status and the expected JSON.
pub async fn post_json<T: DeserializeOwned>(
    call: Call<'_>,
    value: &impl Serialize,
) -> Result<T, CallError> {
    send_call(call, Method::POST, encode(value)?, None).await
}

/// Sends a value by a POST request, with a bearer token if one is given, and decodes the response.
///
/// # Errors
///
/// Fails unless the response has a success status and the expected JSON.
pub async fn post_json_with_token<T: DeserializeOwned>(
    call: Call<'_>,
    token: Option<&str>,
    value: &impl Serialize,
) -> Result<T, CallError> {
    send_call(call, Method::POST, encode(value)?, token).await
}

/// Sends a value by a PUT request and decodes the response.
///
/// # Errors
///
/// Fails unless the response has a success status and the expected JSON.
pub async fn put_json<T: DeserializeOwned>(
    call: Call<'_>,
    value: &impl Serialize,
) -> Result<T, CallError> {
    send_call(call, Method::PUT, encode(value)?, None).await
}

fn encode(value: &impl Serialize) -> Result<Body, CallError> {
    let json = serde_json::to_vec(value);
    json.map(body::full).map_err(|e| CallError::Request(RequestError::Serialize(e)))
}

async fn send_call<T: DeserializeOwned>(
    call: Call<'_>,
    method: Method,
    body: Body,
    token: Option<&str>,
) -> Result<T, CallError> {
    let mut builder = Request::builder()
        .method(method)
        .uri(call.path)
        .header(HOST, call.addr.to_string())
        .header(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(token) = token {
        builder = builder.header(AUTHORIZATION, format!("Bearer {token}"));
    }
    let req = builder.body(body).map_err(|e| CallError::Request(RequestError::Invalid(e)))?;
    let sent = call.pool.send(call.addr, req, call.connect_timeout, call.deadline).await;
    let (head, body) = sent?.into_parts();
    let status = head.status;
    let read = body::collect(body, call.max_response_size).await;
    let bytes = read.map_err(|source| CallError::Body { status, source })?;
    if !status.is_success() {
        let retry_after_s = head
            .headers
            .get(http::header::RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        return Err(CallError::Status { status, retry_after_s, body: bytes });
    }
    serde_json::from_slice(&bytes).map_err(|source| CallError::Decode { status, source })
}

impl From<SendError> for CallError {
    fn from(e: SendError) -> Self {
        match e {
            SendError::NotSent(reason) => Self::NotSent(reason),
            SendError::Unknown(reason) => Self::Unknown(reason),
        }
    }
}
