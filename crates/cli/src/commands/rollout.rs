//! Waits until an accepted record is in force on all hosts.

use crate::context::Context;
use crate::errors::CliError;
use crate::exit::Exit;
use crate::fleet::{self, FleetResults, UnreachableHost};
use async_io::Timer;
use futures_lite::future;
use serde::Serialize;
use skylarkdock_admin::envelope::NoParams;
use skylarkdock_admin::methods;
use skylarkdock_admin::status::Status;
use skylarkdock_admin::verdict::Verdict;
use skylarkdock_units::ids::{HostId, Offset};
use skylarkdock_units::times::Millis;
use std::time::Instant;

/// Default timeout of the wait.
pub(crate) const DEFAULT_WAIT_LIMIT_MS: Millis = Millis(30_000);
const POLL_INTERVAL_MS: Millis = Millis(200);

/// Number of hosts on which an accepted record is in force, and the hosts on which it is not.
#[derive(Debug, Serialize)]
struct Rollout {
    #[serde(flatten)]
    verdict: Verdict,
    in_force: usize,
    hosts: usize,
    behind: Vec<HostId>,
    unreachable: Vec<UnreachableHost>,
}

/// Polls all hosts until the record at `offset` is in force on each of them or the timeout expires, and prints the last
/// state.
pub(crate) fn wait(
    cx: &mut Context<'_>,
    offset: Offset,
    timeout: Millis,
) -> Result<Exit, CliError> {
    let deadline = Instant::now() + timeout.duration();
    loop {
        let rollout = poll(cx, offset)?;
        let complete = rollout.in_force == rollout.hosts;
        if complete || Instant::now() >= deadline {
            return print(cx, &rollout);
        }
        future::block_on(Timer::after(POLL_INTERVAL_MS.duration()));
    }
}

fn poll(cx: &Context<'_>, offset: Offset) -> Result<Rollout, CliError> {
    let targets = fleet::discover(cx)?;
    let results: FleetResults<Status> =
        fleet::query_all(cx, targets, methods::STATUS, &NoParams {}, |status| &status.host);
    let statuses = results.by_host.values();
    let behind = statuses.filter(|status| status.applied < offset);
    let behind: Vec<HostId> = behind.map(|status| status.host.clone()).collect();
    let in_force = results.by_host.len() - behind.len();
    let hosts = results.by_host.len() + results.unreachable.len();
    let verdict = Verdict::Accepted { offset };
    Ok(Rollout { verdict, in_force, hosts, behind, unreachable: results.unreachable })
}

fn print(cx: &mut Context<'_>, rollout: &Rollout) -> Result<Exit, CliError> {
    let mut text = format!("in force on {} of {} hosts", rollout.in_force, rollout.hosts);
    for host in &rollout.behind {
        text.push_str(&format!("\nnot yet in force on {host}"));
    }
    for host in &rollout.unreachable {
        text.push_str(&format!("\n{host}"));
    }
    cx.print(&text, rollout)?;
    Ok(match (rollout.behind.is_empty(), rollout.unreachable.is_empty()) {
        (true, true) => Exit::Done,
        (_, false) => Exit::Unreachable,
        (false, true) => Exit::Failed,
    })
}
