//! Texts of `--help` and `--version`.

use crate::settings::{SETTINGS, variable_of};
use std::fmt::Write as _;

/// Returns the text of `--help`.
pub fn help() -> String {
    let mut text = String::from(
        "The daemon of skylarkdock, a router for servers that own keys exclusively.\n\n\
         Usage: skylarkdockd [FLAG VALUE]...\n\n\
         Each flag can also be set by an environment variable; the flag takes precedence.\n",
    );
    for spec in SETTINGS {
        let default =
            spec.default.map_or_else(|| "required".to_owned(), |d| format!("default {d}"));
        let (flag, value_syntax, help) = (spec.flag, spec.value_syntax, spec.help);
        // Writing to a `String` can't fail.
        let _ = write!(
            text,
            "\n  {flag} {value_syntax}\n      {help} ({default}; {})",
            variable_of(flag)
        );
    }
    text.push_str("\n\n  -h, --help\n  -V, --version\n\n");
    text.push_str("Exit codes: 0 after a graceful stop, 1 on a failure, 2 on invalid settings.");
    text
}

/// Returns the text of `--version`.
pub fn version() -> String {
    format!("skylarkdockd {}", env!("CARGO_PKG_VERSION"))
}
