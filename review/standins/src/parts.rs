//! Requests whose bytes come in two parts, on connections that have been idle for longer than `header-timeout` and shorter
//! than `idle-timeout`. No case, as no rule forbids what is seen; KNOWN-RED.txt names it.

use crate::backend::{Backend, Fleet};
use crate::host::{Addresses, Host, Place};
use crate::http;
use crate::record::Record;
use crate::store::Store;
use crate::{CantRun, config, wait_for};
use serde_json::json;
use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

/// Connections, each with one request.
const CONNECTIONS: usize = 20;
/// Time between the two parts of a request.
const BETWEEN_PARTS: Duration = Duration::from_millis(50);

/// Returns a line for each request without an answer. Without the disruption the connections are idle for a shorter time.
pub fn run(record: &Record, has_trouble: bool) -> Result<Vec<String>, CantRun> {
    let idle = if has_trouble { Duration::from_secs(4) } else { Duration::from_secs(1) };
    let mut addresses = Addresses::new();
    let store = Store::start(addresses.any_port(), record);
    let fleet = Fleet::default();
    store.put("keyed.op", "config", &config(3));
    let work = Duration::from_millis(10);
    let parts = (&fleet, &store, record);
    let _backend =
        Backend::start(("o-1", "orders", "leon-a"), addresses.any_port(), false, work, parts);
    let place = Place { zone: "leon-a", region: "bajio-norte" };
    let mut host = Host::new("front-1", &mut addresses, record, place.zone);
    host.configure(&place, &[host.peers], store.addr, &json!({"leon-a": "bajio-norte"}));
    host.start();
    wait_for("the host is ready", 20, || host.is_ready())?;
    thread::sleep(Duration::from_secs(1));
    let callers = host.callers;
    let sent = (0..CONNECTIONS).map(|number| {
        let record = record.clone();
        thread::spawn(move || {
            let id = format!("parts-{number}");
            let mut stream = TcpStream::connect(callers).map_err(|e| e.to_string())?;
            stream.set_read_timeout(Some(Duration::from_secs(5))).map_err(|e| e.to_string())?;
            thread::sleep(idle);
            let head = format!(
                "POST /order/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: {id}\r\nX-Deadline-Milliseconds: 4000\r\nContent-Length: 4\r\n\r\n"
            );
            stream.write_all(head.as_bytes()).map_err(|e| e.to_string())?;
            thread::sleep(BETWEEN_PARTS);
            // The host may have closed the connection by now.
            let _ = stream.write_all(b"body");
            let answer = http::read_answer(&mut stream, &mut Vec::new());
            let status = answer.map_or("none".to_owned(), |answer| answer.status.to_string());
            record.line(&format!("client: {id} is answered {status}"));
            Ok((status == "none").then(|| format!("{id} has no answer")))
        })
    });
    let sent: Vec<thread::JoinHandle<Result<Option<String>, CantRun>>> = sent.collect();
    let mut unanswered = Vec::new();
    for request in sent {
        let end = request.join().map_err(|_| "a client failed".to_owned())?;
        unanswered.extend(end?);
    }
    Ok(unanswered)
}
