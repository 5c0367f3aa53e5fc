//! Injects random faults, at most two at a time.

use crate::errors::TrialError;
use crate::faults::{Fault, FaultKind};
use crate::trial::Trial;
use skylarkdock_standins::clock;
use skylarkdock_units::times::{HostTime, Millis};
use std::thread;

const MAX_CONCURRENT_FAULTS: usize = 2;
const POLL_INTERVAL_MS: Millis = Millis(20);
const MIN_FAULT_MS: u64 = 300;
const MAX_FAULT_MS: u64 = 4_000;
const MAX_PAUSE_MS: u64 = 2_000;

/// A slot for one of the concurrent faults, which alternates between a fault and a pause.
struct FaultSlot {
    fault: Option<Fault>,
    next_change: HostTime,
}

/// Injects faults for at least `min_duration` and until callers have started `min_requests` requests, then ends the
/// active faults.
pub fn run(trial: &mut Trial, min_duration: Millis, min_requests: u64) {
    let start = clock::host_now();
    let slot = || FaultSlot { fault: None, next_change: start };
    let mut slots: Vec<FaultSlot> = (0..MAX_CONCURRENT_FAULTS).map(|_| slot()).collect();
    while clock::host_now().since(start) < min_duration || trial.callers.requests() < min_requests {
        for slot in &mut slots {
            if clock::host_now() >= slot.next_change
                && let Err(e) = slot.advance(trial)
            {
                trial.record_failure(&e);
            }
        }
        thread::sleep(POLL_INTERVAL_MS.duration());
    }
    trial.measure_gaps("under the schedule", vec![(start, clock::host_now())]);
    for fault in slots.into_iter().filter_map(|slot| slot.fault) {
        if let Err(e) = trial.end_fault(fault) {
            trial.record_failure(&e);
        }
    }
}

impl FaultSlot {
    fn advance(&mut self, trial: &mut Trial) -> Result<(), TrialError> {
        if let Some(fault) = self.fault.take() {
            self.next_change = clock::host_now() + Millis(trial.rng.u64(..MAX_PAUSE_MS));
            return trial.end_fault(fault);
        }
        let kind = FaultKind::ALL[trial.rng.usize(..FaultKind::ALL.len())];
        self.next_change = clock::host_now() + Millis(trial.rng.u64(MIN_FAULT_MS..MAX_FAULT_MS));
        self.fault = trial.inject_fault(kind)?;
        Ok(())
    }
}
