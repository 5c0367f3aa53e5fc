//! HTTP/1.1 heads and message bodies, without input and output.
//!
//! `hyper` answers the requests of a connection one after the other and drops what it can't match. A caller that
//! pipelines would wait for the sum of its requests, and an upstream's stray answer would cost the next request its
//! own. The heads are parsed by `httparse`, the parser below `hyper`; what is here adds message framing.

pub mod body;
pub mod head;
