//! The cases that are scripts. The first argument names the case, the second the file for the record. With `TROUBLE=0` in
//! the environment the disruption is left out. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run.

mod backend;
mod drill;
mod host;
mod http;
mod parts;
mod record;
mod store;

use record::Record;

/// Why a case could not run.
pub type CantRun = String;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: review-case CASE RECORD");
        std::process::exit(2);
    };
    let record = Record::new(path);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!(
        "case {case}, {} the disruption",
        if has_trouble { "with" } else { "without" }
    ));
    // A panic drops the hosts, which ends their processes.
    let result = std::panic::catch_unwind(|| run(case, &record, has_trouble));
    let result = result.unwrap_or_else(|_| Err("a stand-in failed".to_owned()));
    let code = match &result {
        Ok(breaks) if breaks.is_empty() => 0,
        Ok(_) => 1,
        Err(_) => 2,
    };
    let text = match result {
        Ok(breaks) if breaks.is_empty() => "the rule held".to_owned(),
        Ok(breaks) => format!("the rule was broken: {}", breaks.join("; ")),
        Err(e) => format!("the case could not run: {e}"),
    };
    record.line(&text);
    println!("{text}");
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(host::folder());
    }
    std::process::exit(code);
}

fn run(case: &str, record: &Record, has_trouble: bool) -> Result<Vec<String>, CantRun> {
    match case {
        "drill" => {
            // To tell the two apart, `PART` leaves one of them out.
            let part = std::env::var("PART").unwrap_or_default();
            let restores_store = has_trouble && part != "power";
            let kills_hosts = has_trouble && part != "store";
            drill::run(record, drill::Trouble { restores_store, kills_hosts })
        }
        "parts" => parts::run(record, has_trouble),
        _ => Err("no such case".to_owned()),
    }
}

/// Waits until a condition holds.
pub fn wait_for(what: &str, secs: u64, mut holds: impl FnMut() -> bool) -> Result<(), CantRun> {
    let end = std::time::Instant::now() + std::time::Duration::from_secs(secs);
    while !holds() {
        if std::time::Instant::now() > end {
            return Err(format!("not within {secs} s: {what}"));
        }
        std::thread::sleep(std::time::Duration::from_millis(20));
    }
    Ok(())
}

/// The configuration: a sharded service for reads, and one for orders.
pub fn config(version: u32) -> String {
    serde_json::json!({
        "version": format!("r{version}"),
        "routes": [
            {"name": "read", "host": "h.example", "path-prefix": "/read/", "kind": "idempotent", "timeout": "2s",
             "target-latency": "600ms", "priority": 2, "service": "films", "attempts": 2},
            {"name": "order", "host": "h.example", "path-prefix": "/order/", "kind": "non_idempotent",
             "timeout": "2500ms", "target-latency": "800ms", "priority": 1, "service": "orders", "attempts": 2},
        ],
        "services": [{"name": "films", "connection-limit": 110, "sharded": true, "health-check-path": "/health"},
                     {"name": "orders", "connection-limit": 110, "health-check-path": "/health"}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 1_000_000, "header-timeout": "3s", "idle-timeout": "15s"},
    })
    .to_string()
}
