//! A trial: a fleet under load, rounds of faults, and the report.

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

const THREADS: usize = 3;
const RECORDS_FILE: &str = "records.json";
const STEADY_MS: Millis = Millis(2_000);
const WINDOW_MS: Millis = Millis(3_000);
const RETURN_MS: Millis = Millis(1_500);
const SHORT_DEADLINE_MS: u64 = 9_000;
const LONG_DEADLINE_MS: u64 = 10_000;

/// Faults of one round, one after the other.
#[derive(Debug, Clone, Copy)]
pub struct Round {
    /// The faults in order.
    pub faults: &'static [FaultKind],
    /// Whether a record is published between the first and the second.
    pub publishes: bool,
    /// Whether it is a planned stop, which cuts nothing.
    pub planned: bool,
}

/// A fleet under load.
pub struct Trial {
    pub(crate) fleet: Fleet,
    pub(crate) callers: Callers,
    probes: Probes,
    pub(crate) rng: fastrand::Rng,
    report: Report,
    planned: bool,
    started: HostTime,
}

impl Trial {
    /// Starts the fleet, the callers and the probes, and measures them without faults.
    ///
    /// # Errors
    /// Fails when the fleet does not serve.
    pub fn start(
        name: &str,
        settings: FleetSettings,
        callers: CallersSettings,
    ) -> Result<Self, TrialError> {
        let fleet = Fleet::start_serving(settings)?;
        let executor = Executor::start("callers", THREADS)
            .map_err(|source| TrialError::System { action: "start a thread", source })?;
        let balancer = Balancer::start(&executor, fleet.http_addresses());
        let seed = callers.seed;
        let mut trial = Self {
            probes: Probes::start(&executor, balancer.clone(), fleet.ranges()),
            callers: Callers::start(&executor, balancer, callers),
            fleet,
            rng: fastrand::Rng::with_seed(seed),
            report: Report { trial: name.to_owned(), seed, ..Report::default() },
            planned: false,
            started: clock::host_now(),
        };
        thread::sleep(STEADY_MS.duration());
        let from = clock::host_now();
        thread::sleep(STEADY_MS.duration());
        trial.measure("no fault", vec![(from, clock::host_now())]);
        Ok(trial)
    }

    /// Carries out rounds of faults.
    pub fn rounds(&mut self, round: Round, count: u32) {
        self.planned = round.planned;
        let (mut broken, mut mended) = (Vec::new(), Vec::new());
        for _ in 0..count {
            match self.round(round) {
                Ok([fault, end]) => {
                    broken.push(fault);
                    mended.push(end);
                }
                Err(e) => self.fail(&e),
            }
        }
        self.measure("under the fault", broken);
        self.measure("after its end", mended);
    }

    /// Stops and starts all hosts, one after the other, several times.
    pub fn restarts(&mut self, count: u32) {
        self.planned = true;
        let mut spans = Vec::new();
        let hosts = self.fleet.host_count();
        for host in (0..count).flat_map(|_| 0..hosts) {
            let from = clock::host_now();
            if let Err(e) = self.restart(host) {
                self.fail(&e);
            }
            spans.push((from, clock::host_now()));
        }
        self.measure("during a restart", spans);
    }

    /// Publishes records, and measures the times until they are in force.
    pub fn publishes(&mut self, count: u32) {
        let (mut everywhere, mut each) = (Vec::new(), Vec::new());
        for number in 0..count {
            let host = self.rng.usize(..self.fleet.host_count());
            let deadline = if number % 2 == 0 { SHORT_DEADLINE_MS } else { LONG_DEADLINE_MS };
            match publishing::measure_publish(&mut self.fleet, host, deadline) {
                Ok(times) => {
                    everywhere.extend(times.iter().max());
                    each.extend(times);
                }
                Err(e) => self.fail(&e),
            }
        }
        self.report.times.push(Times::of("publish to in force, each host", each));
        self.report.times.push(Times::of("publish to in force, all hosts", everywhere));
    }

    /// Injects a fault and notes it.
    ///
    /// # Errors
    /// Fails when it can't be injected.
    pub fn inject(&mut self, kind: FaultKind) -> Result<Option<Fault>, TrialError> {
        let fault = Fault::inject(&mut self.fleet, kind, &mut self.rng)?;
        if let Some(fault) = &fault {
            self.note(format!("begin {fault}"));
        }
        Ok(fault)
    }

    /// Ends a fault and notes it.
    ///
    /// # Errors
    /// Fails when it can't be ended.
    pub fn end(&mut self, fault: Fault) -> Result<(), TrialError> {
        self.note(format!("end {fault}"));
        fault.end(&mut self.fleet)
    }

    /// Adds the times without service of each key in spans of time.
    pub fn measure(&mut self, name: &str, spans: Vec<(HostTime, HostTime)>) {
        let mut gaps = Gaps::default();
        spans.into_iter().for_each(|(from, to)| gaps.append(self.probes.gaps(from, to)));
        self.report.times.push(Times::of(format!("{name}, repeatable"), gaps.repeatable));
        self.report.times.push(Times::of(format!("{name}, once-only"), gaps.once_only));
    }

    /// Notes something that went wrong.
    pub fn fail(&mut self, error: &TrialError) {
        self.note(format!("failure: {error}"));
        let at = clock::host_now();
        self.report.failures.push(format!("{at} {error}"));
    }

    /// Waits until all ranges are held and all probed keys are served.
    ///
    /// # Errors
    /// Fails when that takes too long.
    pub fn await_served(&self) -> Result<(), TrialError> {
        self.fleet.wait_until_held()?;
        self.await_probes("all probed keys are served")
    }

    fn await_probes(&self, what: &str) -> Result<(), TrialError> {
        let now = clock::host_now();
        let awaited = waiting::until(what, || Ok(self.probes.all_served_since(now)));
        awaited.map_err(|_| TrialError::KeysNotServed(self.probes.unserved_since(now)))
    }

    /// Ends the callers, checks what they were answered and returns the report.
    pub fn finish(mut self) -> Report {
        if let Err(e) = self.await_served() {
            self.fail(&e);
        }
        let Self { fleet, callers, mut report, probes, .. } = self;
        drop(probes);
        let history = callers.finish();
        report.count(&history);
        match fleet.upstream_history() {
            Ok(upstream_history) => {
                report.violations = checks::check(&history, &upstream_history, self.planned)
            }
            Err(e) => report.failures.push(format!("the upstreams can't be asked: {e}")),
        }
        if let Err(e) = keep_records(&fleet) {
            report.failures.push(format!("the log's records can't be kept: {e}"));
        }
        report
    }

    fn round(&mut self, round: Round) -> Result<[(HostTime, HostTime); 2], TrialError> {
        let mut faults = Vec::new();
        let mut from = clock::host_now();
        for (place, kind) in round.faults.iter().enumerate() {
            if place > 0 && round.publishes {
                self.fleet.publish()?;
            }
            from = clock::host_now();
            faults.extend(self.inject(*kind)?);
        }
        thread::sleep(WINDOW_MS.duration());
        if let Err(e) = self.await_probes("all probed keys are served under the fault") {
            self.fail(&e);
        }
        let to = clock::host_now();
        for fault in faults.into_iter().rev() {
            self.end(fault)?;
        }
        self.fleet.wait_until_serving()?;
        self.await_served()?;
        thread::sleep(RETURN_MS.duration());
        Ok([(from, to), (to, clock::host_now())])
    }

    fn restart(&mut self, host: usize) -> Result<(), TrialError> {
        self.note(format!("restart {}", self.fleet.host_id(host)));
        self.fleet.terminate_host(host)?;
        let ended = self.fleet.wait_for_host_exit(host);
        self.fleet.start_host(host)?;
        self.fleet.update_host_list()?;
        self.fleet.wait_until_serving()?;
        self.await_served()?;
        ended
    }

    fn note(&mut self, text: String) {
        let (at, since) = (clock::host_now(), clock::host_now().since(self.started));
        eprintln!("{since:>10} {text}");
        self.report.timeline.push(format!("{at} {text}"));
    }
}

/// Writes the log's records beside the processes' logs.
fn keep_records(fleet: &Fleet) -> Result<(), TrialError> {
    let Some(directory) = fleet.process_log_dir() else { return Ok(()) };
    let text = serde_json::to_vec_pretty(&fleet.log_records()?)?;
    let written = fs::write(directory.join(RECORDS_FILE), text);
    written.map_err(|source| TrialError::System { action: "write the log's records", source })
}
