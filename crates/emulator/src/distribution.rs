//! Simulation of how a configuration reaches all hosts over links that are shared with requests.
//!
//! The store passes it to the leader, the leader to one host of each availability zone, and that one to the others. A
//! host whose state is too old reads the store itself. Links are shared equally by the transfers on them. The sizes of
//! what is sent come from the encoder of the real hosts, applied to configurations of the given size.

use skylarkdock_deltas as deltas;

/// Length of a step of the simulation.
const STEP_MS: u64 = 10;
/// Time after the last change at which a simulation ends at the latest.
const MAX_TIME_MS: u64 = 30_000;
const ZONES: usize = 6;
/// Capacities of links in bytes a millisecond: of the relay of a zone, of the other hosts and between the regions.
const RELAY_LINK: f64 = 12_500.0;
const HOST_LINK: f64 = 1_250.0;
const REGION_LINK: f64 = 7_500.0;
/// Longest wait of a request for updates, and the pause after one per four hosts, the same as on real hosts.
const UPDATE_WAIT_MS: u64 = 300;
const HOSTS_PER_MILLI: u64 = 4;
const MAX_PAUSE_MS: u64 = 250;
/// Time for which a source is avoided that gave no answer, and the pause before the next request.
const AVOID_MS: u64 = 2_000;
const RETRY_PAUSE_MS: u64 = 200;
/// Age of the state from which a host reads the store itself: 55 % of the time for a configuration.
const MAX_AGE_MS: u64 = 1_650;
/// Pause between own reads of the store that fail.
const READ_PAUSE_MS: u64 = 500;
/// Time limits of the whole of a call and of a read, with [`Rules::Whole`].
const WHOLE_CALL_MS: u64 = 600;
const WHOLE_READ_MS: u64 = 950;
/// Time limits of the whole with [`Rules::Differences`].
const LONG_CALL_MS: u64 = 5_000;
/// Index that stands for the store as a source.
const STORE: usize = usize::MAX;

/// What hosts send to each other, and when they give up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rules {
    /// The whole record as text inside text; a call is given up after a fixed time. The rules up to this change.
    Whole,
    /// Differences to the version that the receiver has; a call is given up when nothing arrives.
    Differences,
}

/// What happens in a simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Number of hosts.
    pub hosts: usize,
    /// Number of routes that the first change adds.
    pub routes: usize,
    /// Times of the changes. All but the first change one route.
    pub changes_at_ms: Vec<u64>,
    /// Share of each host's link that requests take.
    pub host_traffic: f64,
    /// Share of the link between the regions that requests take.
    pub region_traffic: f64,
    /// What hosts send.
    pub rules: Rules,
}

/// What a simulation measures.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    /// Longest time from a change until all hosts have it or a later one; `None` if they don't by the end.
    pub last_host_ms: Option<u64>,
    /// Bytes sent by hosts and the store, also in transfers that were given up.
    pub bytes: f64,
}

/// Transfer to a host.
#[derive(Debug, Clone, Copy)]
struct Transfer {
    source: usize,
    version: usize,
    /// When the source had proof that the store had nothing newer.
    proof_ms: u64,
    bytes_left: f64,
    began_ms: u64,
}

#[derive(Debug, Clone, Copy)]
enum Call {
    Idle {
        next_ms: u64,
    },
    /// The request waits at its source for something new.
    Waiting {
        source: usize,
        since_ms: u64,
    },
    Receiving(Transfer),
}

#[derive(Debug, Clone)]
struct Host {
    version: usize,
    proof_ms: u64,
    call: Call,
    read: Option<Transfer>,
    next_read_ms: u64,
    avoided: Vec<(usize, u64)>,
}

/// Sizes in bytes of what is sent.
struct Sizes {
    /// Record as the store returns it.
    raw: Vec<f64>,
    /// Update from the version before to each version, and without an earlier one.
    next: Vec<f64>,
    whole: Vec<f64>,
}

impl Sizes {
    fn new(scenario: &Scenario) -> Self {
        let records: Vec<Vec<u8>> = (0..=scenario.changes_at_ms.len())
            .map(|version| record(version, if version == 0 { 0 } else { scenario.routes }))
            .collect();
        let size = |bytes: usize| bytes as f64;
        let encoded = |record: &[u8], base: &[u8]| match scenario.rules {
            // Quotes are escaped.
            Rules::Whole => record.len() + record.iter().filter(|byte| **byte == b'"').count(),
            Rules::Differences => {
                deltas::encode(record, base).map_or(record.len(), |bytes| bytes.len())
            }
        };
        let bases = std::iter::once(&[][..]).chain(records.iter().map(Vec::as_slice));
        let next = records.iter().zip(bases).map(|(record, base)| size(encoded(record, base)));
        let whole = records.iter().map(|record| size(encoded(record, &[])));
        let (next, whole) = (next.collect(), whole.collect());
        Self { raw: records.iter().map(|record| size(record.len())).collect(), next, whole }
    }

    /// Returns the size of an update from one version to a later one. Differences over several versions add up.
    fn update(&self, from: usize, to: usize) -> f64 {
        self.next[from + 1..=to].iter().sum::<f64>().min(self.whole[to])
    }
}

/// Returns a configuration with names that don't repeat. Versions differ in one route and the version.
fn record(version: usize, routes: usize) -> Vec<u8> {
    let mut text = format!("{{\"version\":\"r{version}\",\"routes\":[");
    for route in 0..19 + routes {
        let name = (route as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let service = if route == version { 9 } else { route % 4 };
        text += &format!(
            "{{\"name\":\"r-{:x}\",\"host\":\"h{}.example\",\"prefix\":\"/{:x}/\",\"kind\":\"idempotent\",\
             \"timeout\":\"3s\",\"objective\":\"500ms\",\"priority\":2,\"service\":\"s{service}\",\"attempts\":2}},",
            name >> 32,
            name % 90,
            name.rotate_left(17) >> 24
        );
    }
    (text + "]}").into_bytes()
}

struct Simulation {
    scenario: Scenario,
    sizes: Sizes,
    hosts: Vec<Host>,
    now_ms: u64,
    bytes: f64,
}

/// Runs a scenario.
pub fn simulate(scenario: Scenario) -> Spread {
    let sizes = Sizes::new(&scenario);
    let host = Host {
        version: 0,
        proof_ms: 0,
        call: Call::Idle { next_ms: 0 },
        read: None,
        next_read_ms: 0,
        avoided: Vec::new(),
    };
    let hosts = vec![host; scenario.hosts];
    Simulation { scenario, sizes, hosts, now_ms: 0, bytes: 0.0 }.run()
}

impl Simulation {
    fn run(mut self) -> Spread {
        let changes = self.scenario.changes_at_ms.clone();
        let mut spread_at: Vec<Option<u64>> = vec![None; changes.len()];
        let end_ms = changes.last().map_or(0, |last| last + MAX_TIME_MS);
        while self.now_ms < end_ms && spread_at.contains(&None) {
            self.now_ms += STEP_MS;
            (0..self.hosts.len()).for_each(|host| self.step_host(host));
            self.transfer();
            let oldest = self.hosts.iter().map(|host| host.version).min().unwrap_or(0);
            for at in spread_at[..oldest].iter_mut().filter(|at| at.is_none()) {
                *at = Some(self.now_ms);
            }
        }
        let times = spread_at.iter().zip(&changes).map(|(at, change)| Some((*at)? - change));
        let last_host_ms = times.collect::<Option<Vec<u64>>>();
        Spread {
            last_host_ms: last_host_ms.and_then(|times| times.into_iter().max()),
            bytes: self.bytes,
        }
    }

    /// Returns the newest version in the store.
    fn stored(&self) -> usize {
        self.scenario.changes_at_ms.iter().filter(|at| **at <= self.now_ms).count()
    }

    /// Returns the hosts that a host requests updates from, in order of preference. Host 0 leads, and the first host of
    /// each zone is its relay.
    fn sources(host: usize) -> &'static [usize] {
        const RELAYS: [[usize; 2]; ZONES] = [[0, 0], [1, 0], [2, 0], [3, 0], [4, 0], [5, 0]];
        match host {
            0 => &[],
            1..ZONES => &RELAYS[0][..1],
            _ => &RELAYS[host % ZONES],
        }
    }

    fn step_host(&mut self, index: usize) {
        let now_ms = self.now_ms;
        self.step_read(index);
        let mut host = self.hosts[index].clone();
        host.avoided.retain(|(_, until)| now_ms < *until);
        match host.call {
            Call::Idle { next_ms } if now_ms >= next_ms => {
                let is_avoided =
                    |source: &usize| host.avoided.iter().any(|(other, _)| other == source);
                let source = Self::sources(index).iter().find(|source| !is_avoided(source));
                host.call = match source {
                    Some(source) => Call::Waiting { source: *source, since_ms: now_ms },
                    None => Call::Idle { next_ms: now_ms + UPDATE_WAIT_MS },
                };
            }
            Call::Waiting { source, since_ms } => {
                let (version, proof_ms) = (self.hosts[source].version, self.hosts[source].proof_ms);
                if version > host.version {
                    let bytes_left = self.sizes.update(host.version, version);
                    let began_ms = since_ms;
                    host.call = Call::Receiving(Transfer {
                        source,
                        version,
                        proof_ms,
                        bytes_left,
                        began_ms,
                    });
                } else if now_ms >= since_ms + UPDATE_WAIT_MS {
                    host.proof_ms = host.proof_ms.max(proof_ms);
                    host.call = Call::Idle { next_ms: now_ms + self.pause_ms() };
                }
            }
            Call::Receiving(transfer) => {
                let limit_ms = match self.scenario.rules {
                    Rules::Whole => WHOLE_CALL_MS,
                    Rules::Differences => LONG_CALL_MS,
                };
                if transfer.bytes_left <= 0.0 {
                    host.version = host.version.max(transfer.version);
                    host.proof_ms = host.proof_ms.max(transfer.proof_ms);
                    host.call = Call::Idle { next_ms: now_ms + self.pause_ms() };
                } else if now_ms > transfer.began_ms + limit_ms {
                    host.avoided.push((transfer.source, now_ms + AVOID_MS));
                    host.call = Call::Idle { next_ms: now_ms + RETRY_PAUSE_MS };
                }
            }
            Call::Idle { .. } => {}
        }
        self.hosts[index] = host;
    }

    /// Lets a host read the store if it leads or its state is too old.
    fn step_read(&mut self, index: usize) {
        let (now_ms, stored) = (self.now_ms, self.stored());
        let reads = index == 0 || now_ms > self.hosts[index].proof_ms + MAX_AGE_MS;
        let limit_ms = match self.scenario.rules {
            Rules::Whole => WHOLE_READ_MS,
            Rules::Differences => LONG_CALL_MS,
        };
        let host = &mut self.hosts[index];
        if let Some(read) = host.read {
            if read.bytes_left <= 0.0 {
                host.version = host.version.max(read.version);
                host.proof_ms = host.proof_ms.max(read.proof_ms);
                host.read = None;
            } else if now_ms > read.began_ms + limit_ms {
                host.read = None;
                host.next_read_ms = now_ms + READ_PAUSE_MS;
            }
        } else if reads && now_ms >= host.next_read_ms {
            if stored == host.version {
                host.proof_ms = now_ms;
                return;
            }
            // A read returns all records since the last known one.
            let bytes_left = self.sizes.raw[host.version + 1..=stored].iter().sum();
            let (began_ms, proof_ms) = (now_ms, now_ms);
            host.read =
                Some(Transfer { source: STORE, version: stored, proof_ms, bytes_left, began_ms });
        }
    }

    fn pause_ms(&self) -> u64 {
        (self.scenario.hosts as u64 / HOSTS_PER_MILLI).min(MAX_PAUSE_MS)
    }

    /// Moves the bytes of a step on all links.
    fn transfer(&mut self) {
        let mut on_host = vec![0_u32; self.hosts.len()];
        let mut on_region = 0_u32;
        let active: Vec<(usize, bool, usize)> = self.active().collect();
        for (index, _, source) in &active {
            on_host[*index] += 1;
            if *source != STORE {
                on_host[*source] += 1;
            }
            on_region += u32::from(crosses(*source, *index));
        }
        let free = 1.0 - self.scenario.host_traffic;
        let share = |host: usize| {
            let link = if host < ZONES { RELAY_LINK } else { HOST_LINK };
            link * free / f64::from(on_host[host].max(1))
        };
        let region =
            REGION_LINK * (1.0 - self.scenario.region_traffic) / f64::from(on_region.max(1));
        for (index, is_read, source) in active {
            let mut rate = share(index);
            if source != STORE {
                rate = rate.min(share(source));
            }
            if crosses(source, index) {
                rate = rate.min(region);
            }
            let host = &mut self.hosts[index];
            let transfer = match (&mut host.read, &mut host.call) {
                (Some(read), _) if is_read => read,
                (_, Call::Receiving(transfer)) if !is_read => transfer,
                _ => continue,
            };
            let sent = (rate * STEP_MS as f64).min(transfer.bytes_left);
            transfer.bytes_left -= sent;
            self.bytes += sent;
        }
    }

    /// Returns the transfers under way: the receiver, whether it is a read of the store, and the source.
    fn active(&self) -> impl Iterator<Item = (usize, bool, usize)> {
        self.hosts.iter().enumerate().flat_map(|(index, host)| {
            let call = match host.call {
                Call::Receiving(transfer) if transfer.bytes_left > 0.0 => Some(transfer.source),
                _ => None,
            };
            let read = host.read.filter(|read| read.bytes_left > 0.0);
            let calls = call.map(|source| (index, false, source));
            calls.into_iter().chain(read.map(|read| (index, true, read.source)))
        })
    }
}

/// Returns whether a transfer crosses the link between the regions. The store is in the first one, and zones alternate.
const fn crosses(source: usize, host: usize) -> bool {
    let from = if source == STORE { 0 } else { source % ZONES % 2 };
    from != host % ZONES % 2
}
