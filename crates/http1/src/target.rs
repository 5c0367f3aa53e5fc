//! Forms of request targets.

use crate::head::{Header, RequestHead};

impl RequestHead {
    /// Returns the value of the `Host` field, or `None` if there is none, several or one that is not valid UTF-8.
    pub fn host(&self) -> Option<&str> {
        let mut fields = self.headers.0.iter().filter(|header| is_host(header));
        match (fields.next(), fields.next()) {
            (Some(header), None) => std::str::from_utf8(&header.value).ok().map(str::trim),
            _ => None,
        }
    }

    /// Turns a target in absolute form into origin form. The authority of the target replaces the value of the `Host` field
    /// (RFC 9112, section 3.2.2), which HTTP/1.1 requires all the same. Path and query stay as they are.
    #[must_use]
    pub fn into_origin_form(mut self) -> Self {
        let Some((authority, path)) = split_absolute(&self.target) else { return self };
        let (authority, path) = (authority.to_owned(), path.to_owned());
        let mut fields = self.headers.0.iter_mut().filter(|header| is_host(header));
        match (fields.next(), fields.next()) {
            (Some(header), None) => header.value = authority.into_bytes(),
            (None, _) if !self.is_http11 => self.headers.push("Host", authority),
            _ => {}
        }
        self.target = match path.as_bytes().first() {
            Some(b'/') => path,
            // The server as a whole (RFC 9112, section 3.2.4).
            None if self.method == "OPTIONS" => "*".to_owned(),
            _ => format!("/{path}"),
        };
        self
    }
}

fn is_host(header: &Header) -> bool {
    header.name.eq_ignore_ascii_case("host")
}

/// Splits a target in absolute form into its authority and the rest. User information is not allowed in it.
fn split_absolute(target: &str) -> Option<(&str, &str)> {
    let (scheme, rest) = target.split_once("://")?;
    let is_http = ["http", "https"].iter().any(|name| scheme.eq_ignore_ascii_case(name));
    let (authority, path) = rest.split_at(rest.find(['/', '?', '#']).unwrap_or(rest.len()));
    (is_http && !authority.is_empty() && !authority.contains('@')).then_some((authority, path))
}
