//! Heads of HTTP/1.1 requests and responses.

use crate::body::Framing;
use crate::grammar;
use thiserror::Error;

/// Maximum number of header fields in the head of a response, and number up to which those of a request need no larger table.
const MAX_HEADERS: usize = 96;
/// Factor by which the table of header fields grows if a request has more.
const TABLE_GROWTH: usize = 8;
/// Length of the shortest header field: a name, a colon and a line feed.
const MIN_FIELD_BYTES: usize = 3;
/// Statuses that HTTP defines classes for.
const VALID_STATUSES: std::ops::RangeInclusive<u16> = 100..=599;

/// Why a message head is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum HeadError {
    /// The head violates the HTTP/1.1 grammar.
    #[error("malformed head")]
    Malformed,
    /// The head has more header fields than the parser accepts.
    #[error("too many header fields")]
    TooManyHeaders,
    /// The headers don't determine the body's length unambiguously, which would allow request smuggling.
    #[error("ambiguous message length")]
    AmbiguousLength,
    /// `Transfer-Encoding` is anything other than a single `chunked`.
    #[error("unsupported transfer coding")]
    UnsupportedCoding,
    /// The status of a response is not one of HTTP.
    #[error("invalid status {0}")]
    InvalidStatus(u16),
}

/// One header field of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// Field name, in the case received.
    pub name: String,
    /// Field value, which need not be valid UTF-8.
    pub value: Vec<u8>,
}

/// Header fields of a message, in the order received.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// Returns the value of the first field with this name; names are case-insensitive.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let found = self.0.iter().find(|header| header.name.eq_ignore_ascii_case(name));
        found.map(|header| header.value.as_slice())
    }

    /// Returns the trimmed value of the first field with this name, if it is valid UTF-8.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// Returns whether a comma-separated list field contains `token`, compared without case.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let fields = self.0.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
        let texts = fields.filter_map(|header| std::str::from_utf8(&header.value).ok());
        texts.flat_map(|text| text.split(',')).any(|item| item.trim().eq_ignore_ascii_case(token))
    }

    /// Appends a header field, also if others with the same name exist.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.0.push(Header { name: name.to_owned(), value: value.into() });
    }

    /// Removes all header fields with this name.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|header| !header.name.eq_ignore_ascii_case(name));
    }

    /// Removes hop-by-hop header fields, including those that `Connection` names.
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
        let connection_options: Vec<String> = self
            .0
            .iter()
            .filter(|header| header.name.eq_ignore_ascii_case("connection"))
            .filter_map(|header| std::str::from_utf8(&header.value).ok())
            .flat_map(|text| text.split(','))
            .map(|item| item.trim().to_ascii_lowercase())
            .collect();
        self.0.retain(|header| {
            let name = header.name.to_ascii_lowercase();
            !HOP_BY_HOP.contains(&name.as_str()) && !connection_options.contains(&name)
        });
    }

    /// Serializes the header fields to `buf`, without the empty line that ends the head.
    pub fn write(&self, buf: &mut Vec<u8>) {
        for header in &self.0 {
            buf.extend_from_slice(header.name.as_bytes());
            buf.extend_from_slice(b": ");
            buf.extend_from_slice(&header.value);
            buf.extend_from_slice(b"\r\n");
        }
    }

    fn from_httparse(headers: &[httparse::Header<'_>]) -> Self {
        let to_owned_header = |header: &httparse::Header<'_>| Header {
            name: header.name.to_owned(),
            value: header.value.to_owned(),
        };
        Self(headers.iter().map(to_owned_header).collect())
    }

    /// Returns whether all names and values are those of header fields. Parsed heads have no others.
    pub fn is_valid(&self) -> bool {
        let is_field = |header: &Header| {
            grammar::is_field_name(header.name.as_bytes()) && grammar::is_field_value(&header.value)
        };
        self.0.iter().all(is_field)
    }

    /// Returns the value of `Content-Length`, or `None` if the field is absent.
    fn content_length(&self) -> Result<Option<u64>, HeadError> {
        let mut length = None;
        for header in self.0.iter().filter(|h| h.name.eq_ignore_ascii_case("content-length")) {
            let text = std::str::from_utf8(&header.value).map_err(|_| HeadError::Malformed)?.trim();
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(HeadError::AmbiguousLength);
            }
            let value: u64 = text.parse().map_err(|_| HeadError::AmbiguousLength)?;
            if length.is_some_and(|previous| previous != value) {
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

/// Request line and header fields of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestHead {
    /// Request method, in the case received.
    pub method: String,
    /// Request target (path and query), not decoded.
    pub target: String,
    /// Whether the request's version is HTTP/1.1 rather than 1.0.
    pub is_http11: bool,
    /// Header fields.
    pub headers: Headers,
    /// How the end of the body is determined.
    pub framing: Framing,
}

impl RequestHead {
    /// Parses a request head at the start of `buf`. Returns it with its length in bytes, or `None` while it is
    /// incomplete. The number of header fields is limited by the length of `buf` alone.
    ///
    /// # Errors
    ///
    /// Returns a [`HeadError`] if the head is malformed or doesn't determine how the body ends.
    pub fn parse(buf: &[u8]) -> Result<Option<(Self, usize)>, HeadError> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut result = Self::parse_into(buf, &mut fields);
        let max_fields = buf.len() / MIN_FIELD_BYTES;
        let mut table_len = MAX_HEADERS;
        while result == Err(HeadError::TooManyHeaders) && table_len < max_fields {
            table_len = (table_len * TABLE_GROWTH).min(max_fields);
            result = Self::parse_into(buf, &mut vec![httparse::EMPTY_HEADER; table_len]);
        }
        result
    }

    /// Parses a request head with a table for the header fields.
    fn parse_into<'a>(
        buf: &'a [u8],
        fields: &mut [httparse::Header<'a>],
    ) -> Result<Option<(Self, usize)>, HeadError> {
        let mut req = httparse::Request::new(fields);
        let len = match req.parse(buf).map_err(head_error)? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete(len) => len,
        };
        let headers = Headers::from_httparse(req.headers);
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

    /// Returns whether the caller keeps the connection open for further requests.
    pub fn keeps_alive(&self) -> bool {
        self.is_http11 && !self.headers.contains_token("connection", "close")
    }

    /// Returns the request target without query and fragment.
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }
}

/// Status line and header fields of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// Header fields.
    pub headers: Headers,
    /// How the end of the body is determined.
    pub framing: Framing,
    /// Whether the server keeps the connection open after this response.
    pub keeps_alive: bool,
}

impl ResponseHead {
    /// Parses a response head at the start of `buf`. Returns it with its length in bytes, or `None` while it is
    /// incomplete. `is_head_request` says that the request's method was HEAD, whose response has no body.
    ///
    /// # Errors
    ///
    /// Returns a [`HeadError`] if the head is malformed, too large, has a status that is none of HTTP, or doesn't determine how
    /// the body ends.
    pub fn parse(buf: &[u8], is_head_request: bool) -> Result<Option<(Self, usize)>, HeadError> {
        // The parser skips empty lines, which belong to no response.
        if buf.first().is_some_and(|byte| matches!(byte, b'\r' | b'\n')) {
            return Err(HeadError::Malformed);
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut fields);
        let parsed = response.parse(buf).map_err(head_error)?;
        // An incomplete head may already have its status.
        if let Some(status) = response.code
            && !is_valid_status(status)
        {
            return Err(HeadError::InvalidStatus(status));
        }
        let httparse::Status::Complete(len) = parsed else { return Ok(None) };
        let status = response.code.unwrap_or_default();
        let headers = Headers::from_httparse(response.headers);
        let length = headers.content_length()?;
        let is_chunked = headers.is_chunked()?;
        let is_http11 = response.version == Some(1);
        let has_no_body =
            is_head_request || status == 204 || status == 304 || (100..200).contains(&status);
        let framing = match (is_chunked, length) {
            _ if has_no_body => Framing::Length(0),
            (true, Some(_)) => return Err(HeadError::AmbiguousLength),
            // A sender of HTTP/1.0 knows no chunks, so its body may end elsewhere (RFC 9112, 6.1).
            (true, None) if !is_http11 => return Err(HeadError::AmbiguousLength),
            (true, None) => Framing::Chunked,
            (false, Some(length)) => Framing::Length(length),
            (false, None) => Framing::UntilClose,
        };
        let keeps_alive = is_http11
            && !headers.contains_token("connection", "close")
            && framing != Framing::UntilClose;
        Ok(Some((Self { status, headers, framing, keeps_alive }, len)))
    }

    /// Returns whether this is an interim (1xx) response, which a final response follows. 101 is final.
    pub const fn is_interim(&self) -> bool {
        self.status >= 100 && self.status < 200 && self.status != 101
    }
}

/// Returns whether a status is one of HTTP, assigned or not.
pub fn is_valid_status(status: u16) -> bool {
    VALID_STATUSES.contains(&status)
}

const fn head_error(error: httparse::Error) -> HeadError {
    match error {
        httparse::Error::TooManyHeaders => HeadError::TooManyHeaders,
        _ => HeadError::Malformed,
    }
}
