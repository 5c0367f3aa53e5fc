//! Load management: concurrency limits, request queues, retry budgets, ramp-up and outlier ejection.
//!
//! Every type is owned by one traffic thread. The caller passes in the current time; nothing here reads a clock.

pub mod budget;
pub mod ejection;
pub mod health;
pub mod hedge;
pub mod hotkeys;
pub mod latencies;
pub mod link;
pub mod pick;
pub mod queue;
pub mod ramp;
pub mod service_time;
pub mod slots;

mod fair;
