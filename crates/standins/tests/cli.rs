//! Tests of the command line, exit codes and start of processes.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use rstest::rstest;
use skylarkdock_standins::process::{self, ProcessError};
use std::fs;
use std::process::{Command, Output};
use support::{WAIT_TIMEOUT, launch, standin};

fn output(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_skylarkdock-standin")).args(args).output().unwrap()
}

#[rstest]
#[case(&["--help"], "SUBCOMMAND")]
#[case(&["--version"], "skylarkdock-standin 0.")]
#[case(&["log", "--help"], "--retention-records")]
#[case(&["hosts", "--help"], "--file")]
#[case(&["upstream", "--help"], "--checks-orders")]
#[case(&["link", "--help"], "--link")]
fn help_and_version_are_printed(#[case] args: &[&str], #[case] expected: &str) {
    let output = output(args);
    assert_eq!(output.status.code(), Some(0));
    assert!(String::from_utf8(output.stdout).unwrap().contains(expected));
}

#[rstest]
#[case(&[])]
#[case(&["logs"])]
#[case(&["log"])]
#[case(&["log", "--listen", "nowhere"])]
#[case(&["log", "--listen", "127.0.0.1:0", "--unknown"])]
#[case(&["upstream", "--listen", "127.0.0.1:0", "--id", "orders-1"])]
#[case(&["upstream", "--listen", "127.0.0.1:0", "--service", "a", "--id", "b", "--slots", "0"])]
#[case(&["link", "--listen", "127.0.0.1:0"])]
#[case(&["link", "--link", "127.0.0.1:0"])]
fn invalid_usage_exits_with_2(#[case] args: &[&str]) {
    let output = output(args);
    assert_eq!(output.status.code(), Some(2));
    assert!(output.stdout.is_empty() && !output.stderr.is_empty());
}

#[test]
fn an_address_in_use_exits_with_1() {
    let log = standin("log", &[]);
    let path = format!("{}/errors-{}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let second = launch("log", &["--listen", &log.addr.to_string()]).stderr_to_file(&path).start();
    match second.unwrap_err() {
        ProcessError::ExitedEarly { status, .. } => assert_eq!(status.code(), Some(1)),
        other => panic!("{other}"),
    }
    assert!(fs::read_to_string(&path).unwrap().contains("can't listen"));
    fs::remove_file(&path).unwrap();
}

#[test]
fn a_terminated_process_exits_with_0() {
    let mut log = standin("log", &[]);
    log.process.terminate().unwrap();
    assert_eq!(log.process.wait(WAIT_TIMEOUT).unwrap().code(), Some(0));
}

#[test]
fn programs_of_the_same_build_are_found() {
    assert!(process::built_program("skylarkdock-standin").is_some());
    assert!(process::built_program("skylarkdock-nothing").is_none());
}
