//! Newtypes for ids, sizes, rates and times, shared by all skylarkdock crates.
//!
//! Each type implements `Display` and `FromStr`; parsing the displayed text gives the same value.

pub mod collections;
pub mod ids;
pub mod keys;
pub mod measures;
pub mod requests;
pub mod times;

mod error;

pub use error::UnitError;
