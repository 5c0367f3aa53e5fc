//! Parses one line of a host's log.

use jiff::Timestamp;
use serde_json::{Map, Value};
use skylarkdock_units::times::Millis;
use std::collections::BTreeMap;
use std::fmt;

/// A log line. It is one JSON object, which may have a prefix such as the time and host name added by a log collector.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Line {
    /// Time of the line by the clock of the host.
    pub at: Timestamp,
    /// Name of the host: the last word of the prefix, or the source of the line if it has no prefix. May be empty.
    pub host: String,
    /// Log level, as the host wrote it.
    pub level: String,
    /// Message. The part before the first colon is the topic.
    pub message: String,
    /// Values of the key-value fields, by the names that the log reference uses.
    pub fields: BTreeMap<String, String>,
}

impl Line {
    /// Parses a line. Returns `None` if it was not written by a host. `source` is the name of the host for lines without a
    /// prefix.
    pub fn parse(text: &str, source: &str) -> Option<Self> {
        let start = text.find('{')?;
        let (before, object) = text.split_at(start);
        let object: Map<String, Value> = serde_json::from_str(object.trim_end()).ok()?;
        let string_field = |name: &str| object.get(name).and_then(Value::as_str);
        let fields = object.get("kvs").and_then(Value::as_object);
        Some(Self {
            at: string_field("timestamp")?.parse().ok()?,
            host: before.split_whitespace().last().unwrap_or(source).to_owned(),
            level: string_field("level")?.to_owned(),
            message: string_field("message")?.to_owned(),
            fields: fields.into_iter().flatten().map(|(k, v)| (k.clone(), value_text(v))).collect(),
        })
    }

    /// Returns the text of a field, `None` if the field is missing or empty.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str).filter(|text| !text.is_empty())
    }

    /// Returns the value of a field that is a number.
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name)?.parse().ok()
    }

    /// Returns whether the line is about a single request.
    pub fn is_request(&self) -> bool {
        self.message.starts_with("request:")
    }

    /// Returns the time from this line until `later`, zero if `later` is earlier.
    pub fn until(&self, later: Timestamp) -> Millis {
        Millis(u64::try_from(later.as_millisecond() - self.at.as_millisecond()).unwrap_or(0))
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}  {}  {}", self.at, self.host, self.message)?;
        for (name, value) in self.fields.iter().filter(|(_, value)| !value.is_empty()) {
            if value.contains(' ') {
                write!(f, " {name}={value:?}")?;
            } else {
                write!(f, " {name}={value}")?;
            }
        }
        Ok(())
    }
}

/// Returns a field value as text, without the `Some(..)` of an optional value and empty for `None`.
fn value_text(value: &Value) -> String {
    let text = match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    if text == "None" {
        return String::new();
    }
    let inner = text.strip_prefix("Some(").and_then(|rest| rest.strip_suffix(')'));
    inner.unwrap_or(&text).trim_matches('"').to_owned()
}
