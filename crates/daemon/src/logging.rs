//! Starts logging with the configured level and format.

use crate::settings::{LogFormat, LogLevel, Settings};
use logforth::append::Stderr;
use logforth::layout::{JsonLayout, TextLayout};
use logforth::record::{Level, LevelFilter};

/// Starts logging to standard error.
///
/// # Errors
///
/// Returns an error if a logger is already installed.
pub fn start(settings: &Settings) -> Result<(), logforth::Error> {
    let level = match settings.log_level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warn,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    let output = match settings.log_format {
        LogFormat::Text => Stderr::default().with_layout(TextLayout::default().no_color()),
        LogFormat::Json => Stderr::default().with_layout(JsonLayout::default()),
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| dispatch.filter(LevelFilter::MoreSevereEqual(level)).append(output))
        .try_apply()
}
