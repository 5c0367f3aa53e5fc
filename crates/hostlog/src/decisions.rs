//! Selects the log lines about decisions and changes of state, which are all that are not about a single request.

use crate::line::Line;

/// Conditions on log lines. A condition that is `None` matches every line.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Filter {
    /// Matches lines that name this service or no service.
    pub service: Option<String>,
    /// Matches lines of this host.
    pub host: Option<String>,
    /// Matches lines whose message has this topic, for example `owners` or `store`.
    pub topic: Option<String>,
    /// Matches lines whose span contains this key, and those without a span.
    pub key: Option<u16>,
}

impl Filter {
    /// Returns whether a line is not about a request and matches all conditions.
    pub fn matches(&self, line: &Line) -> bool {
        let is_service = |service: &str| line.field("service").is_none_or(|name| name == service);
        let topic = line.message.split(':').next().unwrap_or_default();
        !line.is_request()
            && self.service.as_deref().is_none_or(is_service)
            && self.host.as_ref().is_none_or(|host| *host == line.host)
            && self.topic.as_ref().is_none_or(|wanted| wanted == topic)
            && self.key.is_none_or(|key| may_concern_key(line, key))
    }
}

/// Returns whether the span of a line contains a key, or the line has no span.
pub fn may_concern_key(line: &Line, key: u16) -> bool {
    match (line.number("first"), line.number("last")) {
        (Some(first), Some(last)) => (first..=last).contains(&u64::from(key)),
        _ => true,
    }
}

/// Returns the matching lines, sorted by time.
pub fn select<'a>(lines: &'a [Line], filter: &Filter) -> Vec<&'a Line> {
    let mut selected: Vec<&Line> = lines.iter().filter(|line| filter.matches(line)).collect();
    selected.sort_by_key(|line| line.at);
    selected
}
