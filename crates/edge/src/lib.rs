//! Entry host for upstreams that check grants themselves.
//!
//! Every entry host sends a request directly to the upstream that owns its key; the upstream refuses requests for keys
//! that it does not hold. The control thread ([`control`]) maintains the host's knowledge of the configuration, the
//! upstreams and the key owners. The traffic thread ([`traffic`]) serves callers based on the [`view::View`] that the
//! control thread publishes.

pub mod answer;
mod answer_head;
pub mod changes;
pub mod client;
pub mod client_limits;
pub mod clock;
mod connection;
pub mod control;
pub mod detour;
pub mod evacuations;
mod framing;
pub mod host;
pub mod listener;
mod listeners;
pub mod listing;
pub mod load_reports;
pub mod logging;
pub mod memory;
mod memory_charge;
pub mod metrics;
pub mod net;
pub mod notices;
mod output;
pub mod pace_notices;
pub mod pool;
pub mod relays;
pub mod releases;
mod request_write;
pub mod serve;
pub mod settings;
pub mod status;
pub mod store;
pub mod tasks;
pub mod traffic;
pub mod upstream_connections;
pub mod upstreams;
pub mod version_claims;
pub mod version_notices;
pub mod view;
