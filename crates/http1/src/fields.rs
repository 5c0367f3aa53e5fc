//! Values of header fields that callers may spell in several ways.

use crate::head::Headers;
use thiserror::Error;

/// A field has a value, but not one whose meaning is plain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("not a plain value")]
pub struct UnclearValue;

/// Returns the id in the field with this name. Without a value, or with several different ones, there is none.
pub fn id<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let mut values = values(headers, name);
    let id = values.next().filter(|value| !value.is_empty())?;
    values.all(|value| value == id).then_some(id)
}

/// Returns the number of milliseconds in the field with this name, or `None` without a value. A fraction is cut off, a
/// negative number counts as zero, and the smallest of several values holds.
///
/// # Errors
///
/// Fails if a value is not a decimal number.
pub fn millis(headers: &Headers, name: &str) -> Result<Option<u64>, UnclearValue> {
    let mut least: Option<u64> = None;
    for number in numbers(headers, name) {
        let time = whole_millis(number?);
        least = Some(least.map_or(time, |least| least.min(time)));
    }
    Ok(least)
}

/// Returns the sharding key in the field with this name, or `None` without a value.
///
/// # Errors
///
/// Fails if a value is not a whole number from 0 to 65535, or if there are several different ones.
pub fn key(headers: &Headers, name: &str) -> Result<Option<u16>, UnclearValue> {
    let mut found = None;
    for number in numbers(headers, name) {
        let key = whole_key(number?).ok_or(UnclearValue)?;
        if found.is_some_and(|found| found != key) {
            return Err(UnclearValue);
        }
        found = Some(key);
    }
    Ok(found)
}

/// Iterates over the trimmed values of the fields with this name that are valid UTF-8.
fn values<'a>(headers: &'a Headers, name: &str) -> impl Iterator<Item = &'a str> {
    let fields = headers.0.iter().filter(move |header| header.name.eq_ignore_ascii_case(name));
    fields.filter_map(|header| std::str::from_utf8(&header.value).ok()).map(str::trim)
}

fn numbers(headers: &Headers, name: &str) -> impl Iterator<Item = Result<f64, UnclearValue>> {
    let stated = values(headers, name).filter(|value| !value.is_empty());
    stated.map(|value| parse_decimal(value).ok_or(UnclearValue))
}

/// Parses a decimal number. The names of values that are no numbers are not allowed.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_allowed = |b: u8| b.is_ascii_digit() || matches!(b, b'.' | b'-' | b'+' | b'e' | b'E');
    if text.bytes().all(is_allowed) { text.parse().ok() } else { None }
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "saturates")]
const fn whole_millis(number: f64) -> u64 {
    number as u64
}

#[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked")]
fn whole_key(number: f64) -> Option<u16> {
    let is_key = number.fract() == 0.0 && (0.0..=f64::from(u16::MAX)).contains(&number);
    is_key.then_some(number as u16)
}
