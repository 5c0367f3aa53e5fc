//! Merges the events of several processes into one list.

use crate::event::{Event, EventRef};
use skylarkdock_units::collections::{FastMap, FastSet};
use skylarkdock_units::ids::HostId;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Returns all events without duplicates, ordered by stamp, host and number.
///
/// An event never precedes its cause: where stamps say otherwise, because a clock rejected a stamp,
/// the event is moved after its cause. Causes that are not among the events are ignored.
pub fn merge(processes: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = processes.into_iter().flatten().collect();
    events.sort_by(|a, b| a.sort_key().cmp(&b.sort_key()));
    events.dedup_by(|a, b| a.sort_key() == b.sort_key());
    let order = causal_order(&events);
    let mut slots: Vec<Option<Event>> = events.into_iter().map(Some).collect();
    order.into_iter().filter_map(|index| slots[index].take()).collect()
}

/// Returns the indices of `events`, which have to be sorted, with every cause before its effects.
fn causal_order(events: &[Event]) -> Vec<usize> {
    let mut graph = CausalGraph::new(events);
    let mut ready: BinaryHeap<Reverse<usize>> = graph.ready_events();
    let mut order = Vec::with_capacity(events.len());
    let mut search_start = 0;
    while order.len() < events.len() {
        let next = ready.pop().map(|Reverse(index)| index);
        // No event is ready if causes form a cycle, which is an error in the events. The cycle is broken
        // at the event with the earliest stamp.
        let index = next.unwrap_or_else(|| graph.first_not_emitted(&mut search_start));
        if graph.emitted.insert(index) {
            order.push(index);
            ready.extend(graph.release_successors(index));
        }
    }
    order
}

struct CausalGraph {
    successors: Vec<Vec<usize>>,
    unmet_predecessors: Vec<usize>,
    emitted: FastSet<usize>,
}

impl CausalGraph {
    fn new(events: &[Event]) -> Self {
        let size = events.len();
        let mut graph = Self {
            successors: vec![Vec::new(); size],
            unmet_predecessors: vec![0; size],
            emitted: FastSet::default(),
        };
        let by_ref: FastMap<EventRef, usize> =
            events.iter().enumerate().map(|(index, event)| (event.reference(), index)).collect();
        let mut last_event_of: FastMap<&HostId, usize> = FastMap::default();
        for (index, event) in events.iter().enumerate() {
            if let Some(before) = last_event_of.insert(&event.host, index) {
                graph.add_edge(before, index);
            }
            let cause = event.cause.as_ref().and_then(|cause| by_ref.get(cause));
            if let Some(cause) = cause.filter(|cause| **cause != index) {
                graph.add_edge(*cause, index);
            }
        }
        graph
    }

    fn add_edge(&mut self, before: usize, after: usize) {
        self.successors[before].push(after);
        self.unmet_predecessors[after] += 1;
    }

    fn ready_events(&self) -> BinaryHeap<Reverse<usize>> {
        let counts = self.unmet_predecessors.iter().enumerate();
        counts.filter(|(_, count)| **count == 0).map(|(index, _)| Reverse(index)).collect()
    }

    fn release_successors(&mut self, index: usize) -> Vec<Reverse<usize>> {
        let successors = std::mem::take(&mut self.successors[index]);
        let mut ready = Vec::new();
        for successor in successors {
            self.unmet_predecessors[successor] -= 1;
            if self.unmet_predecessors[successor] == 0 {
                ready.push(Reverse(successor));
            }
        }
        ready
    }

    fn first_not_emitted(&self, search_start: &mut usize) -> usize {
        while self.emitted.contains(search_start) {
            *search_start += 1;
        }
        *search_start
    }
}
