//! Fair queue of one priority class: round robin over callers, first in, first out for each caller.

use crate::queue::{CallerId, Ticket};
use std::collections::{BTreeMap, VecDeque};

/// Tickets of the waiting requests of one class, by caller.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    rotation: VecDeque<CallerId>,
    tickets_by_caller: BTreeMap<CallerId, VecDeque<Ticket>>,
    len: usize,
}

impl FairQueue {
    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn push(&mut self, caller: CallerId, ticket: Ticket) {
        let tickets = self.tickets_by_caller.entry(caller).or_default();
        if tickets.is_empty() {
            self.rotation.push_back(caller);
        }
        tickets.push_back(ticket);
        self.len += 1;
    }

    /// Removes and returns the oldest ticket of the next caller in the rotation.
    pub(crate) fn pop(&mut self) -> Option<Ticket> {
        let caller = self.rotation.pop_front()?;
        let tickets = self.tickets_by_caller.get_mut(&caller)?;
        let ticket = tickets.pop_front()?;
        self.len -= 1;
        if tickets.is_empty() {
            self.tickets_by_caller.remove(&caller);
        } else {
            self.rotation.push_back(caller);
        }
        Some(ticket)
    }

    pub(crate) fn remove(&mut self, caller: CallerId, ticket: Ticket) {
        let Some(tickets) = self.tickets_by_caller.get_mut(&caller) else { return };
        let len_before = tickets.len();
        tickets.retain(|other| *other != ticket);
        self.len -= len_before - tickets.len();
        if tickets.is_empty() {
            self.tickets_by_caller.remove(&caller);
            self.rotation.retain(|other| *other != caller);
        }
    }

    /// Returns how many waiting requests start before one that the caller would add now.
    pub(crate) fn tickets_ahead_of(&self, caller: CallerId) -> usize {
        let own_count = self.count_of(caller);
        self.tickets_by_caller
            .values()
            .map(|tickets| tickets.len().min(own_count + 1))
            .sum::<usize>()
            .min(self.len)
    }

    pub(crate) fn count_of(&self, caller: CallerId) -> usize {
        self.tickets_by_caller.get(&caller).map_or(0, VecDeque::len)
    }

    /// Returns the newest ticket of the caller with the most waiting requests, and their number.
    pub(crate) fn newest_of_busiest_caller(&self) -> Option<(Ticket, usize)> {
        let tickets = self.tickets_by_caller.values().max_by_key(|tickets| tickets.len())?;
        Some((*tickets.back()?, tickets.len()))
    }
}
