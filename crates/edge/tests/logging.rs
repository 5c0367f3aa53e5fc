//! Log lines of a process that ends.

#![allow(clippy::unwrap_used)]

use skylarkdock_edge::logging;
use skylarkdock_units::times::Millis;
use std::io::{BufRead, BufReader, Read};
use std::process::{Command, Stdio};

/// Environment variable that makes a process of this test write its lines and exit.
const CHILD_VARIABLE: &str = "SKYLARKDOCK_LOGGING_CHILD";
/// What that process writes to its standard error once all lines are logged.
const LOGGED: &str = "logged";
/// Longer than the lines take to be written.
const LONG: Millis = Millis(60_000);
/// Fewer than may be logged in a second.
const LINES: usize = 50;
/// Together the lines are more than a pipe holds, so some are still queued when the process is about to exit.
const LINE_LEN: usize = 4_000;

/// The lines of the last requests, and the one that says that the host stopped, come just before the exit.
#[test]
fn lines_logged_just_before_the_exit_are_written() {
    if std::env::var_os(CHILD_VARIABLE).is_some() {
        logging::start().unwrap();
        let text = "x".repeat(LINE_LEN);
        for number in 0..LINES {
            log::warn!(number = number, text = text.as_str(); "a last line");
        }
        eprintln!("{LOGGED}");
        logging::flush(LONG);
        std::process::exit(0);
    }
    let name = "lines_logged_just_before_the_exit_are_written";
    let mut child = Command::new(std::env::current_exe().unwrap())
        .args([name, "--exact", "--nocapture"])
        .env(CHILD_VARIABLE, "1")
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // Nothing is read before all lines are logged.
    let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
    lines.find(|line| line.as_ref().unwrap() == LOGGED).unwrap().unwrap();
    let mut written = String::new();
    child.stdout.take().unwrap().read_to_string(&mut written).unwrap();
    assert!(child.wait().unwrap().success());
    assert_eq!(written.matches("a last line").count(), LINES);
}
