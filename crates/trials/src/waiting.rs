//! Polls a condition until it holds or a timeout passes.

use crate::errors::TrialError;
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of [`until`], far above the time that conditions need.
pub const TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Waits until `is_met` returns true; an error counts as false. `condition` describes it in the timeout error.
///
/// # Errors
/// Fails when the condition is not met within [`TIMEOUT`].
pub fn until(
    condition: &str,
    mut is_met: impl FnMut() -> Result<bool, TrialError>,
) -> Result<(), TrialError> {
    let deadline = Instant::now() + TIMEOUT;
    while !is_met().unwrap_or(false) {
        if Instant::now() >= deadline {
            return Err(TrialError::Timeout {
                condition: condition.to_owned(),
                timeout_s: TIMEOUT.as_secs(),
            });
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(())
}
