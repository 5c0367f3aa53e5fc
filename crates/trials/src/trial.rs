//! Runs a trial: starts a fleet and callers, injects faults in rounds, measures and reports.

use crate::balancer::Balancer;
use crate::callers::{Callers, CallersSettings};
use crate::checks;
use crate::errors::TrialError;
use crate::faults::{Fault, FaultKind};
use crate::fleet::Fleet;
use crate::fleet::settings::FleetSettings;
use crate::probes::{Gaps, Probes};
use crate::publishing;
use crate::report::{Report, Times};
use crate::waiting;
use skylarkdock_httppath::executor::Executor;
use skylarkdock_standins::clock;
use skylarkdock_units::times::{HostTime, Millis};
use std::fs;
use std::thread;

const CALLER_THREADS: usize = 3;
const LOG_RECORDS_FILE: &str = "records.json";
const BASELINE_PHASE_MS: Millis = Millis(2_000);
const MIN_FAULT_MS: Millis = Millis(3_000);
const RECOVERY_PHASE_MS: Millis = Millis(1_500);
const SHORT_DEADLINE_MS: u64 = 9_000;
const LONG_DEADLINE_MS: u64 = 10_000;

/// Faults of one round, which are injected in order and ended in reverse order.
#[derive(Debug, Clone, Copy)]
pub struct Round {
    /// Faults in the order of injection.
    pub faults: &'static [FaultKind],
    /// Whether a record is published before each fault but the first.
    pub publish_between_faults: bool,
    /// Whether the faults are planned stops, which must not interrupt requests.
    pub planned_stop: bool,
}

/// A running trial: a fleet under load from callers and probes.
pub struct Trial {
    pub(crate) fleet: Fleet,
    pub(crate) callers: Callers,
    probes: Probes,
    pub(crate) rng: fastrand::Rng,
    report: Report,
    planned_stops_only: bool,
    started_at: HostTime,
}

impl Trial {
    /// Starts the fleet, the callers and the probes, and measures gaps in service without a fault.
    ///
    /// # Errors
    /// Fails when the fleet does not start serving, or a thread can't be started.
    pub fn start(
        name: &str,
        settings: FleetSettings,
        callers: CallersSettings,
    ) -> Result<Self, TrialError> {
        let fleet = Fleet::start_serving(settings)?;
        let executor = Executor::start("callers", CALLER_THREADS)
            .map_err(|source| TrialError::System { action: "start a thread", source })?;
        let balancer = Balancer::start(&executor, fleet.http_addresses());
        let seed = callers.seed;
        let mut trial = Self {
            probes: Probes::start(&executor, balancer.clone(), fleet.ranges()),
            callers: Callers::start(&executor, balancer, callers),
            fleet,
            rng: fastrand::Rng::with_seed(seed),
            report: Report { trial: name.to_owned(), seed, ..Report::default() },
            planned_stops_only: false,
            started_at: clock::host_now(),
        };
        thread::sleep(BASELINE_PHASE_MS.duration());
        let from = clock::host_now();
        thread::sleep(BASELINE_PHASE_MS.duration());
        trial.measure_gaps("no fault", vec![(from, clock::host_now())]);
        Ok(trial)
    }

    /// Runs rounds of faults, and measures gaps in service during the faults and after them.
    pub fn run_rounds(&mut self, round: Round, count: u32) {
        self.planned_stops_only = round.planned_stop;
        let (mut during_faults, mut after_faults) = (Vec::new(), Vec::new());
        for _ in 0..count {
            match self.run_round(round) {
                Ok([during, after]) => {
                    during_faults.push(during);
                    after_faults.push(after);
                }
                Err(e) => self.record_failure(&e),
            }
        }
        self.measure_gaps("under the fault", during_faults);
        self.measure_gaps("after its end", after_faults);
    }

    /// Restarts all hosts one after another, `count` times, and measures gaps in service during the restarts.
    pub fn restart_all_hosts(&mut self, count: u32) {
        self.planned_stops_only = true;
        let mut periods = Vec::new();
        let hosts = self.fleet.host_count();
        for host in (0..count).flat_map(|_| 0..hosts) {
            let from = clock::host_now();
            if let Err(e) = self.restart_host(host) {
                self.record_failure(&e);
            }
            periods.push((from, clock::host_now()));
        }
        self.measure_gaps("during a restart", periods);
    }

    /// Publishes `count` records and measures the time until each host applies them.
    pub fn measure_publishes(&mut self, count: u32) {
        let (mut all_hosts, mut each_host) = (Vec::new(), Vec::new());
        for number in 0..count {
            let host = self.rng.usize(..self.fleet.host_count());
            let deadline_ms = if number % 2 == 0 { SHORT_DEADLINE_MS } else { LONG_DEADLINE_MS };
            match publishing::measure_publish(&mut self.fleet, host, deadline_ms) {
                Ok(times) => {
                    all_hosts.extend(times.iter().max());
                    each_host.extend(times);
                }
                Err(e) => self.record_failure(&e),
            }
        }
        self.report.times.push(Times::summarize("publish to in force, each host", each_host));
        self.report.times.push(Times::summarize("publish to in force, all hosts", all_hosts));
    }

    /// Injects a fault and logs its start; returns `None` when no process can be chosen for it.
    ///
    /// # Errors
    /// Fails when the fault can't be injected.
    pub fn inject_fault(&mut self, kind: FaultKind) -> Result<Option<Fault>, TrialError> {
        let fault = Fault::inject(&mut self.fleet, kind, &mut self.rng)?;
        if let Some(fault) = &fault {
            self.log_event(format!("begin {fault}"));
        }
        Ok(fault)
    }

    /// Logs the end of a fault and ends it.
    ///
    /// # Errors
    /// Fails when the fault can't be ended.
    pub fn end_fault(&mut self, fault: Fault) -> Result<(), TrialError> {
        self.log_event(format!("end {fault}"));
        fault.end(&mut self.fleet)
    }

    /// Adds to the report the longest time without service of each key in each period.
    pub fn measure_gaps(&mut self, name: &str, periods: Vec<(HostTime, HostTime)>) {
        let mut gaps = Gaps::default();
        periods.into_iter().for_each(|(from, to)| gaps.append(self.probes.gaps(from, to)));
        self.report.times.push(Times::summarize(format!("{name}, repeatable"), gaps.repeatable));
        self.report.times.push(Times::summarize(format!("{name}, once-only"), gaps.once_only));
    }

    /// Logs an error and adds it to the report's failures.
    pub fn record_failure(&mut self, error: &TrialError) {
        self.log_event(format!("failure: {error}"));
        let now = clock::host_now();
        self.report.failures.push(format!("{now} {error}"));
    }

    /// Waits until all ranges are held and all probed keys are served.
    ///
    /// # Errors
    /// Fails when either condition is not met in time.
    pub fn wait_until_served(&self) -> Result<(), TrialError> {
        self.fleet.wait_until_held()?;
        self.wait_until_probes_served("all probed keys are served")
    }

    fn wait_until_probes_served(&self, condition: &str) -> Result<(), TrialError> {
        let now = clock::host_now();
        let result = waiting::until(condition, || Ok(self.probes.all_served_since(now)));
        result.map_err(|_| TrialError::KeysNotServed(self.probes.unserved_since(now)))
    }

    /// Stops the callers, checks their attempts and returns the report.
    pub fn finish(mut self) -> Report {
        if let Err(e) = self.wait_until_served() {
            self.record_failure(&e);
        }
        let Self { fleet, callers, mut report, probes, .. } = self;
        drop(probes);
        let history = callers.finish();
        report.count_attempts(&history);
        match fleet.upstream_history() {
            Ok(upstream_history) => {
                report.violations =
                    checks::check(&history, &upstream_history, self.planned_stops_only)
            }
            Err(e) => {
                report.failures.push(format!("can't fetch the history of the upstreams: {e}"))
            }
        }
        if let Err(e) = save_log_records(&fleet) {
            report.failures.push(format!("can't save the records of the log: {e}"));
        }
        report
    }

    fn run_round(&mut self, round: Round) -> Result<[(HostTime, HostTime); 2], TrialError> {
        let mut faults = Vec::new();
        let mut fault_start = clock::host_now();
        for (index, kind) in round.faults.iter().enumerate() {
            if index > 0 && round.publish_between_faults {
                self.fleet.publish()?;
            }
            fault_start = clock::host_now();
            faults.extend(self.inject_fault(*kind)?);
        }
        thread::sleep(MIN_FAULT_MS.duration());
        if let Err(e) = self.wait_until_probes_served("all probed keys are served under the fault")
        {
            self.record_failure(&e);
        }
        let fault_end = clock::host_now();
        for fault in faults.into_iter().rev() {
            self.end_fault(fault)?;
        }
        self.fleet.wait_until_serving()?;
        self.wait_until_served()?;
        thread::sleep(RECOVERY_PHASE_MS.duration());
        Ok([(fault_start, fault_end), (fault_end, clock::host_now())])
    }

    fn restart_host(&mut self, host: usize) -> Result<(), TrialError> {
        self.log_event(format!("restart {}", self.fleet.host_id(host)));
        self.fleet.terminate_host(host)?;
        let exit_result = self.fleet.wait_for_host_exit(host);
        self.fleet.start_host(host)?;
        self.fleet.update_host_list()?;
        self.fleet.wait_until_serving()?;
        self.wait_until_served()?;
        exit_result
    }

    fn log_event(&mut self, text: String) {
        let (now, elapsed) = (clock::host_now(), clock::host_now().since(self.started_at));
        eprintln!("{elapsed:>10} {text}");
        self.report.timeline.push(format!("{now} {text}"));
    }
}

/// Writes the records of the log to the directory for the processes' standard error, if there is one.
fn save_log_records(fleet: &Fleet) -> Result<(), TrialError> {
    let Some(dir) = fleet.process_log_dir() else { return Ok(()) };
    let json = serde_json::to_vec_pretty(&fleet.log_records()?)?;
    let result = fs::write(dir.join(LOG_RECORDS_FILE), json);
    result.map_err(|source| TrialError::System { action: "write the records of the log", source })
}
