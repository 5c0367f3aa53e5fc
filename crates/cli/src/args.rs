//! Parser of command-line arguments.

use crate::errors::UsageError;
use std::ffi::OsString;
use std::fmt::Display;
use std::str::FromStr;

/// Command-line arguments that have not been parsed yet.
pub struct Args {
    flags: pico_args::Arguments,
    /// Arguments after `--`, which are never flags.
    after_separator: Vec<OsString>,
}

impl Args {
    /// Builds the parser from all arguments after the program name.
    pub fn new(mut args: Vec<OsString>) -> Self {
        let separator = args.iter().position(|arg| arg == "--").unwrap_or(args.len());
        let after_separator = args.split_off(separator).into_iter().skip(1).collect();
        Self { flags: pico_args::Arguments::from_vec(args), after_separator }
    }

    /// Removes a flag without a value and returns whether it was given.
    pub fn flag(&mut self, name: &'static str) -> bool {
        self.flags.contains(name)
    }

    /// Removes a flag with a value and returns the value, if the flag was given.
    ///
    /// # Errors
    ///
    /// Fails if the value is missing or invalid.
    pub fn option<T: FromStr<Err: Display>>(
        &mut self,
        flag: &'static str,
    ) -> Result<Option<T>, UsageError> {
        let value = self.flags.opt_value_from_str(flag);
        value.map_err(|source| UsageError::Flag { flag, source })
    }

    /// Removes the name of the command and returns it.
    ///
    /// # Errors
    ///
    /// Fails if there is none.
    pub fn command(&mut self) -> Result<String, UsageError> {
        let command = self.flags.subcommand();
        let command = command.map_err(|source| UsageError::Flag { flag: "command", source })?;
        command.ok_or(UsageError::NoCommand)
    }

    /// Returns the remaining arguments as positional arguments.
    ///
    /// # Errors
    ///
    /// Fails if a flag remains, if there are fewer arguments than names in `required`, or more than `max_count`.
    pub fn finish(
        self,
        required: &[&'static str],
        max_count: usize,
    ) -> Result<Vec<String>, UsageError> {
        let text = |arg: OsString| arg.to_string_lossy().into_owned();
        let mut positional: Vec<String> = self.flags.finish().into_iter().map(text).collect();
        if let Some(flag) = positional.iter().find(|arg| arg.len() > 1 && arg.starts_with('-')) {
            return Err(UsageError::UnknownFlag(flag.clone()));
        }
        positional.extend(self.after_separator.into_iter().map(text));
        if let Some(name) = required.get(positional.len()) {
            return Err(UsageError::MissingArgument(name));
        }
        match positional.get(max_count) {
            Some(extra) => Err(UsageError::UnexpectedArgument(extra.clone())),
            None => Ok(positional),
        }
    }
}
