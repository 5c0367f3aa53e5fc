//! Routing decisions of an entry host, without access to the clock, I/O or a random number generator.
//!
//! [`routes`] finds the route of a request and [`traffic_split`] the service. [`service`] holds the state of one
//! service's upstreams and [`key_owners`], queues waiting requests and answers a [`routing`] request. [`retry_budget`]
//! limits retries over all hosts, [`retry_after`] sets the delay that a refused caller is told, [`peer_load`] holds the
//! load reported by other hosts, [`report_parts`] divides load reports and [`packed_load`] makes them small, [`paths`]
//! knows which upstreams can be reached and over which hosts, [`permits`] keeps all hosts together within the limit of an
//! upstream, [`cold`] says which upstreams are cold, [`notices`] holds what upstreams asked of this host,
//! [`crash_tracker`] refuses requests that crash upstreams, [`regions`] says where requests may be served, [`reported_load`] holds what upstreams report of
//! themselves, [`memory_budget`] bounds what is held for others, [`progress`] judges how fast clients send and read,
//! [`trials`] lets hosts send one copy at a time of requests that may crash upstreams, and [`shutdown`]
//! decides what a host that was told to stop still sends. [`value`] decides who is refused under pressure, by what
//! callers lose and the [`work`] that requests need.

mod arrivals;
pub mod cold;
pub mod crash_tracker;
pub mod descriptors;
pub mod key_owners;
pub mod memory_budget;
pub mod notices;
pub mod packed_load;
pub mod paths;
pub mod peer_load;
pub mod permits;
pub mod progress;
pub mod regions;
pub mod report_parts;
pub mod reported_load;
mod restricted_demand;
pub mod retry_after;
pub mod retry_budget;
pub mod routes;
pub mod routing;
pub mod service;
pub mod shutdown;
pub mod silence;
pub mod traffic_split;
pub mod trials;
pub mod upstream;
mod uri;
pub mod value;
pub mod work;
