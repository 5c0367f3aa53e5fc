//! Fake daemons, and functions that run the program against them.

#![allow(dead_code)]

use async_io::Async;
use http::{Response, StatusCode};
use serde_json::{Value, json};
use skylarkdock_cli::exit::Exit;
use skylarkdock_cli::program::{self, Env};
use skylarkdock_httppath::body;
use skylarkdock_httppath::executor::Executor;
use skylarkdock_httppath::server::Server;
use skylarkdock_units::measures::ByteSize;
use std::io::Read;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};

const LOCALHOST: &str = "127.0.0.1:0";

/// Calls that the daemons received: index of the host, method and parameters.
pub type Calls = Arc<Mutex<Vec<(usize, String, Value)>>>;

/// Fake daemons, each of which lists all of them as hosts.
pub struct Fleet {
    pub addrs: Vec<SocketAddr>,
    pub calls: Calls,
}

impl Fleet {
    /// Starts daemons. `respond` gets the index of the host, the method and the parameters, and returns the result, or
    /// `None` for a response with status 500. Without a result, `hosts` returns the list of all daemons.
    pub fn start(
        count: usize,
        respond: impl Fn(usize, &str, &Value) -> Option<Value> + Send + Sync + 'static,
    ) -> Self {
        let bind = |_| Async::<TcpListener>::bind(LOCALHOST.parse::<SocketAddr>().unwrap());
        let listeners: Vec<Async<TcpListener>> = (0..count).map(bind).map(Result::unwrap).collect();
        let addrs = listeners.iter().map(|listener| listener.get_ref().local_addr().unwrap());
        let addrs: Vec<SocketAddr> = addrs.collect();
        let calls = Calls::default();
        let respond = Arc::new(respond);
        for (index, listener) in listeners.into_iter().enumerate() {
            let rows = host_rows(&addrs);
            let (respond, calls) = (Arc::clone(&respond), Arc::clone(&calls));
            serve(listener, move |method, params| {
                calls.lock().unwrap().push((index, method.to_owned(), params.clone()));
                let default = || (method == "hosts").then(|| rows.clone());
                respond(index, method, params).or_else(default)
            });
        }
        Self { addrs, calls }
    }

    /// Runs the program with the addresses of the fleet.
    pub fn run(&self, args: &[&str]) -> RunResult {
        let hosts = self.addrs.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
        run_at(&hosts, args)
    }

    pub fn params(&self, method: &str) -> Vec<Value> {
        let calls = self.calls.lock().unwrap();
        let matching = calls.iter().filter(|(_, name, _)| name == method);
        matching.map(|(_, _, params)| params.clone()).collect()
    }
}

pub fn host_rows(addrs: &[SocketAddr]) -> Value {
    let rows = addrs.iter().enumerate().map(|(index, addr)| {
        json!({
            "member": {"host": format!("host-{index}"), "incarnation": 7},
            "zone": "norte-a", "region": "bajio-norte", "state": "live",
            "peer": "10.0.0.1:7000", "http": addr, "heard_ms_ago": 12
        })
    });
    rows.collect()
}

pub fn status(index: usize, applied: u64) -> Value {
    json!({
        "host": format!("host-{index}"), "zone": "norte-a", "region": "bajio-norte",
        "incarnation": 7, "state": "serving", "applied": applied, "log_reachable": true,
        "services": 2, "ranges_held": 32
    })
}

fn serve(
    listener: Async<TcpListener>,
    respond: impl Fn(&str, &Value) -> Option<Value> + Send + Sync + 'static,
) {
    let executor = Executor::start("fake", 1).unwrap();
    let server = Server::builder(listener, executor.clone()).build();
    let respond = Arc::new(respond);
    let serving = server.serve(move |req, _| {
        let respond = Arc::clone(&respond);
        async move {
            assert_eq!(req.uri().path(), "/rpc");
            let bytes = body::collect(req.into_body(), ByteSize(1 << 20)).await.unwrap();
            let call: Value = serde_json::from_slice(&bytes).unwrap();
            let method = call["method"].as_str().unwrap();
            let mut res = Response::new(body::empty());
            match respond(method, &call["params"]) {
                Some(result) => {
                    let envelope = envelope(&call["id"], result);
                    *res.body_mut() = body::full(envelope.to_string());
                }
                None => *res.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
            }
            res
        }
    });
    executor.spawn(serving).detach();
    // Keeps the server running until the test process ends.
    std::mem::forget(executor);
}

/// Wraps a result as a JSON-RPC response. The result `{"error": ...}` becomes an error response.
fn envelope(id: &Value, result: Value) -> Value {
    match result.get("error") {
        Some(error) => json!({"jsonrpc": "2.0", "id": id, "error": error}),
        None => json!({"jsonrpc": "2.0", "id": id, "result": result}),
    }
}

/// Returns an address on which nothing listens.
pub fn closed_address() -> SocketAddr {
    TcpListener::bind(LOCALHOST).unwrap().local_addr().unwrap()
}

/// Returns an address that reads a request and closes the connection without a response.
pub fn dropping_address() -> SocketAddr {
    let listener = TcpListener::bind(LOCALHOST).unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let _ = stream.unwrap().read(&mut [0; 1024]);
        }
    });
    addr
}

/// Exit status and output of a run of the program.
#[derive(Debug)]
pub struct RunResult {
    pub exit: Exit,
    pub out: String,
    pub err: String,
}

impl RunResult {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.out).unwrap()
    }
}

pub fn run_at(hosts: &str, args: &[&str]) -> RunResult {
    let env = Env { hosts: Some(hosts.to_owned()), operator: Some("ana".to_owned()), token: None };
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let args = args.iter().map(|arg| (*arg).into()).collect();
    let exit = program::run(args, env, &mut out, &mut err);
    let text = |bytes| String::from_utf8(bytes).unwrap();
    RunResult { exit, out: text(out), err: text(err) }
}

/// Writes a file in the temporary directory of the tests and returns its path.
pub fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}
