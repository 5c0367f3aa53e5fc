//! Minimal HTTP/1.1 for stand-ins: heads, bodies, a threaded server and a blocking client.

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Request or answer that was received whole.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Connection with bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    pub buf: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buf: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 65_536];
        let count = self.stream.read(&mut chunk)?;
        self.buf.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads the head of a message; `None` if the connection ends before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(end) = self.buf.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
                let head: Vec<u8> = self.buf.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let start = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers.map(|(k, v)| (k.trim().to_owned(), v.trim().to_owned()));
                return Ok(Some(Message { start, headers: headers.collect(), body: Vec::new() }));
            }
            if self.fill()? == 0 {
                if self.buf.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a body with a length, and returns how many bytes it had. Keeps the bytes if `keep` is set.
    pub fn read_body(&mut self, head: &mut Message, keep: bool) -> io::Result<usize> {
        let length: usize = head.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
        let mut left = length;
        while left > 0 {
            if self.buf.is_empty() && self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let count = left.min(self.buf.len());
            if keep {
                head.body.extend_from_slice(&self.buf[..count]);
            }
            self.buf.drain(..count);
            left -= count;
        }
        Ok(length)
    }

    /// Reads a whole message with its body.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.read_head()? else { return Ok(None) };
        self.read_body(&mut message, true)?;
        Ok(Some(message))
    }
}

/// Answer of a stand-in. Its length is added.
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

    pub fn bytes(&self) -> Vec<u8> {
        let mut head =
            format!("HTTP/1.1 {} X\r\nContent-Length: {}\r\n", self.status, self.body.len());
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// A server that can be ended as if its process had crashed.
#[derive(Clone)]
pub struct Server {
    pub addr: SocketAddr,
    has_ended: Arc<AtomicBool>,
    /// Open connections by their numbers.
    open: Arc<Mutex<BTreeMap<u64, TcpStream>>>,
}

impl Server {
    /// Ends the server: all its connections break, and further ones are refused.
    pub fn crash(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts connections, which then closes the listener.
        let _ = TcpStream::connect(self.addr);
        for stream in self.open.lock().expect("the list").values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

/// Serves each connection of a free port in a thread of its own, until the process ends or the server crashes.
pub fn serve(ip: Ipv4Addr, handler: impl Fn(Conn) + Send + Sync + 'static) -> Server {
    let listener = TcpListener::bind((IpAddr::V4(ip), 0)).expect("a free port");
    let addr = listener.local_addr().expect("its address");
    let server = Server { addr, has_ended: Arc::default(), open: Arc::default() };
    let (shared, handler) = (server.clone(), Arc::new(handler));
    thread::spawn(move || {
        let mut number = 0;
        for stream in listener.incoming().flatten() {
            if shared.has_ended.load(Ordering::SeqCst) {
                return;
            }
            number += 1;
            let own = number;
            if let Ok(clone) = stream.try_clone() {
                shared.open.lock().expect("the list").insert(own, clone);
            }
            let (handler, shared) = (Arc::clone(&handler), shared.clone());
            thread::spawn(move || {
                handler(Conn::new(stream));
                shared.open.lock().expect("the list").remove(&own);
            });
        }
    });
    server
}

/// Serves whole requests one after the other on each connection.
pub fn serve_requests(
    ip: Ipv4Addr,
    handler: impl Fn(Message) -> Answer + Send + Sync + 'static,
) -> SocketAddr {
    let server = serve(ip, move |mut conn| {
        while let Ok(Some(req)) = conn.read() {
            let answer = handler(req);
            if conn.stream.write_all(&answer.bytes()).is_err() {
                return;
            }
        }
    });
    server.addr
}

/// Opens a connection within a second, as callers of the platform do.
pub fn connect(addr: SocketAddr) -> io::Result<Conn> {
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    Ok(Conn::new(stream))
}
