//! Decisions about a request on an entry host, without clock, input, output or randomness.
//!
//! [`routes`] finds the route of a request and [`split`] the service. [`service`] holds what a host knows of one
//! service's upstreams and [`keys`], keeps the requests that wait and answers an [`ask`]. [`budget`] bounds repeats over all
//! hosts, [`returns`] says when a refused caller should come back, and [`crashes`] keeps requests that crash upstreams
//! away from them.

mod arrivals;
pub mod crash_tracker;
pub mod key_owners;
pub mod peer_load;
pub mod retry_after;
pub mod retry_budget;
pub mod routes;
pub mod routing;
pub mod service;
pub mod traffic_split;
pub mod upstream;
