//! Formatting of wall times as dates.

use skylarkdock_units::times::WallTime;
use std::fmt;

const MS_PER_DAY: u64 = 86_400_000;
const DAYS_PER_ERA: u64 = 146_097;
/// Days from 0000-03-01 to the Unix epoch, 1970-01-01.
const EPOCH_DAYS: u64 = 719_468;

/// Displays a wall time in UTC in the format of RFC 3339, with milliseconds.
pub(crate) struct Rfc3339Utc(pub(crate) WallTime);

impl fmt::Display for Rfc3339Utc {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self(WallTime(unix_ms)) = *self;
        let (year, month, day) = civil_date(unix_ms / MS_PER_DAY);
        let ms_of_day = unix_ms % MS_PER_DAY;
        let (hour, minute, second) =
            (ms_of_day / 3_600_000, ms_of_day / 60_000 % 60, ms_of_day / 1000 % 60);
        write!(f, "{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}")?;
        write!(f, ".{:03}Z", ms_of_day % 1000)
    }
}

/// Converts days since the Unix epoch to year, month and day of the Gregorian calendar.
///
/// Years are counted from March internally, so that the leap day is the last day of its year.
const fn civil_date(days: u64) -> (u64, u64, u64) {
    let days = days + EPOCH_DAYS;
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let leap_days = day_of_era / 1460 - day_of_era / 36_524 + day_of_era / 146_096;
    let year_of_era = (day_of_era - leap_days) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = era * 400 + year_of_era + if month <= 2 { 1 } else { 0 };
    (year, month, day)
}
