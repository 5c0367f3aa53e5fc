//! Equivalence of hosts and paths that are written in different ways.

/// Host and port, as far as they tell two hosts apart.
#[derive(Debug)]
pub(crate) struct Authority {
    /// Host in lower case, without the dot of the root zone.
    pub(crate) name: String,
    /// Digits of the port without leading zeros, if it is stated.
    pub(crate) port: Option<String>,
}

impl Authority {
    /// Parses the value of a `Host` field.
    pub(crate) fn parse(text: &str) -> Self {
        let (host, port) = match text.rsplit_once(':') {
            Some((host, port)) if port.bytes().all(|b| b.is_ascii_digit()) => (host, port),
            _ => (text, ""),
        };
        let host = host.strip_suffix('.').unwrap_or(host);
        let port = (!port.is_empty()).then(|| port.trim_start_matches('0').to_owned());
        Self { name: decode_unreserved(host).to_ascii_lowercase(), port }
    }

    /// Returns whether a host with this name and `port` can be the same. A port that only one of them states says nothing:
    /// callers may reach hosts on another port than the one that the configuration names.
    pub(crate) fn allows_port(&self, port: Option<&str>) -> bool {
        match (&self.port, port) {
            (Some(own), Some(port)) => own == port,
            _ => true,
        }
    }
}

/// Normalizes a path by its syntax (RFC 3986, section 6.2.2): equivalent paths become equal.
pub(crate) fn normalize_path(path: &str) -> String {
    let decoded = decode_unreserved(path);
    let Some(relative) = decoded.strip_prefix('/') else { return decoded };
    let mut kept: Vec<&str> = Vec::new();
    let mut segments = relative.split('/').peekable();
    while let Some(segment) = segments.next() {
        let is_last = segments.peek().is_none();
        match segment {
            "." | ".." => {
                if segment == ".." {
                    kept.pop();
                }
                if is_last {
                    kept.push("");
                }
            }
            _ => kept.push(segment),
        }
    }
    format!("/{}", kept.join("/"))
}

/// Decodes the percent-encoded characters that need no encoding, and writes the other ones, and what is not ASCII, in
/// upper-case hexadecimal digits.
fn decode_unreserved(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = String::with_capacity(text.len());
    let mut index = 0;
    while let Some(&byte) = bytes.get(index) {
        let encoded = if byte == b'%' { bytes.get(index + 1..index + 3) } else { None };
        let octet = encoded.and_then(parse_octet);
        index += if octet.is_some() { 3 } else { 1 };
        match octet {
            Some(octet) if is_unreserved(octet) => decoded.push(char::from(octet)),
            Some(octet) => decoded.push_str(&format!("%{octet:02X}")),
            None if byte.is_ascii() => decoded.push(char::from(byte)),
            None => decoded.push_str(&format!("%{byte:02X}")),
        }
    }
    decoded
}

fn parse_octet(digits: &[u8]) -> Option<u8> {
    let text = std::str::from_utf8(digits).ok()?;
    let is_hex = text.bytes().all(|b| b.is_ascii_hexdigit());
    if is_hex { u8::from_str_radix(text, 16).ok() } else { None }
}

const fn is_unreserved(octet: u8) -> bool {
    octet.is_ascii_alphanumeric() || matches!(octet, b'-' | b'.' | b'_' | b'~')
}
