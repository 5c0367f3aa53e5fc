//! All hosts lose power, and the store comes back from a copy that is some seconds old: older than the first table of a
//! service whose backends have just been added.

use crate::backend::{Backend, Fleet};
use crate::host::{Addresses, Host, Place};
use crate::record::Record;
use crate::store::Store;
use crate::{CantRun, config, wait_for};
use serde_json::json;
use std::thread;
use std::time::{Duration, Instant};

/// Keys of the reads.
const KEYS: [u16; 8] = [100, 9_000, 18_000, 27_000, 36_000, 45_000, 54_000, 65_000];
/// Time that a request takes at a backend.
const WORK: Duration = Duration::from_millis(60);
/// Time for which the hosts run before the backends of the sharded service are added.
const RUNNING: Duration = Duration::from_secs(8);
/// Age of the copy from which the store comes back.
const COPY_AGE: Duration = Duration::from_secs(5);

/// What happens in place of both, to tell them apart.
#[derive(Clone, Copy)]
pub struct Trouble {
    /// The store comes back from the copy.
    pub restores_store: bool,
    /// All hosts are killed and started again.
    pub kills_hosts: bool,
}

pub fn run(record: &Record, trouble: Trouble) -> Result<Vec<String>, CantRun> {
    let mut addresses = Addresses::new();
    let store = Store::start(addresses.any_port(), record);
    let fleet = Fleet::default();
    fleet.watch(record);
    store.put("keyed.op", "config", &config(3));
    let start = |id: &str, service: &str, addr| {
        let is_sharded = service == "films";
        Backend::start((id, service, "leon-a"), addr, is_sharded, WORK, (&fleet, &store, record))
    };
    let _orders = ["o-1", "o-2"].map(|id| start(id, "orders", addresses.any_port()));

    let zones = json!({"leon-a": "bajio-norte", "leon-b": "bajio-norte"});
    let places = ["leon-a", "leon-b", "leon-a"].map(|zone| Place { zone, region: "bajio-norte" });
    let new =
        |(place, name): (&Place<'_>, &&str)| Host::new(name, &mut addresses, record, place.zone);
    let mut hosts: Vec<Host> =
        places.iter().zip(&["front-1", "front-2", "front-3"]).map(new).collect();
    let seeds: Vec<_> = hosts.iter().map(|host| host.peers).collect();
    for (host, place) in hosts.iter_mut().zip(&places) {
        host.configure(place, &seeds, store.addr, &zones);
        host.start();
    }
    wait_for("the hosts are ready", 20, || hosts.iter().all(Host::is_ready))?;
    let running = Instant::now();
    let mut number = 0;
    while running.elapsed() < RUNNING {
        send(&hosts, record, "first", number, false);
        number += 1;
    }

    let copy = store.copy();
    let copied = Instant::now();
    record.line("the copy of the store is from here");
    let mut films: Vec<Backend> =
        ["i-1", "i-2"].iter().map(|id| start(id, "films", addresses.any_port())).collect();
    wait_for("all keys are held", 20, || {
        KEYS.iter().all(|key| films.iter().any(|b| b.holds(*key)))
    })?;
    films.push(start("i-3", "films", addresses.any_port()));
    wait_for("the third backend holds keys", 20, || films[2].count() > 0)?;
    wait_for("all keys are held", 20, || {
        KEYS.iter().all(|key| films.iter().any(|b| b.holds(*key)))
    })?;
    while copied.elapsed() < COPY_AGE {
        send(&hosts, record, "before", number, true);
        number += 1;
    }
    if !fleet.breaks.lock().unwrap().is_empty() {
        return Err("the rule was broken before the disruption".to_owned());
    }

    if trouble.restores_store {
        store.go_away();
    }
    if trouble.kills_hosts {
        hosts.iter_mut().for_each(Host::kill);
    }
    thread::sleep(Duration::from_millis(300));
    if trouble.restores_store {
        record.line(&format!("the copy is {} ms old", copied.elapsed().as_millis()));
        store.come_back(&copy);
    }
    if trouble.kills_hosts {
        thread::sleep(Duration::from_millis(200));
        hosts.iter_mut().for_each(Host::start);
    }
    let after = Instant::now();
    while after.elapsed() < Duration::from_secs(40) {
        send(&hosts, record, "after", number, true);
        number += 1;
    }
    let held = KEYS.iter().filter(|key| films.iter().any(|b| b.holds(**key))).count();
    record.line(&format!("at the end, {held} of {} keys are held", KEYS.len()));
    Ok(fleet.breaks.lock().unwrap().clone())
}

/// Sends an order and, with `reads`, a read.
fn send(hosts: &[Host], record: &Record, name: &str, number: usize, reads: bool) {
    let host = &hosts[number % hosts.len()];
    let ask = |method: &str, path: &str, key: Option<u16>| {
        let id = format!("{name}-{number}-{}", if key.is_some() { "read" } else { "order" });
        let of_key = key.map_or(String::new(), |key| format!(" key {key}"));
        record.line(&format!("client: sends {id}{of_key} to {}", host.name));
        let answer = host.request(method, path, &id, key, &[]);
        let status = answer.map_or("none".to_owned(), |answer| answer.status.to_string());
        record.line(&format!("client: {id} is answered {status}"));
    };
    ask("POST", "/order/x", None);
    if reads {
        ask("GET", "/read/x", Some(KEYS[number % KEYS.len()]));
    }
    thread::sleep(Duration::from_millis(50));
}
