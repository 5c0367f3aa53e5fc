//! Names of the methods, with the types of their parameters and results.

/// HTTP path of the calls on a daemon.
pub const RPC_PATH: &str = "/rpc";

/// Error code of a host that stops before it has a result. The call may have been run.
pub const HOST_STOPPING: i32 = -32_000;

/// Returns the status of the host: [`NoParams`](crate::envelope::NoParams) to [`Status`](crate::status::Status).
pub const STATUS: &str = "status";
/// Lists the records in force: [`NoParams`](crate::envelope::NoParams) to a list of
/// [`RecordRow`](crate::records::RecordRow).
pub const RECORDS: &str = "records";
/// Publishes a record: [`PublishParams`](crate::records::PublishParams) to
/// [`Verdict`](crate::verdict::Verdict).
pub const PUBLISH: &str = "publish";
/// Checks a record: [`CheckParams`](crate::records::CheckParams) to
/// [`CheckResult`](crate::records::CheckResult).
pub const CHECK: &str = "check";
/// Retires a service's record: [`RetireParams`](crate::records::RetireParams) to
/// [`Verdict`](crate::verdict::Verdict).
pub const RETIRE: &str = "retire";
/// Returns the verdict on a submitted record: [`SettleParams`](crate::records::SettleParams) to
/// [`Verdict`](crate::verdict::Verdict).
pub const SETTLE: &str = "settle";
/// Lists the entry hosts: [`NoParams`](crate::envelope::NoParams) to a list of
/// [`HostRow`](crate::hosts::HostRow).
pub const HOSTS: &str = "hosts";
/// Lists ranges: [`RangesParams`](crate::ranges::RangesParams) to a list of
/// [`RangeRow`](crate::ranges::RangeRow).
pub const RANGES: &str = "ranges";
/// Explains which upstream owns a key: [`KeyParams`](crate::explain::KeyParams) to
/// [`KeyExplanation`](crate::explain::KeyExplanation).
pub const EXPLAIN_KEY: &str = "explain_key";
/// Explains what happened to a request: [`RequestParams`](crate::explain::RequestParams) to
/// [`RequestExplanation`](crate::explain::RequestExplanation).
pub const EXPLAIN_REQUEST: &str = "explain_request";
/// Returns events of the host: [`EventsParams`](crate::status::EventsParams) to
/// [`EventsResult`](crate::status::EventsResult).
pub const EVENTS: &str = "events";
/// Drains the host: [`NoParams`](crate::envelope::NoParams) to
/// [`Done`](crate::envelope::Done).
pub const DRAIN: &str = "drain";
