//! Starts stand-ins, sends requests to them and waits for conditions.

#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

use bytes::Bytes;
use http::{Method, Request, Response};
use serde_json::Value;
use skylarkdock_httppath::body::Body;
use skylarkdock_standins::client::{self, Client, ClientError, PendingCall};
use skylarkdock_standins::process::{Launch, Process};
use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of all waits, far above the time that a passing test needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

pub const ANY_PORT: &str = "127.0.0.1:0";

/// A running stand-in process with an HTTP client.
pub struct Standin {
    pub process: Process,
    pub client: Client,
    pub addr: SocketAddr,
}

pub fn launch(command: &str, args: &[&str]) -> Launch {
    Launch::new(env!("CARGO_BIN_EXE_skylarkdock-standin")).arg(command).args(args)
}

pub fn standin(command: &str, args: &[&str]) -> Standin {
    let process = launch(command, &["--listen", ANY_PORT]).args(args).start().unwrap();
    let addr = process.address();
    Standin { process, client: Client::start().unwrap(), addr }
}

impl Standin {
    pub fn get(&self, path: &str) -> Value {
        self.client.get(self.addr, path).unwrap()
    }

    pub fn put(&self, path: &str, value: Value) -> Value {
        self.client.put(self.addr, path, &value).unwrap()
    }

    pub fn fault(&self, faults: Value) {
        self.put("/_standin/faults", faults);
    }

    pub fn begin(&self, req: Request<Body>) -> PendingCall {
        self.client.begin(self.addr, req)
    }

    pub fn send(&self, req: Request<Body>) -> Result<Response<Bytes>, ClientError> {
        self.begin(req).wait()
    }

    pub fn status(&self, method: Method, path: &str, body: &str) -> u16 {
        let res = self.send(client::request(method, path, body.to_owned())).unwrap();
        res.status().as_u16()
    }
}

/// Polls `condition` until it returns a value; panics after [`WAIT_TIMEOUT`].
pub fn eventually<T>(mut condition: impl FnMut() -> Option<T>) -> T {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        if let Some(value) = condition() {
            return value;
        }
        assert!(Instant::now() < end, "condition not met within {WAIT_TIMEOUT:?}");
        thread::sleep(Duration::from_millis(5));
    }
}

pub fn json(res: &Response<Bytes>) -> Value {
    serde_json::from_slice(res.body()).unwrap()
}
