//! Ring buffer of the latest events of one process, bounded by number and memory.

use crate::event::Event;
use crate::filter::Filter;
use serde::{Deserialize, Serialize};
use skylarkdock_units::measures::ByteSize;
use std::collections::VecDeque;

/// Default maximum number of events kept.
pub const MAX_EVENTS: usize = 16_384;
/// Default maximum memory of the events kept.
pub const MAX_EVENT_BYTES: ByteSize = ByteSize(8 * 1024 * 1024);

/// Limits of a ring buffer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of events.
    pub events: usize,
    /// Maximum memory of all events together.
    pub bytes: ByteSize,
}

impl Default for Limits {
    fn default() -> Self {
        Self { events: MAX_EVENTS, bytes: MAX_EVENT_BYTES }
    }
}

/// One page of the events in a ring buffer, for clients that read them in steps.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Number of the oldest event in the buffer, or 0 if it is empty.
    pub oldest: u64,
    /// Number of the last event examined; the next page starts after it.
    pub last: u64,
    /// The selected events, oldest first.
    pub events: Vec<Event>,
}

/// Ring buffer of the latest events of one process.
#[derive(Debug, Default)]
pub struct Ring {
    limits: Limits,
    events: VecDeque<Event>,
    bytes: usize,
}

impl Ring {
    /// Creates an empty ring buffer.
    pub const fn new(limits: Limits) -> Self {
        Self { limits, events: VecDeque::new(), bytes: 0 }
    }

    /// Appends an event, whose number has to be larger than all previous ones, and evicts the oldest
    /// events while the limits are exceeded.
    pub fn push(&mut self, event: Event) {
        self.bytes += event.memory_bytes();
        self.events.push_back(event);
        while self.exceeds_limits() {
            let Some(dropped) = self.events.pop_front() else { break };
            self.bytes -= dropped.memory_bytes();
        }
    }

    fn exceeds_limits(&self) -> bool {
        let bytes = u64::try_from(self.bytes).unwrap_or(u64::MAX);
        self.events.len() > self.limits.events || bytes > self.limits.bytes.0
    }

    /// Returns up to `limit` events with numbers above `seq`, oldest first.
    pub fn since(&self, seq: u64, limit: usize) -> impl Iterator<Item = &Event> {
        let start = self.events.partition_point(|event| event.seq <= seq);
        self.events.range(start..).take(limit)
    }

    /// Returns a page of up to `limit` events with numbers above `seq` that match the filter.
    pub fn page(&self, seq: u64, limit: usize, filter: &Filter) -> Page {
        let oldest = self.events.front().map_or(0, |event| event.seq);
        let mut page = Page { oldest, last: seq, events: Vec::new() };
        for event in self.since(seq, usize::MAX) {
            if page.events.len() == limit {
                break;
            }
            page.last = event.seq;
            if filter.matches(event) {
                page.events.push(event.clone());
            }
        }
        page
    }

    /// Returns the number of events in the buffer.
    pub fn len(&self) -> usize {
        self.events.len()
    }

    /// Returns whether the buffer has no events.
    pub fn is_empty(&self) -> bool {
        self.events.is_empty()
    }
}
