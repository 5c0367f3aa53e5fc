//! Proofs that records are the newest ones, passed on from host to host.

use skylarkdock_units::times::{HostTime, Millis};

/// Returns the time, by the clock of the host that sent a request at `asked_at`, for which another host's answer proves that
/// the store had no newer records. The other host got the request later than that, held it for `waited`, and then had
/// a proof that was `age` old. So the proof gets older by the way of the request with each host that it passes, and
/// nothing that delays the answer makes it younger.
pub const fn passed_on(asked_at: HostTime, waited: Millis, age: Millis) -> HostTime {
    let measured_at = asked_at.0.saturating_add(waited.0);
    HostTime(measured_at.saturating_sub(age.0))
}
