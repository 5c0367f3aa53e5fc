//! Faults that a trial injects into hosts, upstreams, the network and the log.

use crate::errors::TrialError;
use crate::fleet::network::{Partition, PartitionId};
use crate::fleet::{Fleet, ZONES};
use crate::waiting;
use skylarkdock_standins::log::faults::{LogFaults, OutageMode};
use std::fmt;

const LOST_ANSWER_SHARE: f64 = 0.5;
const OUTAGE_MODES: [OutageMode; 3] = [OutageMode::Status, OutageMode::Refuse, OutageMode::Hang];

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FaultKind {
    /// A host's process is killed.
    KillHost,
    /// A host's process is killed and immediately restarted on the same addresses.
    BounceHost,
    /// A host's process is suspended, and resumed when the fault ends.
    FreezeHost,
    /// A host's process is asked to terminate, and restarted when the fault ends.
    StopHost,
    /// An upstream's process is killed.
    KillUpstream,
    /// An upstream's process is suspended, and resumed when the fault ends.
    FreezeUpstream,
    /// An upstream is asked to accept no new requests, and replaced when the fault ends.
    DrainUpstream,
    /// A zone's hosts are cut off from the hosts of other zones and from the platform.
    CutZone,
    /// Bytes from a zone's hosts to the hosts of other zones are discarded, but not in the opposite direction.
    CutZoneOneWay,
    /// A zone's hosts are cut off from the platform.
    CutZoneFromPlatform,
    /// A region's hosts are cut off from the hosts of the other region and from the platform.
    CutRegion,
    /// All calls to the log fail or hang.
    LogOutage,
    /// Half of the log's answers to appends are lost after the append took effect.
    LoseAnswers,
}

impl FaultKind {
    /// All kinds, from which a random schedule chooses.
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

/// An active fault.
#[derive(Debug)]
pub struct Fault {
    kind: FaultKind,
    target: String,
    undo: Undo,
}

#[derive(Debug)]
enum Undo {
    None,
    StartHost(usize),
    ResumeHost(usize),
    RestartStoppedHost(usize),
    StartUpstream(usize),
    ResumeUpstream(usize),
    ReplaceUpstream(usize),
    EndPartitions(Vec<PartitionId>),
    RestoreLog,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} {}", self.kind, self.target)
    }
}

impl Fault {
    /// Injects a fault into a target chosen at random; returns `None` when no process is running to choose from.
    ///
    /// # Errors
    /// Fails when a process can't be signalled or a call to it fails.
    pub fn inject(
        fleet: &mut Fleet,
        kind: FaultKind,
        rng: &mut fastrand::Rng,
    ) -> Result<Option<Self>, TrialError> {
        let injected = match kind {
            FaultKind::KillHost
            | FaultKind::BounceHost
            | FaultKind::FreezeHost
            | FaultKind::StopHost => host_fault(fleet, kind, rng)?,
            FaultKind::KillUpstream | FaultKind::FreezeUpstream | FaultKind::DrainUpstream => {
                upstream_fault(fleet, kind, rng)?
            }
            FaultKind::LogOutage | FaultKind::LoseAnswers => Some(log_fault(fleet, kind, rng)?),
            _ => Some(partition_fault(fleet, kind, rng)?),
        };
        Ok(injected.map(|(target, undo)| Self { kind, target, undo }))
    }

    /// Ends the fault: restarts or resumes the process, ends the partitions, or restores the log.
    ///
    /// # Errors
    /// Fails when a process can't be started or signalled, a call to it fails, or a planned stop failed.
    pub fn end(self, fleet: &mut Fleet) -> Result<(), TrialError> {
        match self.undo {
            Undo::None => Ok(()),
            Undo::StartHost(host) => fleet.start_host(host),
            Undo::ResumeHost(host) => fleet.resume_host(host),
            Undo::RestartStoppedHost(host) => {
                let exit_result = fleet.wait_for_host_exit(host);
                fleet.start_host(host)?;
                fleet.update_host_list()?;
                exit_result
            }
            Undo::StartUpstream(upstream) => fleet.start_upstream(upstream),
            Undo::ResumeUpstream(upstream) => fleet.resume_upstream(upstream),
            Undo::ReplaceUpstream(upstream) => {
                let is_idle = || Ok(fleet.upstream_running_requests(upstream)? == 0);
                waiting::until("a draining upstream is idle", is_idle)?;
                fleet.kill_upstream(upstream)?;
                fleet.start_upstream(upstream)
            }
            Undo::EndPartitions(partitions) => {
                partitions.into_iter().try_for_each(|partition| fleet.end_partition(partition))
            }
            Undo::RestoreLog => fleet.set_log_faults(&LogFaults::default()),
        }
    }
}

/// Target of an injected fault, and how to end the fault.
type InjectedFault = (String, Undo);

fn host_fault(
    fleet: &mut Fleet,
    kind: FaultKind,
    rng: &mut fastrand::Rng,
) -> Result<Option<InjectedFault>, TrialError> {
    let Some(host) = rng.choice(fleet.running_hosts()) else { return Ok(None) };
    let undo = match kind {
        FaultKind::KillHost => {
            fleet.kill_host(host)?;
            Undo::StartHost(host)
        }
        FaultKind::BounceHost => {
            fleet.kill_host(host)?;
            fleet.start_host(host)?;
            Undo::None
        }
        FaultKind::FreezeHost => {
            fleet.suspend_host(host)?;
            Undo::ResumeHost(host)
        }
        _ => {
            fleet.terminate_host(host)?;
            Undo::RestartStoppedHost(host)
        }
    };
    Ok(Some((fleet.host_id(host).to_string(), undo)))
}

fn upstream_fault(
    fleet: &mut Fleet,
    kind: FaultKind,
    rng: &mut fastrand::Rng,
) -> Result<Option<InjectedFault>, TrialError> {
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
) -> Result<InjectedFault, TrialError> {
    let mode = OUTAGE_MODES[rng.usize(..OUTAGE_MODES.len())];
    let (target, faults) = match kind {
        FaultKind::LogOutage => {
            let faults = LogFaults { outage: true, outage_mode: mode, ..LogFaults::default() };
            (format!("{mode:?}"), faults)
        }
        _ => {
            let seed = rng.u64(..);
            (
                String::new(),
                LogFaults { lose_answers: LOST_ANSWER_SHARE, seed, ..LogFaults::default() },
            )
        }
    };
    fleet.set_log_faults(&faults)?;
    Ok((target, Undo::RestoreLog))
}

fn partition_fault(
    fleet: &mut Fleet,
    kind: FaultKind,
    rng: &mut fastrand::Rng,
) -> Result<InjectedFault, TrialError> {
    let (zone, region) = ZONES[rng.usize(..ZONES.len())];
    let (target, inside) = match kind {
        FaultKind::CutRegion => {
            (region, fleet.hosts_where(|_, host_region| host_region.as_str() == region))
        }
        _ => (zone, fleet.hosts_where(|host_zone, _| host_zone.as_str() == zone)),
    };
    let outside: Vec<usize> =
        (0..fleet.host_count()).filter(|host| !inside.contains(host)).collect();
    let platform = Partition::Platform { hosts: inside.clone() };
    let partitions = match kind {
        FaultKind::CutZoneFromPlatform => vec![platform],
        FaultKind::CutZoneOneWay => vec![Partition::OneWay { from: inside, to: outside }],
        _ => vec![Partition::Between { one: inside, other: outside }, platform],
    };
    let ids: Result<Vec<_>, _> =
        partitions.into_iter().map(|partition| fleet.start_partition(partition)).collect();
    Ok((target.to_owned(), Undo::EndPartitions(ids?)))
}
