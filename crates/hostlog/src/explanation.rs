//! Finds the outcome of one request and its causes in the log lines of hosts.

use crate::decisions;
use crate::line::Line;
use jiff::Timestamp;
use skylarkdock_units::times::Millis;
use std::fmt;

/// Decisions from this long before the arrival of a request may have affected it. Long enough for a move of keys and for
/// the expiry of a lost upstream.
const WINDOW_BEFORE_START: Millis = Millis(10_000);
/// Decisions until this long after the end of a request may explain it, because a host may notice a change late.
const WINDOW_AFTER_END: Millis = Millis(2_000);
/// Maximum number of related decisions; the nearest in time are kept.
const MAX_RELATED: usize = 24;
/// Maximum number of related decisions that name a service but no upstream, such as each version of a table.
const MAX_WITHOUT_UPSTREAM: usize = 4;

/// What is known about the outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream has answered it.
    Answered,
    /// No upstream has run it.
    NotRun,
    /// An upstream may have run it.
    Unknown,
}

/// The lines of a request, their causes in words, and the decisions that may have affected it.
#[derive(Debug, Clone)]
pub struct Explanation<'a> {
    /// The lines about the request, one from each host that handled it.
    pub lines: Vec<&'a Line>,
    /// What is known about its outcome.
    pub outcome: Outcome,
    /// The cause of the outcome in words, one sentence for each line.
    pub causes: Vec<String>,
    /// Decisions about its service, key and upstreams, and those of the hosts that handled it.
    pub related: Vec<&'a Line>,
}

/// Explains the request with the given id. Returns `None` if no line names it.
pub fn explain<'a>(lines: &'a [Line], id: &str) -> Option<Explanation<'a>> {
    let is_about_request = |line: &&Line| line.is_request() && line.field("request") == Some(id);
    let mut request_lines: Vec<&Line> = lines.iter().filter(is_about_request).collect();
    request_lines.sort_by_key(|line| line.at);
    let outcome =
        request_lines.iter().map(|line| outcome(line)).max_by_key(|outcome| match outcome {
            Outcome::NotRun => 0,
            Outcome::Unknown => 1,
            Outcome::Answered => 2,
        })?;
    let causes = request_lines.iter().map(|line| cause_text(line)).collect();
    let related = related(lines, &request_lines);
    Some(Explanation { lines: request_lines, outcome, causes, related })
}

/// Returns how many lines the hosts held back, which they report in lines of their own.
pub fn held_back(lines: &[Line]) -> u64 {
    lines
        .iter()
        .filter(|line| line.message == "log: lines were held back")
        .filter_map(|line| line.number("count"))
        .sum()
}

fn outcome(line: &Line) -> Outcome {
    match line.message.as_str() {
        "request: refused, not run" | "request: rejected before routing" => Outcome::NotRun,
        "request: failed, may have run" => Outcome::Unknown,
        _ => Outcome::Answered,
    }
}

/// Returns the cause of the outcome that a line reports, as a sentence.
fn cause_text(line: &Line) -> String {
    let tried = attempts(line);
    let upstreams =
        tried.iter().map(|(upstream, result, at)| format!("{upstream} {result} after {at}"));
    let attempts_text = upstreams.collect::<Vec<String>>().join(", then ");
    match line.message.as_str() {
        "request: rejected before routing" => {
            let status = line.field("status").unwrap_or("?");
            let version = line.field("config").unwrap_or("?");
            let why = line.field("reason").map_or_else(
                || match status {
                    "404" => "no route",
                    "503" => "no configuration is known, or it may not be the newest",
                    _ => "a header is missing or invalid",
                },
                rejection_text,
            );
            format!("rejected with {status}: {why} (configuration {version})")
        }
        "request: refused, not run" => {
            let reason = line.field("reason").unwrap_or("?");
            let shown =
                if tried.is_empty() { "it was sent to no upstream" } else { &attempts_text };
            format!("refused: {}; {shown}", reason_text(reason))
        }
        "request: failed, may have run" => match tried.last() {
            Some((upstream, result, _)) => {
                format!(
                    "no response: {attempts_text}. Only {upstream} knows whether it was run ({result})"
                )
            }
            None => "no response, and no attempt was logged".to_owned(),
        },
        _ => {
            let waited = line.field("waited_ms").unwrap_or("0");
            let took = line.field("took_ms").unwrap_or("?");
            format!(
                "answered: {attempts_text}; {took} ms, of which {waited} ms waiting for an upstream"
            )
        }
    }
}

/// Returns a refusal reason in words, with a hint where to look further.
fn reason_text(reason: &str) -> &str {
    match reason {
        "overload" => "too many requests were queued before it to answer it in time",
        "late" => {
            "its objective could not be met, and others that could meet theirs needed the capacity"
        }
        "rank" => "more urgent requests of its service needed all of the capacity",
        "no_upstream" => "no upstream of the service could be reached",
        "no_allowed_upstream" => {
            "no upstream of the service could be reached in the regions that its route allows"
        }
        "owner_not_allowed" => {
            "the upstream that owns its key is not in a region that its route allows"
        }
        "not_allowed" => {
            "the upstream was registered in a region that its route does not allow before it was sent"
        }
        "limited" => "the owner of its key limits its rate, and other requests used all of it",
        "key_unowned" => "no upstream owned its key; see the ownership changes below",
        "expired" => "its deadline passed while it waited",
        "budget_spent" => "it had to be retried, and the retry budget was used up",
        "attempts_used" => "all attempts that its route allows were made",
        "shed" => "the upstreams reported that they have no capacity",
        "misdirected" => {
            "the upstreams reported that they don't own its key; see the ownership changes below"
        }
        "shortage" => {
            "the host had no descriptor, memory or port left for a connection to an upstream"
        }
        "unreachable" => "no connection to an upstream could be opened",
        "host_is_leaving" => "the host was shutting down",
        "crashes_upstreams" => "requests like it crashed upstreams",
        "unknown_service" => "its service is unknown",
        other => other,
    }
}

/// Returns the reason of a rejection before routing in words.
fn rejection_text(reason: &str) -> &str {
    match reason {
        "no_config" => "no configuration is known yet",
        "config_outdated" => "other hosts have a newer configuration, which this host lacks",
        "stale_config" => "no route or no key, but a newer configuration may take it",
        "newer_config_known" => "no route or no key, but another host has a newer configuration",
        "no_route" => "no route",
        "no_host" => "the host header is missing or repeated",
        "no_request_id" => "the request id is missing",
        "invalid_deadline" => "the deadline is not a number of milliseconds",
        "no_key" => "its service is sharded and it has no key",
        "key_newly_needed" => "it has no key, which its service needs only since a moment ago",
        "earlier_config_unknown" => "it has no key, which an earlier configuration may not need",
        "invalid_key" => "its key is not a number from 0 to 65535",
        other => other,
    }
}

/// Returns the attempts of a line: the upstream, the result and the time since the arrival of the request.
pub fn attempts(line: &Line) -> Vec<(&str, &str, &str)> {
    let steps = line.field("steps").unwrap_or_default().split_whitespace();
    steps
        .filter_map(|step| {
            let (rest, at) = step.rsplit_once('@')?;
            let (upstream, result) = rest.rsplit_once(':')?;
            Some((upstream, result, at))
        })
        .collect()
}

/// Returns the decisions that may have affected a request, sorted by time.
fn related<'a>(lines: &'a [Line], request_lines: &[&Line]) -> Vec<&'a Line> {
    let mut candidates: Vec<(u64, &Line)> = Vec::new();
    for line in lines.iter().filter(|line| !line.is_request()) {
        let distance =
            request_lines.iter().filter(|request| is_about(line, request)).filter_map(|request| {
                let took = Millis(request.number("took_ms").unwrap_or(0));
                distance(line.at, request.at, WINDOW_BEFORE_START + took)
            });
        if let Some(nearest) = distance.min() {
            candidates.push((nearest, line));
        }
    }
    candidates.sort_by_key(|(distance, line)| (*distance, line.at));
    let mut without_upstream = 0;
    let nearest = candidates.into_iter().map(|(_, line)| line).filter(|line| {
        let is_without_upstream =
            line.field("service").is_some() && line.field("upstream").is_none();
        without_upstream += usize::from(is_without_upstream);
        !is_without_upstream || without_upstream <= MAX_WITHOUT_UPSTREAM
    });
    let mut related: Vec<&Line> = nearest.take(MAX_RELATED).collect();
    related.sort_by_key(|line| line.at);
    related
}

/// Returns the milliseconds between a decision and the end of a request, `None` if they are too far apart.
fn distance(at: Timestamp, end: Timestamp, before: Millis) -> Option<u64> {
    let passed = at.as_millisecond() - end.as_millisecond();
    let limit = if passed > 0 { WINDOW_AFTER_END } else { before };
    Some(passed.unsigned_abs()).filter(|ms| *ms <= limit.0)
}

fn is_about(line: &Line, request: &Line) -> bool {
    let names_upstream = line
        .field("upstream")
        .is_some_and(|upstream| attempts(request).iter().any(|(tried, _, _)| *tried == upstream));
    if names_upstream {
        return true;
    }
    let topic = line.message.split(':').next().unwrap_or_default();
    match topic {
        "owners" => {
            let key = request.field("key").and_then(|key| key.parse().ok());
            let is_service = line.field("service").is_some()
                && line.field("service") == request.field("service");
            is_service && key.is_some_and(|key| decisions::may_concern_key(line, key))
        }
        "log" => false,
        _ => line.host == request.host,
    }
}

impl fmt::Display for Explanation<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let outcome = match self.outcome {
            Outcome::Answered => "answered",
            Outcome::NotRun => "not run",
            Outcome::Unknown => "may have been run",
        };
        write!(f, "{outcome}")?;
        for (line, cause_text) in self.lines.iter().zip(&self.causes) {
            write!(f, "\n{:.3}  {}  {cause_text}", line.at, line.host)?;
            let shown = ["route", "kind", "service", "key", "config", "status", "limit_ms"];
            for name in shown {
                if let Some(value) = line.field(name) {
                    write!(f, "\n    {name:<9} {value}")?;
                }
            }
        }
        if !self.related.is_empty() {
            write!(f, "\nrelated decisions:")?;
        }
        for line in &self.related {
            write!(f, "\n  {line}")?;
        }
        Ok(())
    }
}
