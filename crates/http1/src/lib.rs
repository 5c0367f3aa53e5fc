//! Sans-I/O parsing of HTTP/1.1 message heads and bodies.
//!
//! `hyper` processes the requests of a connection one at a time and discards messages that it can't match. With it, a
//! caller that pipelines would wait for the sum of its requests' durations, and an unsolicited response from an
//! upstream would make the next request lose its own response. This crate parses heads with `httparse`, the parser that
//! `hyper` uses, and adds message framing.

pub mod body;
pub mod fields;
pub mod grammar;
pub mod head;
mod target;
