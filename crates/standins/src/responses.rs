//! Parsing of HTTP requests and construction of responses, shared by all stand-ins.

use bytes::Bytes;
use futures_lite::StreamExt;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyDataStream, BodyExt, Full};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::str::FromStr;
use thiserror::Error;

/// Maximum size of a JSON request body.
const MAX_JSON_BYTES: usize = 8 * 1024 * 1024;

/// Body of a response.
pub type Body = UnsyncBoxBody<Bytes, BodyTruncated>;

/// The response body ends early: a fault truncates it, or the run's grant has expired.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("response body truncated")]
pub struct BodyTruncated;

/// The connection is to be closed without a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("connection closed without a response")]
pub struct NoResponse;

/// Why a request is invalid.
#[derive(Debug, Error)]
pub enum RequestError {
    /// The body is not JSON of the expected type.
    #[error("invalid request body: {0}")]
    InvalidJson(#[from] serde_json::Error),
    /// The body exceeds the maximum size.
    #[error("request body exceeds {MAX_JSON_BYTES} bytes")]
    TooLarge,
    /// The connection failed before the end of the body.
    #[error("request body truncated")]
    Truncated,
    /// A query parameter can't be parsed.
    #[error("invalid query parameter {0}")]
    InvalidParameter(&'static str),
    /// A field's value is out of range.
    #[error("{field} is out of range: expected {allowed}")]
    OutOfRange {
        /// Name of the field.
        field: &'static str,
        /// Description of the allowed values.
        allowed: &'static str,
    },
}

#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

/// Returns a body that consists of `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Returns a response whose body is JSON text.
pub fn json_text(status: StatusCode, text: impl Into<Bytes>) -> Response<Body> {
    let mut res = Response::new(full(text));
    *res.status_mut() = status;
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    res
}

/// Returns a response whose body is `value` as JSON.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(text) => json_text(status, text),
        Err(e) => json_text(StatusCode::INTERNAL_SERVER_ERROR, format!("{{\"error\":\"{e}\"}}")),
    }
}

/// Returns a response with status 200 whose body is `value` as JSON.
pub fn ok(value: &impl Serialize) -> Response<Body> {
    json(StatusCode::OK, value)
}

/// Returns a response whose JSON body holds an error message.
pub fn error(status: StatusCode, text: impl ToString) -> Response<Body> {
    json(status, &ErrorBody { error: text.to_string() })
}

/// Returns the response 404 to an unknown path or method.
pub fn not_found() -> Response<Body> {
    error(StatusCode::NOT_FOUND, "unknown path or method")
}

/// Returns the response 400 with an error message.
pub fn bad_request(e: impl ToString) -> Response<Body> {
    error(StatusCode::BAD_REQUEST, e)
}

/// Reads a request body and parses it as JSON.
///
/// # Errors
/// Fails when the body is truncated, too large, or not JSON of the expected type.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, RequestError> {
    let mut stream = BodyDataStream::new(body);
    let mut text = Vec::new();
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.map_err(|_| RequestError::Truncated)?;
        if text.len() + chunk.len() > MAX_JSON_BYTES {
            return Err(RequestError::TooLarge);
        }
        text.extend_from_slice(&chunk);
    }
    Ok(serde_json::from_slice(&text)?)
}

/// Parses the first query parameter called `name`; returns `None` when there is none.
///
/// # Errors
/// Fails when the value can't be parsed.
pub fn parameter<T: FromStr, B>(
    req: &Request<B>,
    name: &'static str,
) -> Result<Option<T>, RequestError> {
    let query = req.uri().query().unwrap_or("");
    let parameters = query.split('&').filter_map(|pair| pair.split_once('='));
    let mut values = parameters.filter(|(key, _)| *key == name).map(|(_, value)| value);
    let value = values.next().map(str::parse).transpose();
    value.map_err(|_| RequestError::InvalidParameter(name))
}

/// Checks that `share` is between 0 and 1.
///
/// # Errors
/// Fails when it is not.
pub fn check_share(field: &'static str, share: f64) -> Result<(), RequestError> {
    if (0.0..=1.0).contains(&share) {
        return Ok(());
    }
    Err(RequestError::OutOfRange { field, allowed: "0 to 1" })
}
