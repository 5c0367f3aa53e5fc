//! Requests and responses of JSON-RPC 2.0.

use serde::{Deserialize, Serialize};
use serde_json::Value;
use thiserror::Error;

/// Version of the JSON-RPC protocol. Only 2.0 is supported.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Version {
    /// Version 2.0.
    #[default]
    #[serde(rename = "2.0")]
    V2,
}

/// Parameters of a call without parameters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoParams {}

/// Result of a call that returns no value.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {}

/// A JSON-RPC request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request<P> {
    /// Version of the protocol.
    pub jsonrpc: Version,
    /// Id of the call, which the response repeats.
    pub id: u64,
    /// Name of the method.
    pub method: String,
    /// Parameters of the method.
    pub params: P,
}

impl<P> Request<P> {
    /// Builds a request.
    pub fn new(id: u64, method: &str, params: P) -> Self {
        Self { jsonrpc: Version::V2, id, method: method.to_owned(), params }
    }
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, Error)]
#[error("{message} (code {code})")]
pub struct RpcError {
    /// Error code of JSON-RPC.
    pub code: i32,
    /// Human-readable description of the error.
    pub message: String,
    /// Additional details, if there are any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data: Option<Value>,
}

/// A JSON-RPC response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response<R> {
    /// Version of the protocol.
    pub jsonrpc: Version,
    /// Id of the call; `None` if the request could not be parsed.
    pub id: Option<u64>,
    /// Result or error of the call.
    #[serde(flatten)]
    pub answer: Answer<R>,
}

/// Result or error of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Answer<R> {
    /// Result of the call.
    Result(R),
    /// Why the call failed.
    Error(RpcError),
}

impl<R> Response<R> {
    /// Builds a response with a result.
    pub const fn result(id: u64, result: R) -> Self {
        Self { jsonrpc: Version::V2, id: Some(id), answer: Answer::Result(result) }
    }

    /// Builds a response with an error.
    pub const fn error(id: Option<u64>, error: RpcError) -> Self {
        Self { jsonrpc: Version::V2, id, answer: Answer::Error(error) }
    }

    /// Returns the result.
    ///
    /// # Errors
    ///
    /// Returns the error of the response, if it has one.
    pub fn into_result(self) -> Result<R, RpcError> {
        match self.answer {
            Answer::Result(result) => Ok(result),
            Answer::Error(error) => Err(error),
        }
    }
}
