//! The upstreams of a fleet, and what they ran.

use crate::errors::TrialError;
use crate::evidence::Evidence;
use crate::fleet::relay::Relay;
use crate::fleet::{ANY, Fleet, Running, SERVICE, zone_of};
use crate::waiting::{self, LIMIT};
use serde_json::{Value, json};
use skylarkdock_standins::client::Client;
use skylarkdock_standins::clock;
use skylarkdock_standins::process::Process;
use skylarkdock_standins::upstream::faults::UpstreamFaults;
use skylarkdock_standins::upstream::runs::RunsPage;
use skylarkdock_standins::upstream::service::Owners;
use skylarkdock_units::ids::{UpstreamId, Zone};
use std::net::SocketAddr;

const KEEP_RUNS: &str = "2000000";
const SLOTS: &str = "64";

/// An upstream and what its earlier processes ran.
pub struct Upstream {
    pub(super) id: UpstreamId,
    pub(super) zone: Zone,
    process: Option<Process>,
    running: Running,
    addr: Option<SocketAddr>,
    pub(super) relay: Option<Relay>,
    past: Evidence,
}

impl Upstream {
    fn control(&self) -> Result<SocketAddr, TrialError> {
        let control =
            self.process.as_ref().and_then(|process| process.address_with_label("control"));
        control.ok_or_else(|| self.not_running())
    }

    fn process(&self) -> Result<&Process, TrialError> {
        self.process.as_ref().ok_or_else(|| self.not_running())
    }

    fn not_running(&self) -> TrialError {
        TrialError::NotRunning(self.id.to_string())
    }

    /// Returns what the process that runs now has run.
    fn collect(&self, client: &Client, place: usize) -> Result<Evidence, TrialError> {
        let control = self.control()?;
        let mut evidence = Evidence::default();
        let mut from = 1;
        loop {
            let path = format!("/_standin/runs?from={from}");
            let page: RunsPage = client.get(control, &path)?;
            from = page.next;
            if page.runs.is_empty() {
                break;
            }
            evidence.add_runs(place, page.runs);
        }
        let owners: Owners = client.get(control, "/_standin/owners")?;
        evidence.add_spans(place, owners.intervals, clock::host_now());
        Ok(evidence)
    }
}

impl Fleet {
    /// Returns the number of upstreams.
    pub const fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns the names of the upstreams.
    pub fn upstream_ids(&self) -> Vec<UpstreamId> {
        self.upstreams.iter().map(|upstream| upstream.id.clone()).collect()
    }

    /// Returns the upstreams that run, and neither are suspended nor leave.
    pub fn running_upstreams(&self) -> Vec<usize> {
        let all = 0..self.upstreams.len();
        all.filter(|index| self.upstreams[*index].running == Running::Yes).collect()
    }

    /// Starts an upstream that was ended, on its earlier address.
    ///
    /// # Errors
    /// Fails when the process does not start.
    pub fn start_upstream(&mut self, index: usize) -> Result<(), TrialError> {
        let id = self.upstreams[index].id.clone();
        let mut started = None;
        waiting::until(&format!("{id} starts"), || {
            started = Some(self.launch_upstream(index)?);
            Ok(true)
        })?;
        let process = started.ok_or_else(|| TrialError::NotRunning(id.to_string()))?;
        let addr = process.address();
        let relay = match self.upstreams[index].relay.take() {
            Some(relay) => relay,
            None => Relay::start(self.launcher().standin(&format!("{id}-link")), &[addr])?,
        };
        let upstream = &mut self.upstreams[index];
        upstream.process = Some(process);
        upstream.running = Running::Yes;
        upstream.addr = Some(addr);
        upstream.relay = Some(relay);
        Ok(())
    }

    /// Ends an upstream at once. It is frozen just before, so that no run goes unrecorded.
    ///
    /// # Errors
    /// Fails when it can't be asked or signalled.
    pub fn kill_upstream(&mut self, index: usize) -> Result<(), TrialError> {
        self.set_upstream_faults(index, &UpstreamFaults { freeze: true, ..Default::default() })?;
        let evidence = self.upstreams[index].collect(&self.client, index)?;
        let upstream = &mut self.upstreams[index];
        upstream.running = Running::No;
        upstream.past.append(evidence);
        let mut process = upstream.process.take().ok_or_else(|| upstream.not_running())?;
        process.kill()?;
        process.wait(LIMIT)?;
        Ok(())
    }

    /// Suspends an upstream.
    ///
    /// # Errors
    /// Fails when it can't be signalled.
    pub fn suspend_upstream(&mut self, index: usize) -> Result<(), TrialError> {
        self.upstreams[index].process()?.suspend()?;
        self.upstreams[index].running = Running::Suspended;
        Ok(())
    }

    /// Lets a suspended upstream go on.
    ///
    /// # Errors
    /// Fails when it can't be signalled.
    pub fn resume_upstream(&mut self, index: usize) -> Result<(), TrialError> {
        self.upstreams[index].process()?.resume()?;
        self.upstreams[index].running = Running::Yes;
        Ok(())
    }

    /// Asks an upstream to take no new requests. It counts as not running from then on.
    ///
    /// # Errors
    /// Fails when the call does.
    pub fn drain_upstream(&mut self, index: usize) -> Result<(), TrialError> {
        let control = self.upstreams[index].process()?.address();
        let _: Value = self.client.put(control, "/_upstream/drain", &json!({}))?;
        self.upstreams[index].running = Running::No;
        Ok(())
    }

    /// Returns how many requests run on an upstream.
    ///
    /// # Errors
    /// Fails when the call does.
    pub fn upstream_busy(&self, index: usize) -> Result<u64, TrialError> {
        let control = self.upstreams[index].control()?;
        let stats: Value = self.client.get(control, "/_standin/stats")?;
        Ok(stats["busy"].as_u64().unwrap_or(u64::MAX))
    }

    /// Sets the faults of an upstream.
    ///
    /// # Errors
    /// Fails when the call does.
    pub fn set_upstream_faults(
        &self,
        index: usize,
        faults: &UpstreamFaults,
    ) -> Result<(), TrialError> {
        let control = self.upstreams[index].control()?;
        let _: UpstreamFaults = self.client.put(control, "/_standin/faults", faults)?;
        Ok(())
    }

    /// Returns what all upstreams ran, those of ended processes included.
    ///
    /// # Errors
    /// Fails when an upstream can't be asked.
    pub fn evidence(&self) -> Result<Evidence, TrialError> {
        let mut evidence = Evidence::default();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            evidence.append(upstream.past.clone());
            if upstream.process.is_some() {
                evidence.append(upstream.collect(&self.client, index)?);
            }
        }
        Ok(evidence)
    }

    pub(super) fn start_upstreams(&mut self) -> Result<(), TrialError> {
        for place in 0..self.settings.upstreams {
            let (zone, _) = zone_of(place)?;
            self.upstreams.push(Upstream {
                id: format!("{SERVICE}-{}", place + 1).parse()?,
                zone,
                process: None,
                running: Running::No,
                addr: None,
                relay: None,
                past: Evidence::default(),
            });
            self.start_upstream(place)?;
        }
        Ok(())
    }

    fn launch_upstream(&self, index: usize) -> Result<Process, TrialError> {
        let upstream = &self.upstreams[index];
        let listen = upstream.addr.map_or_else(|| ANY.to_owned(), |addr| addr.to_string());
        let work = self.settings.work.0.to_string();
        let launch = self.launcher().standin(upstream.id.as_str());
        let launch = launch
            .args(["upstream", "--listen", &listen, "--control", ANY])
            .args(["--service", SERVICE, "--id", upstream.id.as_str()])
            .args(["--work-ms", &work, "--keep-runs", KEEP_RUNS, "--slots", SLOTS]);
        Ok(launch.start()?)
    }
}
