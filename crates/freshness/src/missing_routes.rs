//! Requests that were rejected for want of a route, so that a host can tell one that came too early from one whose route
//! never existed.

use skylarkdock_units::times::{HostTime, Millis};
use std::collections::VecDeque;

/// Time after its rejection for which a request is compared with the next configurations.
pub const KEEP_TIME: Millis = Millis(8_000);
/// Number of rejections that are kept. Older ones are dropped.
pub const MAX_KEPT: usize = 64;
/// Length from which on a host or path is cut.
pub const MAX_TEXT_BYTES: usize = 128;

/// Request that was rejected as its configuration has no route for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MissingRoute {
    /// Value of the `Host` header; cut if it is long.
    pub host: String,
    /// Path; cut if it is long.
    pub path: String,
    /// Version of the configuration by which the request was rejected.
    pub version: u64,
    /// Time of the rejection.
    pub at: HostTime,
}

/// Last requests that were rejected for want of a route.
#[derive(Debug, Default)]
pub struct MissingRoutes(VecDeque<MissingRoute>);

impl MissingRoutes {
    /// Records a rejected request.
    pub fn record(&mut self, host: &str, path: &str, version: u64, now: HostTime) {
        self.0.retain(|known| now.since(known.at) <= KEEP_TIME);
        if self.0.len() >= MAX_KEPT {
            self.0.pop_front();
        }
        let (host, path) = (cut(host).to_owned(), cut(path).to_owned());
        self.0.push_back(MissingRoute { host, path, version, at: now });
    }

    /// Removes and returns the rejected requests for which a newer configuration has a route, as `has_route` tells by host
    /// and path.
    pub fn take_found(
        &mut self,
        version: u64,
        now: HostTime,
        has_route: impl Fn(&str, &str) -> bool,
    ) -> Vec<MissingRoute> {
        self.0.retain(|known| now.since(known.at) <= KEEP_TIME);
        let is_found =
            |known: &MissingRoute| known.version < version && has_route(&known.host, &known.path);
        let (found, rest) = self.0.drain(..).partition::<VecDeque<_>, _>(is_found);
        self.0 = rest;
        found.into()
    }
}

/// Returns the beginning of a text, for log lines and records of bounded size.
pub fn cut(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_TEXT_BYTES)]
}
