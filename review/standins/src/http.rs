//! A small blocking HTTP/1.1 server and client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| decode(value)).next()
    }
}

pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self { status, headers: Vec::new(), body: body.into() }
    }

    pub fn with(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = bytes.get(i + 1..i + 3).and_then(|h| std::str::from_utf8(h).ok());
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) if bytes[i] == b'%' => {
                out.push(byte);
                i += 3;
            }
            _ => {
                out.push(bytes[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Serves requests at an address, a thread for each connection. `handler` closes the connection with `None`; `accepts` is
/// asked for each connection as it comes, and its value is given to the handler.
pub fn serve<T: Send + 'static>(
    addr: SocketAddr,
    accepts: impl Fn() -> Option<T> + Send + 'static,
    handler: impl Fn(&T, &Request) -> Option<Answer> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind(addr).expect("a free address");
    let addr = listener.local_addr().expect("an address");
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let Some(context) = accepts() else { continue };
            let handler = Arc::clone(&handler);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                serve_connection(stream, &context, &*handler);
            });
        }
    });
    addr
}

fn serve_connection<T>(
    mut stream: TcpStream,
    context: &T,
    handler: &dyn Fn(&T, &Request) -> Option<Answer>,
) {
    let mut buf = Vec::new();
    while let Some(req) = read_request(&mut stream, &mut buf) {
        let Some(answer) = handler(context, &req) else { return };
        if stream.write_all(&encode(&answer)).is_err() {
            return;
        }
    }
}

fn encode(answer: &Answer) -> Vec<u8> {
    let mut text =
        format!("HTTP/1.1 {} X\r\nContent-Length: {}\r\n", answer.status, answer.body.len());
    for (name, value) in &answer.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&answer.body);
    bytes
}

fn head_end(buf: &[u8]) -> Option<usize> {
    buf.windows(4).position(|part| part == b"\r\n\r\n").map(|at| at + 4)
}

/// Reads a head, and leaves what follows it in `buf`.
fn read_head(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Vec<String>> {
    let mut chunk = [0; 8192];
    let end = loop {
        if let Some(end) = head_end(buf) {
            break end;
        }
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        buf.extend_from_slice(&chunk[..count]);
    };
    let head: Vec<u8> = buf.drain(..end).collect();
    let text = String::from_utf8_lossy(&head).into_owned();
    Some(text.split("\r\n").filter(|line| !line.is_empty()).map(str::to_owned).collect())
}

fn fields(lines: &[String]) -> Vec<(String, String)> {
    let pairs = lines.iter().filter_map(|line| line.split_once(':'));
    pairs.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned())).collect()
}

fn read_body(stream: &mut TcpStream, buf: &mut Vec<u8>, len: usize) -> Option<Vec<u8>> {
    let mut chunk = [0; 8192];
    while buf.len() < len {
        let count = stream.read(&mut chunk).ok().filter(|count| *count > 0)?;
        buf.extend_from_slice(&chunk[..count]);
    }
    Some(buf.drain(..len).collect())
}

fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Request> {
    let lines = read_head(stream, buf)?;
    let mut parts = lines.first()?.split(' ');
    let (method, target) = (parts.next()?.to_owned(), parts.next()?.to_owned());
    let headers = fields(&lines[1..]);
    let len = find(&headers, "content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
    let body = read_body(stream, buf, len)?;
    Some(Request { method, target, headers, body })
}

/// Sends a request on a connection of its own and reads the whole answer; `None` if there is no whole one in time.
pub fn call(addr: SocketAddr, head: &str, body: &[u8], timeout: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(timeout)).ok()?;
    let mut bytes = head.as_bytes().to_vec();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    read_answer(&mut stream, &mut Vec::new())
}

/// Reads a whole answer that has a length.
pub fn read_answer(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<Answer> {
    let lines = read_head(stream, buf)?;
    let status = lines.first()?.split(' ').nth(1)?.parse().ok()?;
    let headers = fields(&lines[1..]);
    let len = find(&headers, "content-length").and_then(|len| len.parse().ok()).unwrap_or(0);
    let body = read_body(stream, buf, len)?;
    Some(Answer { status, headers, body })
}
