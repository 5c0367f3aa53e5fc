//! Proxies callers' requests: to the host that holds the lease of the key's range, and from there to the owning
//! upstream.

pub mod crash_tracking;
pub mod dispatch;
pub mod forward;
pub mod forward_headers;
pub mod guarded_body;
pub mod headers;
pub mod recorded_answer;
pub mod refusal;
pub mod request;
pub mod router;

pub use router::Router;
