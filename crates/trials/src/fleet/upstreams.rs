//! Upstreams of a fleet: starts, drains, kills and suspends them, and collects their run histories.

use crate::errors::TrialError;
use crate::fleet::link_process::LinkProcess;
use crate::fleet::{ANY_PORT, Fleet, ProcessState, SERVICE, zone_of};
use crate::upstream_history::UpstreamHistory;
use crate::waiting::{self, TIMEOUT};
use serde_json::{Value, json};
use skylarkdock_standins::client::Client;
use skylarkdock_standins::clock;
use skylarkdock_standins::process::Process;
use skylarkdock_standins::upstream::faults::UpstreamFaults;
use skylarkdock_standins::upstream::runs::RunsPage;
use skylarkdock_standins::upstream::service::Owners;
use skylarkdock_units::ids::{UpstreamId, Zone};
use std::net::SocketAddr;
use std::process::ExitStatus;

const MAX_RETAINED_RUNS: &str = "2000000";
const REQUEST_SLOTS: &str = "64";

/// An upstream with the run history of its earlier processes.
pub struct Upstream {
    pub(super) id: UpstreamId,
    pub(super) zone: Zone,
    process: Option<Process>,
    state: ProcessState,
    addr: Option<SocketAddr>,
    pub(super) link_process: Option<LinkProcess>,
    earlier_history: UpstreamHistory,
}

impl Upstream {
    fn control_addr(&self) -> Result<SocketAddr, TrialError> {
        let control =
            self.process.as_ref().and_then(|process| process.address_with_label("control"));
        control.ok_or_else(|| self.not_running_error())
    }

    fn process(&self) -> Result<&Process, TrialError> {
        self.process.as_ref().ok_or_else(|| self.not_running_error())
    }

    fn not_running_error(&self) -> TrialError {
        TrialError::NotRunning(self.id.to_string())
    }

    /// Fetches the history of the current process.
    fn fetch_history(&self, client: &Client, index: usize) -> Result<UpstreamHistory, TrialError> {
        let control = self.control_addr()?;
        let mut upstream_history = UpstreamHistory::default();
        let mut next_seq = 1;
        loop {
            let path = format!("/_standin/runs?from={next_seq}");
            let page: RunsPage = client.get(control, &path)?;
            next_seq = page.next;
            if page.runs.is_empty() {
                break;
            }
            upstream_history.add_runs(index, page.runs);
        }
        let owners: Owners = client.get(control, "/_standin/owners")?;
        upstream_history.add_intervals(index, owners.intervals, clock::host_now());
        Ok(upstream_history)
    }
}

impl Fleet {
    /// Returns the number of upstreams.
    pub const fn upstream_count(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns the ids of the upstreams.
    pub fn upstream_ids(&self) -> Vec<UpstreamId> {
        self.upstreams.iter().map(|upstream| upstream.id.clone()).collect()
    }

    /// Returns the indexes of the upstreams that run, without suspended and draining ones.
    pub fn running_upstreams(&self) -> Vec<usize> {
        let all = 0..self.upstreams.len();
        all.filter(|index| self.upstreams[*index].state == ProcessState::Running).collect()
    }

    /// Returns the exit status of an upstream's process, or `None` while it runs.
    ///
    /// # Errors
    /// Fails when the upstream has no process or it can't be waited for.
    pub fn upstream_exit_status(&mut self, index: usize) -> Result<Option<ExitStatus>, TrialError> {
        let upstream = &mut self.upstreams[index];
        let not_running = upstream.not_running_error();
        Ok(upstream.process.as_mut().ok_or(not_running)?.ended()?)
    }

    /// Starts an upstream, on its previous address if it has run before.
    ///
    /// # Errors
    /// Fails when the process does not start in time.
    pub fn start_upstream(&mut self, index: usize) -> Result<(), TrialError> {
        let id = self.upstreams[index].id.clone();
        let mut started = None;
        waiting::until(&format!("{id} starts"), || {
            started = Some(self.launch_upstream(index)?);
            Ok(true)
        })?;
        let process = started.ok_or_else(|| TrialError::NotRunning(id.to_string()))?;
        let addr = process.address();
        let link_process = match self.upstreams[index].link_process.take() {
            Some(link_process) => link_process,
            None => LinkProcess::start(self.launcher().standin(&format!("{id}-link")), &[addr])?,
        };
        let upstream = &mut self.upstreams[index];
        upstream.process = Some(process);
        upstream.state = ProcessState::Running;
        upstream.addr = Some(addr);
        upstream.link_process = Some(link_process);
        Ok(())
    }

    /// Kills an upstream. It is frozen before its history is fetched, so that no run is missing from it.
    ///
    /// # Errors
    /// Fails when a control call fails, or the process can't be signalled or waited for.
    pub fn kill_upstream(&mut self, index: usize) -> Result<(), TrialError> {
        self.set_upstream_faults(index, &UpstreamFaults { freeze: true, ..Default::default() })?;
        let upstream_history = self.upstreams[index].fetch_history(&self.client, index)?;
        let upstream = &mut self.upstreams[index];
        upstream.state = ProcessState::NotRunning;
        upstream.earlier_history.append(upstream_history);
        let mut process = upstream.process.take().ok_or_else(|| upstream.not_running_error())?;
        process.kill()?;
        process.wait(TIMEOUT)?;
        Ok(())
    }

    /// Suspends an upstream's process.
    ///
    /// # Errors
    /// Fails when the upstream has no process or it can't be signalled.
    pub fn suspend_upstream(&mut self, index: usize) -> Result<(), TrialError> {
        self.upstreams[index].process()?.suspend()?;
        self.upstreams[index].state = ProcessState::Suspended;
        Ok(())
    }

    /// Resumes a suspended upstream.
    ///
    /// # Errors
    /// Fails when the upstream has no process or it can't be signalled.
    pub fn resume_upstream(&mut self, index: usize) -> Result<(), TrialError> {
        self.upstreams[index].process()?.resume()?;
        self.upstreams[index].state = ProcessState::Running;
        Ok(())
    }

    /// Asks an upstream to accept no new requests; from then on its state is [`ProcessState::NotRunning`].
    ///
    /// # Errors
    /// Fails when the call fails.
    pub fn drain_upstream(&mut self, index: usize) -> Result<(), TrialError> {
        let addr = self.upstreams[index].process()?.address();
        let _: Value = self.client.put(addr, "/_upstream/drain", &json!({}))?;
        self.upstreams[index].state = ProcessState::NotRunning;
        Ok(())
    }

    /// Returns the number of requests that are running on an upstream.
    ///
    /// # Errors
    /// Fails when the call fails.
    pub fn upstream_running_requests(&self, index: usize) -> Result<u64, TrialError> {
        let control = self.upstreams[index].control_addr()?;
        let stats: Value = self.client.get(control, "/_standin/stats")?;
        Ok(stats["busy"].as_u64().unwrap_or(u64::MAX))
    }

    /// Sets the faults of an upstream.
    ///
    /// # Errors
    /// Fails when the call fails.
    pub fn set_upstream_faults(
        &self,
        index: usize,
        faults: &UpstreamFaults,
    ) -> Result<(), TrialError> {
        let control = self.upstreams[index].control_addr()?;
        let _: UpstreamFaults = self.client.put(control, "/_standin/faults", faults)?;
        Ok(())
    }

    /// Returns the history of all upstreams, including processes that were killed by [`Fleet::kill_upstream`].
    ///
    /// # Errors
    /// Fails when the history of an upstream can't be fetched.
    pub fn upstream_history(&self) -> Result<UpstreamHistory, TrialError> {
        let mut upstream_history = UpstreamHistory::default();
        for (index, upstream) in self.upstreams.iter().enumerate() {
            upstream_history.append(upstream.earlier_history.clone());
            if upstream.process.is_some() {
                upstream_history.append(upstream.fetch_history(&self.client, index)?);
            }
        }
        Ok(upstream_history)
    }

    pub(super) fn start_upstreams(&mut self) -> Result<(), TrialError> {
        for index in 0..self.settings.upstreams {
            let (zone, _) = zone_of(index)?;
            self.upstreams.push(Upstream {
                id: format!("{SERVICE}-{}", index + 1).parse()?,
                zone,
                process: None,
                state: ProcessState::NotRunning,
                addr: None,
                link_process: None,
                earlier_history: UpstreamHistory::default(),
            });
            self.start_upstream(index)?;
        }
        Ok(())
    }

    fn launch_upstream(&self, index: usize) -> Result<Process, TrialError> {
        let upstream = &self.upstreams[index];
        let listen = upstream.addr.map_or_else(|| ANY_PORT.to_owned(), |addr| addr.to_string());
        let processing_ms = self.settings.processing_time.0.to_string();
        let launch = self.launcher().standin(upstream.id.as_str());
        let launch = launch
            .args(["upstream", "--listen", &listen, "--control", ANY_PORT])
            .args(["--service", SERVICE, "--id", upstream.id.as_str()])
            .args([
                "--work-ms",
                &processing_ms,
                "--keep-runs",
                MAX_RETAINED_RUNS,
                "--slots",
                REQUEST_SLOTS,
            ]);
        Ok(launch.start()?)
    }
}
