//! Tests of the settings from flags and environment variables, and of the help text that lists them.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use rstest::rstest;
use skylarkdock_daemon::settings::{
    Command, LogFormat, LogLevel, SETTINGS, SettingFaults, Settings, read, variable_of,
};
use skylarkdock_daemon::usage;
use skylarkdock_units::times::Millis;
use std::ffi::OsString;

const REQUIRED: [&str; 16] = [
    "--host-id",
    "host-1",
    "--zone",
    "norte-a",
    "--region",
    "bajio-norte",
    "--peer-listen",
    "127.0.0.1:1",
    "--http-listen",
    "127.0.0.1:2",
    "--log",
    "127.0.0.1:3",
    "--host-list",
    "127.0.0.1:4",
    "--secret",
    "a secret of all hosts",
];

fn command(args: &[&str], env: &[(&str, &str)]) -> Result<Command, SettingFaults> {
    let args = args.iter().map(OsString::from).collect();
    read(args, env.iter().map(|(name, value)| (name.into(), value.into())))
}

fn settings_of(args: &[&str], env: &[(&str, &str)]) -> Settings {
    match command(args, env) {
        Ok(Command::Run(settings)) => *settings,
        other => panic!("{other:?}"),
    }
}

/// Returns the names of the faulty settings in the order in which they are reported.
fn faulty_names(args: &[&str], env: &[(&str, &str)]) -> Vec<String> {
    let faults = command(args, env).unwrap_err();
    faults.0.into_iter().map(|fault| fault.name).collect()
}

fn required_and<'a>(more: &[&'a str]) -> Vec<&'a str> {
    [&REQUIRED[..], more].concat()
}

#[test]
fn defaults_apply_to_missing_settings() {
    let settings =
        settings_of(&REQUIRED, &[("PATH", "/bin"), ("SKYLARKDOCK_HOSTS", "of the tool")]);
    assert_eq!(settings.host_id.as_str(), "host-1");
    assert_eq!(
        (settings.log, settings.host_list),
        ("127.0.0.1:3".parse().unwrap(), "127.0.0.1:4".parse().unwrap())
    );
    assert_eq!((settings.log_format, settings.log_level), (LogFormat::Text, LogLevel::Info));
    assert_eq!((settings.traffic_threads, settings.checkpoint_records), (2, 5_000));
    assert_eq!(settings.checkpoint_interval, Millis(600_000));
    assert_eq!(settings.drain_limit, Millis(30_000));
    assert!(!format!("{settings:?}").contains("a secret"));
}

#[test]
fn each_setting_is_read_from_its_variable_and_the_flag_takes_precedence() {
    let env: Vec<_> = REQUIRED.chunks(2).map(|pair| (variable_of(pair[0]), pair[1])).collect();
    let mut env: Vec<_> = env.iter().map(|(name, value)| (name.as_str(), *value)).collect();
    env.extend([("SKYLARKDOCK_LOG_LEVEL", "loud"), ("SKYLARKDOCK_TRAFFIC_THREADS", "7")]);
    let settings = settings_of(&["--zone", "norte-b", "--log-level=debug"], &env);
    assert_eq!((settings.region.as_str(), settings.zone.as_str()), ("bajio-norte", "norte-b"));
    assert_eq!((settings.log_level, settings.traffic_threads), (LogLevel::Debug, 7));
}

#[test]
fn all_missing_settings_are_reported_together() {
    let required = SETTINGS.iter().filter(|spec| spec.default.is_none());
    let expected: Vec<_> = required.map(|spec| spec.flag.to_owned()).collect();
    assert_eq!(faulty_names(&[], &[]), expected);
}

#[test]
fn all_invalid_settings_are_reported_together() {
    let args: Vec<_> = SETTINGS.iter().flat_map(|spec| [spec.flag, "-WRONG-"]).collect();
    let expected: Vec<_> = SETTINGS.iter().map(|spec| spec.flag.to_owned()).collect();
    assert_eq!(faulty_names(&args, &[]), expected);
    let env: Vec<_> = SETTINGS.iter().map(|spec| (variable_of(spec.flag), "-WRONG-")).collect();
    let env: Vec<_> = env.iter().map(|(name, value)| (name.as_str(), *value)).collect();
    assert_eq!(faulty_names(&[], &env), expected);
    let text = command(&[], &env).unwrap_err().to_string();
    let start = format!("skylarkdockd: {} invalid settings:\n  --host-id: ", SETTINGS.len());
    assert!(text.starts_with(&start), "{text}");
    assert!(!text.contains("--secret: \"-WRONG-\""), "{text}");
}

#[rstest]
#[case(&["--traffic-threads", "0"], &[], &["--traffic-threads"])]
#[case(&["--traffic-threads", "65"], &[], &["--traffic-threads"])]
#[case(&["--checkpoint-records", "9"], &[], &["--checkpoint-records"])]
#[case(&["--checkpoint-interval", "999ms"], &[], &["--checkpoint-interval"])]
#[case(&["--drain-limit", "601s"], &[], &["--drain-limit"])]
#[case(&["--colour"], &[], &["--colour"])]
#[case(&["stray"], &[], &["a value"])]
#[case(&["--zone", "twice"], &[], &["--zone", "a value"])]
#[case(&[], &[("SKYLARKDOCK_ZONES", "x"), ("SKYLARKDOCK_", "x")], &["SKYLARKDOCK_ZONES", "SKYLARKDOCK_"])]
fn out_of_range_and_unknown_settings_are_reported(
    #[case] args: &[&str],
    #[case] env: &[(&str, &str)],
    #[case] expected: &[&str],
) {
    assert_eq!(faulty_names(&required_and(args), env), expected);
}

#[test]
fn a_flag_without_a_value_is_reported() {
    let found = faulty_names(&required_and(&["--drain-limit"]), &[]);
    assert!(!found.is_empty() && found.iter().all(|name| name == "--drain-limit"), "{found:?}");
}

#[rstest]
#[case(&["--secrets", "a real secret"])]
#[case(&["--secrets=a real secret"])]
#[case(&["--Secret=a real secret", "--secret", "a real secret"])]
#[case(&["a real secret"])]
fn the_value_of_a_mistyped_flag_is_not_printed(#[case] args: &[&str]) {
    let text = command(&required_and(args), &[]).unwrap_err().to_string();
    assert!(!text.contains("real"), "{text}");
}

#[test]
fn help_and_version_need_no_settings() {
    for flag in ["-h", "--help"] {
        assert!(matches!(command(&[flag, "--colour"], &[]), Ok(Command::Help)));
    }
    for flag in ["-V", "--version"] {
        assert!(matches!(command(&[flag], &[]), Ok(Command::Version)));
    }
    assert!(usage::version().starts_with("skylarkdockd 0."));
}

#[test]
fn the_help_text_lists_every_setting_with_variable_syntax_and_default() {
    let help = usage::help();
    for spec in SETTINGS {
        let default = spec.default.map_or("required".to_owned(), |text| format!("default {text}"));
        let (flag, value_syntax, text) = (spec.flag, spec.value_syntax, spec.help);
        let expected =
            format!("  {flag} {value_syntax}\n      {text} ({default}; {})\n", variable_of(flag));
        assert!(help.contains(&expected), "{expected}");
    }
}
