//! Discovery of the fleet's hosts, and calls to all of them.

use crate::context::Context;
use crate::errors::{CallFailure, CliError};
use futures_lite::future;
use serde::Serialize;
use serde::de::DeserializeOwned;
use skylarkdock_admin::envelope::NoParams;
use skylarkdock_admin::hosts::{HostRow, HostState};
use skylarkdock_admin::methods;
use skylarkdock_units::ids::HostId;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

/// Host to call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the host, if known before the call.
    pub name: Option<HostId>,
    /// HTTP address of the host.
    pub addr: SocketAddr,
}

/// Host that returned no result.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct UnreachableHost {
    /// Name of the host, or its address if the name is unknown.
    pub host: String,
    /// Why there is no result.
    pub reason: String,
}

/// Results of a call to several hosts.
#[derive(Debug)]
pub struct FleetResults<R> {
    /// Result of each host that returned one.
    pub by_host: BTreeMap<HostId, R>,
    /// Hosts that returned no result.
    pub unreachable: Vec<UnreachableHost>,
}

impl<R> Default for FleetResults<R> {
    fn default() -> Self {
        Self { by_host: BTreeMap::new(), unreachable: Vec::new() }
    }
}

/// Discovers the hosts of the fleet: the given ones, and all that any of them lists in another state than gone.
///
/// # Errors
///
/// Fails if no host was given, or if the calls yield no host and at least one of them failed.
pub fn discover(cx: &Context<'_>) -> Result<Vec<Target>, CliError> {
    let given = cx.hosts()?;
    let calls = given.iter().map(|addr| (*addr, NoParams {})).collect();
    let call = cx.client.call_all(calls, methods::HOSTS);
    let lists: Vec<Result<Vec<HostRow>, CallFailure>> = future::block_on(call);
    let mut targets: Vec<Target> = Vec::new();
    let mut last_error = None;
    for (addr, list) in given.iter().zip(lists) {
        match list {
            Ok(rows) => rows.into_iter().for_each(|row| add_target(&mut targets, row)),
            Err(source) => last_error = Some(CliError::Call { addr: *addr, source }),
        }
    }
    if let (true, Some(error)) = (targets.is_empty(), last_error) {
        return Err(error);
    }
    for addr in given {
        if !targets.iter().any(|target| target.addr == *addr) {
            targets.push(Target { name: None, addr: *addr });
        }
    }
    Ok(targets)
}

fn add_target(targets: &mut Vec<Target>, row: HostRow) {
    let target = Target { name: Some(row.member.host), addr: row.http };
    if row.state != HostState::Gone && !targets.contains(&target) {
        targets.push(target);
    }
}

/// Calls a method of all targets with the same parameters. `host_of` returns the host that a result came from.
pub fn query_all<P, R>(
    cx: &Context<'_>,
    targets: Vec<Target>,
    method: &'static str,
    params: &P,
    host_of: fn(&R) -> &HostId,
) -> FleetResults<R>
where
    P: Serialize + Clone + Send + Sync + 'static,
    R: DeserializeOwned + Send + 'static,
{
    let calls = targets.into_iter().map(|target| (target, params.clone())).collect();
    let mut results = FleetResults::default();
    for (target, result) in query_each(cx, calls, method) {
        results.add(target, result, host_of);
    }
    results.finish()
}

/// Calls a method of each target with its own parameters. Returns the results in the order of `calls`.
pub fn query_each<P, R>(
    cx: &Context<'_>,
    calls: Vec<(Target, P)>,
    method: &'static str,
) -> Vec<(Target, Result<R, CallFailure>)>
where
    P: Serialize + Send + Sync + 'static,
    R: DeserializeOwned + Send + 'static,
{
    let (targets, params): (Vec<Target>, Vec<P>) = calls.into_iter().unzip();
    let calls = targets.iter().map(|target| target.addr).zip(params).collect();
    let results = future::block_on(cx.client.call_all(calls, method));
    targets.into_iter().zip(results).collect()
}

impl fmt::Display for UnreachableHost {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no result from {}: {}", self.host, self.reason)
    }
}

impl UnreachableHost {
    /// Builds the entry of a target from the failure of its call.
    pub fn new(target: &Target, failure: CallFailure) -> Self {
        let addr = || target.addr.to_string();
        let host = target.name.as_ref().map_or_else(addr, ToString::to_string);
        Self { host, reason: format!("{:#}", eyre::Report::new(failure)) }
    }
}

impl<R> FleetResults<R> {
    /// Adds a result or a failure. If a host returns several results, the first is kept.
    pub fn add(
        &mut self,
        target: Target,
        result: Result<R, CallFailure>,
        host_of: fn(&R) -> &HostId,
    ) {
        match result {
            Ok(result) => {
                let host = host_of(&result).clone();
                self.by_host.entry(host).or_insert(result);
            }
            Err(failure) => self.unreachable.push(UnreachableHost::new(&target, failure)),
        }
    }

    /// Sorts the hosts without a result, and removes duplicates and those that returned one at another address.
    #[must_use]
    pub fn finish(mut self) -> Self {
        let by_host = &self.by_host;
        self.unreachable.retain(|failed| !by_host.keys().any(|host| host.as_str() == failed.host));
        self.unreachable.sort();
        self.unreachable.dedup_by(|a, b| a.host == b.host);
        self
    }

    /// Prints the hosts that returned no result to standard error.
    ///
    /// # Errors
    ///
    /// Fails if the output can't be written.
    pub fn print_unreachable(&self, cx: &mut Context<'_>) -> Result<(), CliError> {
        for host in &self.unreachable {
            cx.note(host)?;
        }
        Ok(())
    }
}
