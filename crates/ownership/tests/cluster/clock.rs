//! A host's simulated clock, with an arbitrary start and a constant rate error of up to 1 %.

use skylarkdock_units::times::HostTime;

const PARTS_PER_MILLION: i128 = 1_000_000;

/// Maps real time in microseconds to the readings of a host's clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Reading at the real time 0, in microseconds.
    pub start: u64,
    /// Rate error in parts per million.
    pub drift_ppm: i32,
}

impl Clock {
    /// Returns the clock's reading at a real time in microseconds.
    pub fn read(&self, real: u64) -> HostTime {
        let elapsed =
            i128::from(real) * (PARTS_PER_MILLION + i128::from(self.drift_ppm)) / PARTS_PER_MILLION;
        HostTime(u64::try_from((i128::from(self.start) + elapsed) / 1000).unwrap())
    }

    /// Returns the first real time in microseconds at which the clock reads `host` or more.
    pub fn real(&self, host: HostTime) -> u64 {
        let elapsed = i128::from(host.0) * 1000 - i128::from(self.start);
        let real = elapsed * PARTS_PER_MILLION / (PARTS_PER_MILLION + i128::from(self.drift_ppm));
        let mut real = u64::try_from(real.max(0)).unwrap();
        while self.read(real) < host {
            real += 1;
        }
        real
    }
}
