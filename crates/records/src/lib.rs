//! Routing records: their schema versions, the internal form that they decode into, and the envelope
//! of every log record.

pub mod decode;
pub mod envelope;
pub mod fault;
pub mod generated;
pub mod service;

mod fault_collector;
mod lenient;

pub use decode::{NEWEST_SCHEMA, decode};
pub use fault::{DecodeError, Fault, Problem};
pub use service::Service;
