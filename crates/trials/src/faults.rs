//! Faults that a trial injects and ends.

use crate::errors::TrialError;
use crate::fleet::network::{Partition, PartitionId};
use crate::fleet::{Fleet, ZONES};
use crate::waiting;
use skylarkdock_standins::log::faults::{LogFaults, OutageMode};
use std::fmt;

const LOST_ANSWERS: f64 = 0.5;
const OUTAGES: [OutageMode; 3] = [OutageMode::Status, OutageMode::Refuse, OutageMode::Hang];

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A host ends at once.
    KillHost,
    /// A host ends at once and is started again at once, on the same addresses.
    BounceHost,
    /// A host is suspended and goes on later.
    FreezeHost,
    /// A host is asked to stop.
    StopHost,
    /// An upstream ends at once.
    KillUpstream,
    /// An upstream is suspended and goes on later.
    FreezeUpstream,
    /// An upstream is asked to take no new requests.
    DrainUpstream,
    /// A zone's hosts are cut off from those of other zones and from the platform.
    CutZone,
    /// A zone's hosts hear the others, which don't hear them.
    CutZoneOneWay,
    /// A zone's hosts are cut off from the platform.
    CutZoneFromPlatform,
    /// A region's hosts are cut off from those of the other and from the platform.
    CutRegion,
    /// The log fails all calls.
    LogOutage,
    /// Answers of the log are lost after the append took effect.
    LoseAnswers,
}

impl FaultKind {
    /// The kinds of a random schedule.
    pub const ALL: [Self; 13] = [
        Self::KillHost,
        Self::BounceHost,
        Self::FreezeHost,
        Self::StopHost,
        Self::KillUpstream,
        Self::FreezeUpstream,
        Self::DrainUpstream,
        Self::CutZone,
        Self::CutZoneOneWay,
        Self::CutZoneFromPlatform,
        Self::CutRegion,
        Self::LogOutage,
        Self::LoseAnswers,
    ];
}

/// A fault in force.
#[derive(Debug)]
pub struct Fault {
    kind: FaultKind,
    name: String,
    undo: Undo,
}

#[derive(Debug)]
enum Undo {
    Nothing,
    StartHost(usize),
    ResumeHost(usize),
    AwaitHostEnd(usize),
    StartUpstream(usize),
    ResumeUpstream(usize),
    ReplaceUpstream(usize),
    Mend(Vec<PartitionId>),
    RestoreLog,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}", self.kind, self.name)
    }
}

impl Fault {
    /// Injects a fault on something chosen at random; returns `None` when there is nothing to choose.
    ///
    /// # Errors
    /// Fails when a process can't be signalled or asked.
    pub fn inject(
        fleet: &mut Fleet,
        kind: FaultKind,
        rng: &mut fastrand::Rng,
    ) -> Result<Option<Self>, TrialError> {
        let found = match kind {
            FaultKind::KillHost
            | FaultKind::BounceHost
            | FaultKind::FreezeHost
            | FaultKind::StopHost => host_fault(fleet, kind, rng)?,
            FaultKind::KillUpstream | FaultKind::FreezeUpstream | FaultKind::DrainUpstream => {
                upstream_fault(fleet, kind, rng)?
            }
            FaultKind::LogOutage | FaultKind::LoseAnswers => Some(log_fault(fleet, kind, rng)?),
            _ => Some(partition(fleet, kind, rng)?),
        };
        Ok(found.map(|(name, undo)| Self { kind, name, undo }))
    }

    /// Ends the fault: what was lost is started again.
    ///
    /// # Errors
    /// Fails when a process can't be started, signalled or asked, or a planned stop failed.
    pub fn end(self, fleet: &mut Fleet) -> Result<(), TrialError> {
        match self.undo {
            Undo::Nothing => Ok(()),
            Undo::StartHost(host) => fleet.start_host(host),
            Undo::ResumeHost(host) => fleet.resume_host(host),
            Undo::AwaitHostEnd(host) => {
                let ended = fleet.wait_for_host_exit(host);
                fleet.start_host(host)?;
                fleet.update_host_list()?;
                ended
            }
            Undo::StartUpstream(upstream) => fleet.start_upstream(upstream),
            Undo::ResumeUpstream(upstream) => fleet.resume_upstream(upstream),
            Undo::ReplaceUpstream(upstream) => {
                let idle = || Ok(fleet.upstream_running_requests(upstream)? == 0);
                waiting::until("a draining upstream is idle", idle)?;
                fleet.kill_upstream(upstream)?;
                fleet.start_upstream(upstream)
            }
            Undo::Mend(partitions) => {
                partitions.into_iter().try_for_each(|partition| fleet.end_partition(partition))
            }
            Undo::RestoreLog => fleet.set_log_faults(&LogFaults::default()),
        }
    }
}

type Injected = (String, Undo);

fn host_fault(
    fleet: &mut Fleet,
    kind: FaultKind,
    rng: &mut fastrand::Rng,
) -> Result<Option<Injected>, TrialError> {
    let Some(host) = rng.choice(fleet.running_hosts()) else { return Ok(None) };
    let undo = match kind {
        FaultKind::KillHost => {
            fleet.kill_host(host)?;
            Undo::StartHost(host)
        }
        FaultKind::BounceHost => {
            fleet.kill_host(host)?;
            fleet.start_host(host)?;
            Undo::Nothing
        }
        FaultKind::FreezeHost => {
            fleet.suspend_host(host)?;
            Undo::ResumeHost(host)
        }
        _ => {
            fleet.terminate_host(host)?;
            Undo::AwaitHostEnd(host)
        }
    };
    Ok(Some((fleet.host_id(host).to_string(), undo)))
}

fn upstream_fault(
    fleet: &mut Fleet,
    kind: FaultKind,
    rng: &mut fastrand::Rng,
) -> Result<Option<Injected>, TrialError> {
    let Some(upstream) = rng.choice(fleet.running_upstreams()) else { return Ok(None) };
    let undo = match kind {
        FaultKind::KillUpstream => {
            fleet.kill_upstream(upstream)?;
            Undo::StartUpstream(upstream)
        }
        FaultKind::FreezeUpstream => {
            fleet.suspend_upstream(upstream)?;
            Undo::ResumeUpstream(upstream)
        }
        _ => {
            fleet.drain_upstream(upstream)?;
            Undo::ReplaceUpstream(upstream)
        }
    };
    Ok(Some((fleet.upstream_ids()[upstream].to_string(), undo)))
}

fn log_fault(
    fleet: &Fleet,
    kind: FaultKind,
    rng: &mut fastrand::Rng,
) -> Result<Injected, TrialError> {
    let mode = OUTAGES[rng.usize(..OUTAGES.len())];
    let (name, faults) = match kind {
        FaultKind::LogOutage => {
            let faults = LogFaults { outage: true, outage_mode: mode, ..LogFaults::default() };
            (format!("{mode:?}"), faults)
        }
        _ => {
            let seed = rng.u64(..);
            (String::new(), LogFaults { lose_answers: LOST_ANSWERS, seed, ..LogFaults::default() })
        }
    };
    fleet.set_log_faults(&faults)?;
    Ok((name, Undo::RestoreLog))
}

fn partition(
    fleet: &mut Fleet,
    kind: FaultKind,
    rng: &mut fastrand::Rng,
) -> Result<Injected, TrialError> {
    let (zone, region) = ZONES[rng.usize(..ZONES.len())];
    let (name, inside) = match kind {
        FaultKind::CutRegion => (region, fleet.hosts_where(|_, other| other.as_str() == region)),
        _ => (zone, fleet.hosts_where(|other, _| other.as_str() == zone)),
    };
    let outside: Vec<usize> =
        (0..fleet.host_count()).filter(|host| !inside.contains(host)).collect();
    let platform = Partition::Platform { hosts: inside.clone() };
    let partitions = match kind {
        FaultKind::CutZoneFromPlatform => vec![platform],
        FaultKind::CutZoneOneWay => vec![Partition::OneWay { from: inside, to: outside }],
        _ => vec![Partition::Between { one: inside, other: outside }, platform],
    };
    let cuts: Result<Vec<_>, _> =
        partitions.into_iter().map(|cut| fleet.start_partition(cut)).collect();
    Ok((name.to_owned(), Undo::Mend(cuts?)))
}
