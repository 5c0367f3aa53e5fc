//! Conversion and validation of record fields that collects all faults instead of stopping at the
//! first.

use crate::fault::{Fault, Problem};
use crate::service::UnknownWord;
use skylarkdock_units::UnitError;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::str::FromStr;

/// Validates field values and collects the faults found in them.
#[derive(Debug, Default)]
pub(crate) struct FaultCollector(Vec<Fault>);

impl FaultCollector {
    pub(crate) fn push(&mut self, field: impl Into<String>, problem: Problem) {
        self.0.push(Fault { field: field.into(), problem });
    }

    pub(crate) fn into_faults(self) -> Vec<Fault> {
        self.0
    }

    pub(crate) fn parse<T>(&mut self, field: &str, text: &str) -> Option<T>
    where
        T: FromStr<Err = UnitError>,
    {
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.push(field, error.into());
                None
            }
        }
    }

    pub(crate) fn parse_address(&mut self, field: &str, text: &str) -> Option<SocketAddr> {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let detail =
                format!("{text:?} is not an IP address with port, for example 10.0.0.1:80");
            self.push(field, Problem::Form { detail });
        }
        parsed
    }

    pub(crate) fn parse_word<T>(
        &mut self,
        field: &str,
        text: &str,
        allowed_words: &[&str],
    ) -> Option<T>
    where
        T: FromStr<Err = UnknownWord>,
    {
        let parsed = text.parse().ok();
        if parsed.is_none() {
            let allowed = allowed_words.iter().map(|word| (*word).to_owned()).collect();
            self.push(field, Problem::Word { found: text.to_owned(), allowed });
        }
        parsed
    }

    pub(crate) fn check_range(&mut self, field: &str, found: u64, allowed: RangeInclusive<u64>) {
        if !allowed.contains(&found) {
            let (min, max) = (*allowed.start(), *allowed.end());
            self.push(field, Problem::Range { found, min, max });
        }
    }

    pub(crate) fn check_unique<'a>(&mut self, fields: impl Iterator<Item = (String, &'a str)>) {
        let mut seen = BTreeSet::new();
        for (field, value) in fields {
            if !seen.insert(value) {
                self.push(field, Problem::Duplicate { value: value.to_owned() });
            }
        }
    }
}
