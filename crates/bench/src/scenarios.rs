//! Measures the control cost of fleets of several sizes, idle and under churn.

use crate::errors::BenchError;
use crate::fleet::{Fleet, Size};
use crate::sample::{self, Reading, TICKS_PER_SECOND};
use serde::Serialize;
use skylarkdock_fold::{Fold, checkpoint};
use std::collections::BTreeMap;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

const SETTLE_TIME: Duration = Duration::from_secs(6);
const PUBLISH_INTERVAL: Duration = Duration::from_millis(500);
const RESTART_INTERVAL: Duration = Duration::from_secs(4);
const KIB_PER_MIB: f64 = 1024.0;

/// Activity during a measurement window.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// No record is published and no host restarted.
    Idle,
    /// A record is published twice a second.
    Publishing,
    /// A host is killed and restarted every 4 s.
    Restarting,
}

/// Series of fleets that differ in one dimension of their size.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Sweep {
    /// Varies the number of entry hosts.
    Hosts,
    /// Varies the number of ranges.
    Ranges,
    /// Varies the number of services, with one upstream each.
    Services,
    /// Varies the number of ranges of a single upstream, which concern few of the hosts.
    Onlookers,
}

impl Sweep {
    /// All sweeps, in the order in which they are measured.
    pub const ALL: [Self; 4] = [Self::Hosts, Self::Ranges, Self::Services, Self::Onlookers];

    /// Returns the name of the sweep on the command line and in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Hosts => "hosts",
            Self::Ranges => "ranges",
            Self::Services => "services",
            Self::Onlookers => "onlookers",
        }
    }

    /// Returns the fleet sizes of the sweep.
    pub fn sizes(self) -> Vec<Size> {
        let base = Size { hosts: 8, ranges: 256, services: 1, upstreams: 8 };
        match self {
            Self::Hosts => [4, 8, 16, 32].map(|hosts| Size { hosts, ..base }).to_vec(),
            Self::Ranges => {
                [64, 256, 512, 1024, 4096].map(|ranges| Size { ranges, ..base }).to_vec()
            }
            Self::Onlookers => {
                let few = Size { hosts: 12, upstreams: 1, ..base };
                [64, 1024, 4096].map(|ranges| Size { ranges, ..few }).to_vec()
            }
            Self::Services => {
                [1, 8, 32].map(|n| Size { services: n, upstreams: n, ..base }).to_vec()
            }
        }
    }

    /// Returns the activities that the sweep measures, one window each.
    pub fn states(self) -> &'static [State] {
        match self {
            Self::Hosts => &[State::Idle, State::Publishing, State::Restarting],
            Self::Onlookers => &[State::Idle],
            Self::Ranges | Self::Services => &[State::Idle, State::Publishing],
        }
    }

    /// Returns the value of the dimension that the sweep varies.
    pub fn varied_size(self, size: Size) -> f64 {
        match self {
            Self::Hosts => size.hosts as f64,
            Self::Ranges | Self::Onlookers => f64::from(size.ranges),
            Self::Services => f64::from(size.services),
        }
    }
}

/// Results of one measurement window; means per host unless noted otherwise.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Sweep that the window belongs to.
    pub sweep: Sweep,
    /// Size of the fleet.
    pub size: Size,
    /// Activity during the window.
    pub state: State,
    /// Length of the window in seconds.
    pub seconds: f64,
    /// Load averages of the machine at the start and the end.
    pub load: [String; 2],
    /// Processor time of a host in percent of a core.
    pub cpu_percent: f64,
    /// Processor time of a host by kind of thread, in percent of a core.
    pub threads_percent: BTreeMap<String, f64>,
    /// Processor time of the busiest host in percent of a core.
    pub most_cpu_percent: f64,
    /// Processor time of the least busy host in percent of a core.
    pub least_cpu_percent: f64,
    /// Resident memory in MiB.
    pub resident_mib: f64,
    /// Bytes sent to other hosts per second.
    pub peer_bytes_per_s: f64,
    /// Processor time of the log in percent of a core.
    pub log_cpu_percent: f64,
    /// Processor time of an upstream in percent of a core.
    pub upstream_cpu_percent: f64,
    /// Records appended by the whole fleet in the window.
    pub appends: u64,
    /// Total size of the appended records in bytes.
    pub append_bytes: u64,
    /// Reads of the log per second by the whole fleet.
    pub log_reads_per_s: f64,
    /// Records published or hosts restarted in the window.
    pub churn: u32,
    /// Size in bytes of a checkpoint of the state at the end of the window.
    pub checkpoint_bytes: u64,
    /// Number of parts of that checkpoint.
    pub checkpoint_parts: usize,
    /// Number of hosts in the means; hosts restarted during the window are left out.
    pub counted: usize,
}

struct Readings {
    at: Instant,
    load: String,
    daemons: BTreeMap<u32, (Reading, f64)>,
    log_ticks: u64,
    upstream_ticks: u64,
    log: skylarkdock_standins::log::service::LogStats,
}

/// Measures a fleet of one size in each state of its sweep.
///
/// # Errors
/// Fails when the fleet does not start, or a call, a restart or a reading of a process fails.
pub fn measure(
    programs: &Path,
    sweep: Sweep,
    size: Size,
    window: Duration,
) -> Result<Vec<Row>, BenchError> {
    let mut fleet = Fleet::serve(programs.to_owned(), size)?;
    let mut rows = Vec::new();
    for state in sweep.states() {
        thread::sleep(SETTLE_TIME);
        let before = read_fleet(&fleet)?;
        let churn = run_window(&mut fleet, *state, window)?;
        let after = read_fleet(&fleet)?;
        let mut row = row(sweep, size, *state, &before, &after);
        row.churn = churn;
        (row.checkpoint_bytes, row.checkpoint_parts) = checkpoint_size(&fleet)?;
        rows.push(row);
    }
    Ok(rows)
}

fn run_window(fleet: &mut Fleet, state: State, window: Duration) -> Result<u32, BenchError> {
    let end = Instant::now() + window;
    let interval = match state {
        State::Idle => window,
        State::Publishing => PUBLISH_INTERVAL,
        State::Restarting => RESTART_INTERVAL,
    };
    let mut churn = 0;
    while Instant::now() < end {
        let next = Instant::now() + interval;
        match state {
            State::Idle => {}
            State::Publishing => {
                fleet.publish(0, 0, 4_000 + u64::from(churn % 2))?;
                churn += 1;
            }
            State::Restarting => {
                fleet.restart(churn as usize % 2)?;
                churn += 1;
            }
        }
        thread::sleep(next.min(end).saturating_duration_since(Instant::now()));
    }
    Ok(churn)
}

fn read_fleet(fleet: &Fleet) -> Result<Readings, BenchError> {
    let mut daemons = BTreeMap::new();
    for daemon in fleet.daemons() {
        let text = fleet.metrics(daemon)?;
        let sent = sample::metric(&text, "skylarkdock_peer_bytes_sent_total");
        daemons.insert(daemon.id(), (sample::read(daemon.id())?, sent));
    }
    let (log, _, upstreams) = fleet.standins();
    let mut upstream_ticks = 0;
    for id in upstreams {
        upstream_ticks += sample::read(id)?.ticks;
    }
    Ok(Readings {
        load: sample::load_average(),
        daemons,
        log_ticks: sample::read(log)?.ticks,
        upstream_ticks,
        log: fleet.log_stats()?,
        at: Instant::now(),
    })
}

fn row(sweep: Sweep, size: Size, state: State, before: &Readings, after: &Readings) -> Row {
    let seconds = after.at.duration_since(before.at).as_secs_f64();
    let percent = |ticks: u64| ticks as f64 / TICKS_PER_SECOND / seconds * 100.0;
    let pairs: Vec<_> = before
        .daemons
        .iter()
        .filter_map(|(id, was)| after.daemons.get(id).map(|is| (was, is)))
        .collect();
    let counted = pairs.len();
    let mean = |sum: f64| sum / counted.max(1) as f64;
    let cpu: Vec<f64> =
        pairs.iter().map(|(was, is)| percent(is.0.ticks.saturating_sub(was.0.ticks))).collect();
    let mut threads_percent: BTreeMap<String, f64> = BTreeMap::new();
    for (was, is) in &pairs {
        for (kind, ticks) in &is.0.threads {
            let earlier = was.0.threads.get(kind).copied().unwrap_or(0);
            let share = mean(percent(ticks.saturating_sub(earlier)));
            *threads_percent.entry(kind.clone()).or_default() += share;
        }
    }
    Row {
        sweep,
        size,
        state,
        seconds,
        load: [before.load.clone(), after.load.clone()],
        cpu_percent: mean(cpu.iter().sum()),
        threads_percent,
        most_cpu_percent: cpu.iter().copied().fold(0.0, f64::max),
        least_cpu_percent: cpu.iter().copied().fold(f64::INFINITY, f64::min),
        resident_mib: mean(pairs.iter().map(|(_, is)| is.0.resident_kib as f64).sum())
            / KIB_PER_MIB,
        peer_bytes_per_s: mean(pairs.iter().map(|(was, is)| is.1 - was.1).sum()) / seconds,
        log_cpu_percent: percent(after.log_ticks - before.log_ticks),
        upstream_cpu_percent: percent(after.upstream_ticks - before.upstream_ticks)
            / f64::from(size.upstreams),
        appends: after.log.appends - before.log.appends,
        append_bytes: after.log.bytes - before.log.bytes,
        log_reads_per_s: (after.log.reads - before.log.reads) as f64 / seconds,
        churn: 0,
        checkpoint_bytes: 0,
        checkpoint_parts: 0,
        counted,
    }
}

/// Folds the log; returns the size of a checkpoint of the state in bytes and its number of parts.
fn checkpoint_size(fleet: &Fleet) -> Result<(u64, usize), BenchError> {
    let mut fold = Fold::default();
    for (offset, text) in fleet.records()? {
        // Refused records are part of the state too.
        let _ = fold.apply(offset, &text);
    }
    let parts = checkpoint::split(fold.state())?;
    Ok((parts.iter().map(|part| part.data.len() as u64).sum(), parts.len()))
}
