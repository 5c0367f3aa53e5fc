//! Measures the time from the publish of a record until each host applies it.

use crate::errors::TrialError;
use crate::fleet::Fleet;
use skylarkdock_admin::envelope::{NoParams, Request, Response};
use skylarkdock_admin::methods;
use skylarkdock_admin::status::Status;
use skylarkdock_standins::client::Client;
use skylarkdock_standins::clock;
use skylarkdock_units::ids::Offset;
use skylarkdock_units::times::{HostTime, Millis};
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(4);
const TIMEOUT_MS: Millis = Millis(60_000);

/// Publishes a record through `host` and returns the time until each running host applied it.
///
/// # Errors
/// Fails when the record is not accepted or a host does not apply it in time.
pub fn measure_publish(
    fleet: &mut Fleet,
    host: usize,
    deadline_ms: u64,
) -> Result<Vec<Millis>, TrialError> {
    let addrs = fleet.running_hosts().into_iter().map(|host| fleet.addresses(host));
    let addrs: Vec<SocketAddr> =
        addrs.map(|addresses| Ok(addresses?.http)).collect::<Result<_, TrialError>>()?;
    let client = fleet.client().clone();
    let published = OnceLock::new();
    let start = clock::host_now();
    let (offset, applied_at) = thread::scope(|scope| {
        let watch = |addr| {
            let (client, published) = (&client, &published);
            scope.spawn(move || watch_applied(client, addr, published, start))
        };
        let watchers: Vec<_> = addrs.into_iter().map(watch).collect();
        let offset = fleet.publish_through(host, deadline_ms);
        // Offset 0 ends the watchers when the publish failed.
        let _ = published.set(offset.as_ref().copied().unwrap_or(Offset(0)));
        let applied_at: Vec<Option<HostTime>> =
            watchers.into_iter().map(|watcher| watcher.join().ok().flatten()).collect();
        (offset, applied_at)
    });
    offset?;
    let timeout = || TrialError::Timeout {
        condition: "all hosts apply a record".to_owned(),
        timeout_s: TIMEOUT_MS.0 / 1_000,
    };
    applied_at.into_iter().map(|at| Ok(at.ok_or_else(timeout)?.since(start))).collect()
}

/// Returns when a host was first seen to have applied the published offset; `None` after the timeout.
fn watch_applied(
    client: &Client,
    addr: SocketAddr,
    published: &OnceLock<Offset>,
    start: HostTime,
) -> Option<HostTime> {
    let mut advances: Vec<(HostTime, Offset)> = Vec::new();
    while clock::host_now().since(start) < TIMEOUT_MS {
        if let Some(applied) = applied_offset(client, addr)
            && advances.last().is_none_or(|(_, last)| *last < applied)
        {
            advances.push((clock::host_now(), applied));
        }
        if let Some(offset) = published.get()
            && let Some((at, _)) = advances.iter().find(|(_, applied)| applied >= offset)
        {
            return Some(*at);
        }
        thread::sleep(POLL_INTERVAL);
    }
    None
}

fn applied_offset(client: &Client, addr: SocketAddr) -> Option<Offset> {
    let call = Request::new(1, methods::STATUS, NoParams {});
    let res: Response<Status> = client.post(addr, methods::RPC_PATH, &call).ok()?;
    Some(res.into_result().ok()?.applied)
}
