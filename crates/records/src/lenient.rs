//! Lenient deserialization: reports all fields of a record that are missing, unknown or of the wrong
//! type, not only the first one.
//!
//! A field that can't be deserialized is replaced by a placeholder, an unknown field is removed, and
//! the record is deserialized again.

use crate::fault::{Fault, Problem};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use serde_path_to_error::{Path, Segment};
use std::collections::BTreeMap;

/// Maximum number of faults reported for one record.
const MAX_FAULTS: usize = 100;

/// A deserialized record, and the faults found while deserializing it.
pub(crate) struct LenientRecord<T> {
    /// The record with placeholders in its faulty fields; none if no placeholder fits a field or
    /// `MAX_FAULTS` is reached.
    pub(crate) record: Option<T>,
    /// Faults found while deserializing.
    pub(crate) faults: Vec<Fault>,
}

impl<T> LenientRecord<T> {
    /// Returns whether a field or one that contains it is faulty.
    pub(crate) fn is_faulty(&self, field: &str) -> bool {
        self.faults.iter().any(|fault| is_same_or_nested(field, &fault.field))
    }
}

/// Deserializes a record.
pub(crate) fn deserialize<T: DeserializeOwned>(record: &Value) -> LenientRecord<T> {
    let mut patcher =
        Patcher { record: record.clone(), placeholders_tried: BTreeMap::new(), faults: Vec::new() };
    loop {
        let record = match serde_path_to_error::deserialize(&patcher.record) {
            Ok(record) => Some(record),
            Err(error) if patcher.patch_fault(&error) => continue,
            Err(_) => None,
        };
        return LenientRecord { record, faults: patcher.faults };
    }
}

struct Patcher {
    record: Value,
    /// Number of placeholders tried for each field.
    placeholders_tried: BTreeMap<String, usize>,
    faults: Vec<Fault>,
}

impl Patcher {
    /// Adds the fault, then replaces or removes the faulty field. Returns false if no placeholder is
    /// left to try or `MAX_FAULTS` is reached.
    fn patch_fault(&mut self, error: &serde_path_to_error::Error<serde_json::Error>) -> bool {
        let (mut field, detail) = (error.path().to_string(), error.inner().to_string());
        let missing_field = backquoted_name(&detail, "missing field `");
        if let Some(name) = missing_field {
            field = if field == "." { name.to_owned() } else { format!("{field}.{name}") };
        }
        let is_known = self.faults.iter().any(|fault| is_same_or_nested(&field, &fault.field));
        if !is_known {
            let problem = Problem::Form { detail: detail.clone() };
            self.faults.push(Fault { field: field.clone(), problem });
        }
        if self.faults.len() == MAX_FAULTS {
            return false;
        }
        let is_unknown = detail.starts_with("unknown field");
        let value = if is_unknown { None } else { self.next_placeholder(field) };
        (is_unknown || value.is_some())
            && set_or_remove(&mut self.record, error.path(), missing_field, value)
    }

    fn next_placeholder(&mut self, field: String) -> Option<Value> {
        // "~" is no valid name, address or word of an enum.
        let placeholders = [json!(1), json!("~"), json!([]), json!({})];
        let placeholders_tried = self.placeholders_tried.entry(field).or_default();
        *placeholders_tried += 1;
        placeholders.get(*placeholders_tried - 1).cloned()
    }
}

/// Sets the value at a path, or at the field `child` of the object there; removes it if `value` is
/// none. Returns whether the record was changed.
fn set_or_remove(
    record: &mut Value,
    path: &Path,
    child: Option<&str>,
    value: Option<Value>,
) -> bool {
    let mut keys: Vec<_> = path.iter().collect();
    let last = match child {
        Some(name) => Segment::Map { key: name.to_owned() },
        None => match keys.pop() {
            Some(last) => last.clone(),
            None => return false,
        },
    };
    let parent = keys.into_iter().try_fold(record, |value, segment| match segment {
        Segment::Seq { index } => value.get_mut(*index),
        Segment::Map { key } => value.get_mut(key),
        Segment::Enum { .. } | Segment::Unknown => None,
    });
    match (parent, last, value) {
        (Some(Value::Object(map)), Segment::Map { key }, Some(value)) => {
            map.insert(key, value);
            true
        }
        (Some(Value::Object(map)), Segment::Map { key }, None) => map.remove(&key).is_some(),
        (Some(Value::Array(list)), Segment::Seq { index }, Some(value)) => {
            let Some(slot) = list.get_mut(index) else { return false };
            *slot = value;
            true
        }
        _ => false,
    }
}

fn backquoted_name<'a>(detail: &'a str, prefix: &str) -> Option<&'a str> {
    detail.strip_prefix(prefix)?.split('`').next()
}

fn is_same_or_nested(field: &str, outer: &str) -> bool {
    field.strip_prefix(outer).is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}
