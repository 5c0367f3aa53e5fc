//! Verdicts on recent records, and the admin calls that wait for one.

use crate::control::events::AdminResult;
use async_channel::Sender;
use skylarkdock_admin::verdict::Verdict;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::requests::RecordId;
use skylarkdock_units::times::HostTime;
use std::collections::VecDeque;

const MAX_KNOWN_VERDICTS: usize = 4096;

struct Waiter {
    id: RecordId,
    expiry: HostTime,
    reply: Sender<AdminResult>,
}

/// The latest verdicts and the admin calls that wait for one.
#[derive(Default)]
pub(super) struct Verdicts {
    known: FastMap<RecordId, Verdict>,
    order: VecDeque<RecordId>,
    waiters: Vec<Waiter>,
}

impl Verdicts {
    /// Returns the verdict on a record, if the record has been read from the log.
    pub(super) fn get(&self, id: RecordId) -> Option<&Verdict> {
        self.known.get(&id)
    }

    /// Stores the verdict on a record and reports it to waiting calls. A later verdict does not
    /// replace an acceptance.
    pub(super) fn insert(&mut self, id: RecordId, verdict: Verdict) {
        let accepted = matches!(self.known.get(&id), Some(Verdict::Accepted { .. }));
        if !accepted {
            if self.known.insert(id, verdict.clone()).is_none() {
                self.order.push_back(id);
            }
            if self.order.len() > MAX_KNOWN_VERDICTS
                && let Some(oldest) = self.order.pop_front()
            {
                self.known.remove(&oldest);
            }
        }
        let current = self.known.get(&id).cloned().unwrap_or(verdict);
        self.resolve(|waiter| waiter.id == id, &current);
    }

    /// Sends the verdict to `reply` once it is known, or `Unknown` at `expiry`.
    pub(super) fn wait(&mut self, id: RecordId, expiry: HostTime, reply: Sender<AdminResult>) {
        self.waiters.push(Waiter { id, expiry, reply });
    }

    /// Answers the calls that wait for a record which was not appended.
    pub(super) fn fail(&mut self, id: RecordId, result: &AdminResult) {
        self.waiters.retain(|waiter| {
            if waiter.id == id {
                // Fails if the operator no longer waits for the result.
                let _ = waiter.reply.try_send(result.clone());
            }
            waiter.id != id
        });
    }

    /// Answers `Unknown` to the calls whose wait has expired.
    pub(super) fn expire(&mut self, now: HostTime) {
        self.waiters.retain(|waiter| {
            let expired = now >= waiter.expiry;
            if expired {
                send_verdict(waiter, &Verdict::Unknown { id: waiter.id });
            }
            !expired
        });
    }

    fn resolve(&mut self, is_resolved: impl Fn(&Waiter) -> bool, verdict: &Verdict) {
        self.waiters.retain(|waiter| {
            let resolved = is_resolved(waiter);
            if resolved {
                send_verdict(waiter, verdict);
            }
            !resolved
        });
    }
}

fn send_verdict(waiter: &Waiter, verdict: &Verdict) {
    let json = serde_json::to_value(verdict).unwrap_or_default();
    // Fails if the operator no longer waits for the result.
    let _ = waiter.reply.try_send(Ok(json));
}
