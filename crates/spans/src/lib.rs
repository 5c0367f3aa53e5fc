//! Which upstream owns which keys of a service that is divided by key.
//!
//! The [`table`] of a service is one record in the platform's store, replaced by compare-and-set. One host at a time
//! [`lead`]s: it [`plan`]s the spans by [`load`], records each change and carries it out. A few hosts
//! [`keep`] the recorded grants renewed, so that a span outlives the loss of the leader and of the store.

pub mod keep;
pub mod lead;
pub mod load;
pub mod plan;
pub mod table;
pub mod timing;
