//! Exclusive ownership of the keys of a sharded service by its upstreams.
//!
//! The ownership [`table`] of a service is one record in the platform's store, replaced by compare-and-set. One host at
//! a time is the leader ([`leader`]): it [`plan`]s the spans by [`load`], records each change and carries it out. A few
//! hosts, the keepers, [renew](renewal) the recorded grants, so that owners keep their keys while the leader or the
//! store is unavailable.

pub mod end;
pub mod evacuated;
pub mod leader;
pub mod load;
pub mod lost;
pub mod plan;
pub mod renewal;
pub mod resting;
pub mod restored;
pub mod table;
pub mod timing;
