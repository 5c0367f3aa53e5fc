//! Tests for parsing and validating the command line.

use pico_args::Arguments;
use rstest::rstest;
use skylarkdock_loadgen::settings::{Settings, SettingsError};
use skylarkdock_units::measures::{ByteSize, PerSecond};
use skylarkdock_units::times::Millis;

fn parse(line: &str) -> Result<Settings, SettingsError> {
    Settings::parse(Arguments::from_vec(line.split_whitespace().map(Into::into).collect()))
}

#[test]
fn options_are_parsed() {
    let line = "--target 127.0.0.1:80 --target [::1]:81 --rate 300/s --duration 2s \
                --hot-change 3 --body-size 1KiB --method PUT --once-only-share 0.25";
    let settings = parse(line).unwrap();
    assert_eq!(settings.targets.len(), 2);
    assert_eq!(settings.rate, Some(PerSecond(300)));
    assert_eq!(settings.duration, Millis(2000));
    assert_eq!(settings.hot_change, Some(Millis(3000)));
    assert_eq!(settings.body_size, ByteSize(1024));
    assert_eq!(settings.method, "PUT");
}

#[rstest]
#[case::non_loopback_target(
    "--target 192.0.2.1:80",
    "target 192.0.2.1:80 is not a loopback address"
)]
#[case::unspecified_address_target(
    "--target 0.0.0.0:80",
    "target 0.0.0.0:80 is not a loopback address"
)]
#[case::missing_target("", "missing required option --target")]
#[case::once_only_share_above_one(
    "--target 127.0.0.1:80 --once-only-share 2",
    "option --once-only-share must be between 0 and 1"
)]
#[case::zero_rate("--target 127.0.0.1:80 --rate 0", "option --rate must be greater than 0")]
#[case::unknown_option("--target 127.0.0.1:80 --fast", "unknown argument \"--fast\"")]
fn invalid_command_line_is_rejected(#[case] line: &str, #[case] message: &str) {
    assert_eq!(parse(line).unwrap_err().to_string(), message);
}
