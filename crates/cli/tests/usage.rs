//! Help, version and invalid command lines.

#![allow(clippy::unwrap_used)]

mod fakes;

use fakes::run_at;
use rstest::rstest;
use skylarkdock_cli::commands;
use skylarkdock_cli::exit::Exit;

#[test]
fn each_command_has_help_with_usage_and_examples() {
    let program = run_at("", &["--help"]);
    assert_eq!((program.exit, program.err.as_str()), (Exit::Done, ""));
    for command in commands::ALL {
        assert!(program.out.contains(&format!("  {:10} {}", command.name, command.summary)));
        let help = run_at("", &[command.name, "--help"]);
        assert_eq!(help.exit, Exit::Done);
        assert!(help.out.contains(&format!("Usage: skylarkdock {}", command.name)), "{}", help.out);
        assert!(help.out.contains("Examples:"), "{}", help.out);
    }
    let version = run_at("", &["--version"]);
    assert_eq!(version.out, format!("skylarkdock {}\n", env!("CARGO_PKG_VERSION")));
}

#[rstest]
#[case::no_command(&[], "no command given")]
#[case::unknown_command(&["frob"], "unknown command \"frob\"")]
#[case::unknown_flag(&["status", "--frob"], "unknown or repeated flag \"--frob\"")]
#[case::repeated_flag(&["retire", "orders", "--basis", "1", "--basis", "2"], "\"--basis\"")]
#[case::extra(&["hosts", "x"], "unexpected argument \"x\"")]
#[case::missing(&["publish"], "missing FILE")]
#[case::no_basis(&["retire", "orders"], "missing --basis N")]
#[case::basis_and_create(&["publish", "f", "--basis", "1", "--create"], "are mutually exclusive")]
#[case::bad_number(&["publish", "f", "--basis", "x"], "--basis")]
#[case::bad_output(&["status", "--output", "xml"], "text or json")]
#[case::bad_host(&["status", "--host", "host-1"], "invalid host address \"host-1\": expected IP:PORT")]
#[case::no_host(&["status"], "no host given")]
#[case::bad_id(&["settle", "x"], "RECORD-ID")]
#[case::bad_request(&["explain", "x"], "REQUEST-ID")]
#[case::bad_service(&["explain", "Orders", "k"], "SERVICE")]
#[case::key_without_service(&["timeline", "--key", "k"], "--service")]
#[case::bad_topic(&["timeline", "--topic", "x"], "a topic of events")]
#[case::html_and_follow(&["timeline", "--html", "f", "--follow"], "are mutually exclusive")]
fn invalid_command_lines_are_rejected(#[case] args: &[&str], #[case] message: &str) {
    let result = run_at("", args);
    assert_eq!((result.exit, result.out.as_str()), (Exit::Usage, ""), "{}", result.err);
    assert!(result.err.contains(message), "{}", result.err);
}

#[test]
fn exit_codes_match_the_help() {
    let codes = [Exit::Done, Exit::Failed, Exit::Usage, Exit::Unknown, Exit::Unreachable];
    assert_eq!(codes.map(Exit::code), [0, 1, 2, 3, 4]);
}
