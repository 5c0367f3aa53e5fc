//! The router's daemon: one control thread, and traffic threads that handle callers' requests.

pub mod clock;
pub mod control;
pub mod daemon;
pub mod http_handler;
pub mod links;
pub mod logging;
pub mod proxy;
pub mod routing_table;
pub mod rpc;
pub mod settings;
pub mod shared_state;
pub mod upstream_queue;
pub mod usage;
pub mod utils;
