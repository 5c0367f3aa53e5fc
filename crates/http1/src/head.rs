//! Heads of requests and answers.

use crate::body::Framing;
use thiserror::Error;

/// Most header fields accepted in one head.
const MAX_HEADERS: usize = 96;

/// Why the bytes are no head.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The bytes break the grammar.
    #[error("malformed head")]
    Malformed,
    /// There are more header fields than accepted.
    #[error("too many header fields")]
    TooManyHeaders,
    /// The message's end can't be told for sure.
    #[error("ambiguous message length")]
    AmbiguousLength,
    /// A transfer coding other than `chunked`.
    #[error("unsupported transfer coding")]
    UnsupportedCoding,
}

/// A header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Name as received.
    pub name: String,
    /// Value as received.
    pub value: Vec<u8>,
}

/// Header fields in the order received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// Returns the first value of a field; names are compared without case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let found = self.0.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| header.value.as_slice())
    }

    /// Returns the first value of a field as text, if it is text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// Returns whether a comma-separated field lists `token`.
    pub fn lists(&self, name: &str, token: &str) -> bool {
        let fields = self.0.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
        let texts = fields.filter_map(|header| std::str::from_utf8(&header.value).ok());
        texts.flat_map(|text| text.split(',')).any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// Appends a field.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.0.push(Header { name: name.to_owned(), value: value.into() });
    }

    /// Removes all fields of a name.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|header| !header.name.eq_ignore_ascii_case(name));
    }

    /// Removes the fields that concern one connection only, those that `Connection` names included.
    pub fn remove_hop_by_hop(&mut self) {
        const HOP_BY_HOP: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        ];
        let named: Vec<String> = self
            .0
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case("connection"))
            .filter_map(|header| std::str::from_utf8(&header.value).ok())
            .flat_map(|text| text.split(','))
            .map(|item| item.trim().to_ascii_lowercase())
            .collect();
        self.0.retain(|header| {
            let name = header.name.to_ascii_lowercase();
            !HOP_BY_HOP.contains(&name.as_str()) && !named.contains(&name)
        });
    }

    /// Appends the fields in wire form.
    pub fn write(&self, buf: &mut Vec<u8>) {
        for header in &self.0 {
            buf.extend_from_slice(header.name.as_bytes());
            buf.extend_from_slice(b": ");
            buf.extend_from_slice(&header.value);
            buf.extend_from_slice(b"\r\n");
        }
    }

    fn parsed(headers: &[httparse::Header<'_>]) -> Self {
        let own = |header: &httparse::Header<'_>| Header {
            name: header.name.to_owned(),
            value: header.value.to_owned(),
        };
        Self(headers.iter().map(own).collect())
    }

    /// Returns the declared length, `None` without one.
    fn content_length(&self) -> Result<Option<u64>, HeadError> {
        let mut length = None;
        for header in self.0.iter().filter(|h| h.name.eq_ignore_ascii_case("content-length")) {
            let text = std::str::from_utf8(&header.value).map_err(|_| HeadError::Malformed)?.trim();
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HeadError::AmbiguousLength);
            }
            let value: u64 = text.parse().map_err(|_| HeadError::AmbiguousLength)?;
            if length.is_some_and(|earlier| earlier != value) {
                return Err(HeadError::AmbiguousLength);
            }
            length = Some(value);
        }
        Ok(length)
    }

    fn is_chunked(&self) -> Result<bool, HeadError> {
        let mut codings = self
            .0
            .iter()
            .filter(|h| h.name.eq_ignore_ascii_case("transfer-encoding"))
            .map(|h| h.value.as_slice());
        match (codings.next(), codings.next()) {
            (None, _) => Ok(false),
            (Some(value), None) if value.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(true),
            _ => Err(HeadError::UnsupportedCoding),
        }
    }
}

/// Head of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Method as received.
    pub method: String,
    /// Path and query as received.
    pub target: String,
    /// Whether the version is HTTP/1.1.
    pub is_http11: bool,
    /// Header fields.
    pub headers: Headers,
    /// How the body ends.
    pub framing: Framing,
}

impl RequestHead {
    /// Parses a head at the start of `buf`. Returns it with its length in bytes, `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no head or its body's length is in doubt.
    pub fn parse(buf: &[u8]) -> Result<Option<(Self, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut req = httparse::Request::new(&mut fields);
        let len = match req.parse(buf).map_err(head_error)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(len) => len,
        };
        let headers = Headers::parsed(req.headers);
        let length = headers.content_length()?;
        let framing = match (headers.is_chunked()?, length) {
            (true, Some(_)) => return Err(HeadError::AmbiguousLength),
            (true, None) => Framing::Chunked,
            (false, length) => Framing::Length(length.unwrap_or(0)),
        };
        let is_http11 = req.version == Some(1);
        if framing == Framing::Chunked && !is_http11 {
            return Err(HeadError::AmbiguousLength);
        }
        let head = Self {
            method: req.method.unwrap_or_default().to_owned(),
            target: req.path.unwrap_or_default().to_owned(),
            is_http11,
            headers,
            framing,
        };
        Ok(Some((head, len)))
    }

    /// Returns whether the caller keeps the connection for a further request.
    pub fn keeps_alive(&self) -> bool {
        self.is_http11 && !self.headers.lists("connection", "close")
    }

    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }
}

/// Head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerHead {
    /// Status code.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the peer keeps the connection afterwards.
    pub keeps_alive: bool,
}

impl AnswerHead {
    /// Parses an answer's head at the start of `buf`. Returns it with its length in bytes, `None` while it is
    /// incomplete. `to_head` says that the request was a HEAD, whose answer has no body.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are no head or its body's length is in doubt.
    pub fn parse(buf: &[u8], to_head: bool) -> Result<Option<(Self, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut answer = httparse::Response::new(&mut fields);
        let len = match answer.parse(buf).map_err(head_error)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(len) => len,
        };
        let status = answer.code.unwrap_or_default();
        let headers = Headers::parsed(answer.headers);
        let length = headers.content_length()?;
        let is_chunked = headers.is_chunked()?;
        let has_no_body = to_head || status == 204 || status == 304 || (100..200).contains(&status);
        let framing = match (is_chunked, length) {
            _ if has_no_body => Framing::Length(0),
            (true, Some(_)) => return Err(HeadError::AmbiguousLength),
            (true, None) => Framing::Chunked,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::UntilClose,
        };
        let keeps_alive = answer.version == Some(1)
            && !headers.lists("connection", "close")
            && framing != Framing::UntilClose;
        Ok(Some((Self { status, headers, framing, keeps_alive }, len)))
    }

    /// Returns whether this is an interim answer, after which the final one follows.
    pub const fn is_interim(&self) -> bool {
        self.status >= 100 && self.status < 200 && self.status != 101
    }
}

const fn head_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooManyHeaders,
        _ => HeadError::Malformed,
    }
}
