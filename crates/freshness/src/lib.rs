//! Rules by which hosts stay up to date, without I/O: which hosts read the store and when, when they write their records,
//! and who stands for election when the leader is lost. The time limits of these rules are derived here.
//!
//! Load pattern: many hosts lose the one that kept them up to date at the same time. If each of them read the store
//! itself, their reads would fill the links that all of them need, none would end in time, and the late hosts would
//! keep each other late. So the hosts of an availability zone take turns: the first one reads at once, each further one
//! only if the state is still too old at the time of its turn.

pub mod copies;
pub mod earlier_configs;
pub mod election;
pub mod evacuations;
pub mod fetching;
pub mod final_answers;
pub mod missing_routes;
pub mod proof;
pub mod reading;
pub mod registration;
pub mod versions;
