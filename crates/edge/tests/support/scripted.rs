//! Servers whose answers a test states byte by byte.

use rustix::net::sockopt;
use skylarkdock_edge::detour::{DetourServer, Knowledge, SharedPaths};
use skylarkdock_edge::notices::SharedNotices;
use skylarkdock_edge::upstreams::Protocol;
use skylarkdock_http1::body::Decoder;
use skylarkdock_http1::head::RequestHead;
use skylarkdock_units::times::Millis;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// What a server does behind the bytes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Then {
    Keep,
    Close,
    Reset,
}

/// Starts a server that answers with what `answer` returns for a request and its number on its connection, from 0. Returns
/// its address and the number of requests that it got.
pub fn start(
    answer: impl Fn(&RequestHead, usize) -> (String, Then) + Send + Sync + 'static,
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let received = Arc::new(AtomicUsize::new(0));
    let (answer, counted) = (Arc::new(answer), Arc::clone(&received));
    thread::spawn(move || {
        for stream in listener.incoming() {
            let (answer, counted) = (Arc::clone(&answer), Arc::clone(&counted));
            thread::spawn(move || serve(stream.unwrap(), &*answer, &counted));
        }
    });
    (addr, received)
}

fn serve(
    mut stream: TcpStream,
    answer: &dyn Fn(&RequestHead, usize) -> (String, Then),
    counted: &AtomicUsize,
) {
    let mut buf = Vec::new();
    for number in 0.. {
        let Some((head, _)) = read_request(&mut stream, &mut buf) else { return };
        counted.fetch_add(1, Ordering::SeqCst);
        let (text, then) = answer(&head, number);
        if stream.write_all(text.as_bytes()).is_err() {
            return;
        }
        match then {
            Then::Keep => {}
            Then::Close => return,
            Then::Reset => {
                sockopt::set_socket_linger(&stream, Some(Duration::ZERO)).unwrap();
                return;
            }
        }
    }
}

fn read_request(stream: &mut TcpStream, buf: &mut Vec<u8>) -> Option<(RequestHead, Vec<u8>)> {
    let mut chunk = [0; 4096];
    let head = loop {
        if let Some((head, len)) = RequestHead::parse(buf).unwrap() {
            buf.drain(..len);
            break head;
        }
        match stream.read(&mut chunk) {
            Ok(len) if len > 0 => buf.extend_from_slice(&chunk[..len]),
            _ => return None,
        }
    };
    let (mut decoder, mut body) = (Decoder::new(head.framing), Vec::new());
    loop {
        let used = decoder.decode(buf, &mut body).unwrap();
        buf.drain(..used);
        if decoder.is_done() {
            return Some((head, body));
        }
        let len = stream.read(&mut chunk).unwrap();
        buf.extend_from_slice(&chunk[..len]);
    }
}

/// Starts a host that passes calls on to the upstream at `upstream`, one at a time.
pub fn start_intermediary(protocol: Protocol, upstream: SocketAddr) -> SocketAddr {
    start_intermediary_with(protocol, vec![upstream], |_| {})
}

/// Like [`start_intermediary`], for several upstreams; `on_call` gets each call before it is passed on.
pub fn start_intermediary_with(
    protocol: Protocol,
    upstreams: Vec<SocketAddr>,
    on_call: impl Fn(&[u8]) + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let server = Mutex::new(DetourServer::new(protocol, Millis(400)));
    let (paths, notices) = (SharedPaths::default(), SharedNotices::default());
    let answer = Arc::new(move |call: &[u8]| {
        on_call(call);
        let knowledge = Knowledge {
            paths: &paths,
            notices: &notices,
            is_evacuated: &|_| false,
            is_leaving: false,
        };
        let listed = |addr| upstreams.contains(&addr).then(|| ("i-1".parse().unwrap(), 1));
        let server = server.lock().unwrap();
        async_io::block_on(server.on_call(&knowledge, call, listed)).unwrap()
    });
    thread::spawn(move || {
        for stream in listener.incoming() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || answer_calls(stream.unwrap(), &*answer));
        }
    });
    addr
}

fn answer_calls(mut stream: TcpStream, answer: &dyn Fn(&[u8]) -> Vec<u8>) {
    let mut buf = Vec::new();
    while let Some((_, call)) = read_request(&mut stream, &mut buf) {
        let body = answer(&call);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        if stream.write_all(&[head.as_bytes(), &body].concat()).is_err() {
            return;
        }
    }
}
