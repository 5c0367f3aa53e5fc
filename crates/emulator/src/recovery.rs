//! Simulation of how hosts come up to date again after the leader and other hosts were lost together.
//!
//! The hosts are in two regions. Those of the second one reach the store, and hosts of the first, over a link that
//! requests share; what waits for the link delays small calls as well. Configurations change in series and upstreams
//! leave all the time. The rules by which hosts read the store and stand for election are those of the real hosts.

use skylarkdock_freshness::election::{self, Candidate};
use skylarkdock_freshness::reading::{self, Knowledge, Limits, Records, Turn};
use skylarkdock_units::times::Millis;

/// Length of a step of the simulation.
const STEP_MS: u64 = 10;
const ZONES: usize = 6;
/// Free capacities of links in bytes a millisecond: of the first host of a zone, of the others and between the regions.
/// A scenario may have a share of them.
const FIRST_HOST_LINK: f64 = 10_000.0;
const HOST_LINK: f64 = 625.0;
const REGION_LINK: f64 = 3_000.0;
/// Bytes that one transfer has under way, which others wait for on the link between the regions.
const WINDOW: f64 = 65_536.0;
/// Latency of a call between the regions over a free link, and within one.
const FAR_MS: u64 = 17;
const NEAR_MS: u64 = 5;
/// Sizes in bytes: of a configuration, of the whole registry for each host and at least, of its records in a millisecond
/// (heartbeats that change nothing append none), of the fleet topic, and of an update from another host, also to one
/// that has just started.
const CONFIG_BYTES: f64 = 400_000.0;
const REGISTRY_BYTES_PER_HOST: f64 = 700.0;
const MIN_REGISTRY_BYTES: f64 = 85_000.0;
const REGISTRY_BYTES_PER_MS: f64 = 4.0;
const FLEET_BYTES: f64 = 85_000.0;
const UPDATE_BYTES: f64 = 1_500.0;
const FIRST_UPDATE_BYTES: f64 = 60_000.0;
/// How much larger records are in the list of the newest ones than in the log.
const NEWEST_FACTOR: f64 = 4.0 / 3.0;
/// Time within which a change must have an effect.
const EFFECT_TIME: Millis = Millis(3_000);
/// Time between configurations.
const CONFIG_INTERVAL_MS: u64 = 1_150;
/// Time of the loss, and time until the lost hosts run again.
const LOSS_MS: u64 = 10_000;
const AWAY_MS: u64 = 700;
const LENGTH_MS: u64 = 40_000;
/// Times of the real hosts: between requests for updates, between reads of the registry, between heartbeats of a leader
/// and of checks whether to stand, the lifetime of a member of the store's group, the limits of a heartbeat and of a
/// read, and the time for which an unusable source is avoided.
const UPDATE_INTERVAL_MS: u64 = 320;
const READ_INTERVAL_MS: u64 = 300;
const HEARTBEAT_MS: u64 = 600;
const CHECK_MS: u64 = 150;
const MEMBER_MS: u64 = 2_000;
const HEARTBEAT_LIMIT_MS: u64 = 1_500;
const READ_SILENCE_MS: u64 = 700;
const AVOID_MS: u64 = 2_000;
/// Rules up to the turns of hosts: age from which each host reads the store, delays of candidates of another region and
/// of small ones, and times without a leader from which keepers and others stand.
const OLD_MAX_AGE_MS: u64 = 1_650;
const OLD_REMOTE_DELAY_MS: u64 = 1_500;
const OLD_SMALL_DELAY_MS: u64 = 1_000;
const OLD_KEEPER_TIMEOUT_MS: u64 = 3_000;
const OLD_TIMEOUT_MS: u64 = 8_000;

/// By which rules hosts read the store and stand for election.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rules {
    /// Each host that is late reads the store and stands. The rules up to the turns of hosts.
    Alone,
    /// The hosts of a zone take turns at equal intervals, and read the whole registry.
    Turns,
    /// The hosts of a zone take turns, of which those for large reads are further and further apart, and read the changes
    /// of a registry that they know.
    Changes,
}

/// What happens in a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Number of hosts.
    pub hosts: usize,
    /// Share of the hosts, the leader among them, that is lost at the same time.
    pub lost: f64,
    /// Number of configurations in series after the loss.
    pub configs: u64,
    /// Time after the loss in which no host gets an answer from another.
    pub silent_ms: u64,
    /// Capacity of all links, as a share of the usual one.
    pub link_share: f64,
    /// By which rules hosts act.
    pub rules: Rules,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// What a simulation measures. Times count from the loss and are `None` if they are not reached by the end.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Recovery {
    /// Time until a host leads.
    pub leader_ms: Option<u64>,
    /// Longest time until the last host knows of an upstream that leaves, from five seconds after the loss on.
    pub registry_ms: u64,
    /// The same for a configuration.
    pub config_ms: u64,
    /// Bytes between the regions after the loss.
    pub far_bytes: f64,
    /// Calls to the store after the loss.
    pub store_calls: u64,
}

#[derive(Debug, Clone, Copy)]
struct Transfer {
    records: Records,
    bytes_left: f64,
    began_ms: u64,
    moved_ms: u64,
    version: u64,
}

#[derive(Debug, Clone, Default)]
struct Host {
    up_since_ms: u64,
    is_up: bool,
    /// When the store had nothing newer than what the host knows; `None` before it knows anything.
    registry_ms: Option<u64>,
    config_ms: Option<u64>,
    fleet_ms: Option<u64>,
    version: u64,
    /// When the store accepted the last known heartbeat of a leader.
    leader_seen_ms: Option<u64>,
    read_ok_ms: Option<u64>,
    has_source: bool,
    next_update_ms: u64,
    update: Option<(usize, f64, u64)>,
    avoided: Vec<(usize, u64)>,
    reads: Vec<Transfer>,
    next_read_ms: [u64; 3],
    next_check_ms: u64,
    paused_until_ms: u64,
    is_member: bool,
    /// When the store's answer to the last heartbeat arrives, and whether it makes the host the leader.
    answer: Option<(u64, bool)>,
    unheard_since_ms: u64,
    leads_until_ms: u64,
}

struct Simulation {
    scenario: Scenario,
    hosts: Vec<Host>,
    rng: fastrand::Rng,
    now_ms: u64,
    /// Members of the store's group and when they were heard last.
    members: Vec<(usize, u64)>,
    /// Member to which the leadership was dealt, and the one that holds it until it is heard again or no longer a member.
    dealt_to: Option<usize>,
    holder: Option<usize>,
    measured: Recovery,
}

/// Runs a scenario.
pub fn simulate(scenario: Scenario) -> Recovery {
    let host = Host {
        is_up: true,
        registry_ms: Some(0),
        config_ms: Some(0),
        fleet_ms: Some(0),
        leader_seen_ms: Some(0),
        has_source: true,
        ..Host::default()
    };
    let measured =
        Recovery { leader_ms: None, registry_ms: 0, config_ms: 0, far_bytes: 0.0, store_calls: 0 };
    let mut simulation = Simulation {
        scenario,
        hosts: vec![host; scenario.hosts],
        rng: fastrand::Rng::with_seed(scenario.seed),
        now_ms: 0,
        members: Vec::new(),
        dealt_to: None,
        holder: None,
        measured,
    };
    for host in &mut simulation.hosts {
        host.next_check_ms = simulation.rng.u64(..HEARTBEAT_MS);
        host.next_update_ms = simulation.rng.u64(..UPDATE_INTERVAL_MS);
    }
    simulation.hosts[0].is_member = true;
    simulation.hosts[0].leads_until_ms = 2_000;
    simulation.run();
    simulation.measured
}

const fn zone(host: usize) -> usize {
    host % ZONES
}

/// Returns whether a host is in another region than the store.
const fn is_far(host: usize) -> bool {
    zone(host) % 2 == 1
}

const RECORDS: [Records; 3] = [Records::Registry, Records::Config, Records::Fleet];

impl Simulation {
    fn run(&mut self) {
        while self.now_ms < LENGTH_MS {
            self.now_ms += STEP_MS;
            if self.now_ms == LOSS_MS {
                self.lose_hosts();
            }
            for index in 0..self.hosts.len() {
                let host = &mut self.hosts[index];
                if !host.is_up {
                    if self.now_ms < host.up_since_ms {
                        continue;
                    }
                    host.is_up = true;
                }
                self.step_update(index);
                self.step_reads(index);
                self.step_election(index);
            }
            self.transfer();
            self.measure();
        }
    }

    /// Ends hosts of all zones, the leader among them.
    fn lose_hosts(&mut self) {
        let mut order: Vec<usize> = (0..self.hosts.len()).collect();
        self.rng.shuffle(&mut order);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "a small number of hosts"
        )]
        let count = (self.hosts.len() as f64 * self.scenario.lost) as usize;
        order.truncate(count);
        order.extend((0..self.hosts.len()).filter(|host| self.leads(*host)));
        let up_since_ms = self.now_ms + AWAY_MS;
        for index in order {
            self.hosts[index] = Host { up_since_ms, ..Host::default() };
        }
    }

    fn leads(&self, index: usize) -> bool {
        let host = &self.hosts[index];
        host.is_up && self.now_ms < host.leads_until_ms
    }

    fn region_link(&self) -> f64 {
        REGION_LINK * self.scenario.link_share
    }

    #[expect(clippy::cast_precision_loss, reason = "a small number of hosts")]
    fn registry_bytes(&self) -> f64 {
        MIN_REGISTRY_BYTES.max(self.hosts.len() as f64 * REGISTRY_BYTES_PER_HOST)
    }

    /// Returns the newest configuration in the store, and when it was written.
    fn stored_config(&self) -> (u64, u64) {
        let first_ms = LOSS_MS - 3 * CONFIG_INTERVAL_MS;
        if self.now_ms < first_ms {
            return (0, 0);
        }
        let count = ((self.now_ms - first_ms) / CONFIG_INTERVAL_MS).min(self.scenario.configs + 2);
        (count + 1, first_ms + count * CONFIG_INTERVAL_MS)
    }

    /// Returns the latency of a small call to the store or another host.
    fn latency_ms(&self, crosses: bool) -> u64 {
        if !crosses {
            return NEAR_MS;
        }
        let far = self.hosts.iter().enumerate().filter(|(index, _)| is_far(*index));
        let queued: f64 = far.map(|(_, host)| queued_bytes(host)).sum();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a few seconds"
        )]
        let queue_ms = (queued / self.region_link()) as u64;
        FAR_MS + queue_ms
    }

    /// Returns the hosts to request updates from, in order of preference. The first host of a zone is its keeper, and host
    /// 0 led at last.
    fn sources(&self, index: usize) -> Vec<usize> {
        let keeper = zone(index);
        let leader = (0..self.hosts.len()).find(|host| self.leads(*host)).unwrap_or(0);
        let is_avoided =
            |host: usize| self.hosts[index].avoided.iter().any(|(other, _)| *other == host);
        let relay = (0..index).find(|host| {
            zone(*host) == keeper
                && *host != keeper
                && self.hosts[*host].is_up
                && !is_avoided(*host)
        });
        let mut sources = if index == keeper { Vec::new() } else { vec![keeper] };
        if self.scenario.rules != Rules::Alone && index != keeper {
            sources.extend(relay);
        }
        sources.push(leader);
        sources.retain(|source| *source != index);
        sources
    }

    fn step_update(&mut self, index: usize) {
        let now_ms = self.now_ms;
        if self.leads(index) {
            return;
        }
        if let Some((source, bytes_left, began_ms)) = self.hosts[index].update {
            if bytes_left <= 0.0 && self.hosts[source].is_up {
                self.apply_update(index, source);
                self.hosts[index].next_update_ms = now_ms + UPDATE_INTERVAL_MS;
            } else if !self.hosts[source].is_up || now_ms > began_ms + 5_000 {
                self.hosts[index].avoided.push((source, now_ms + AVOID_MS));
                self.hosts[index].next_update_ms = now_ms + 200;
            } else {
                return;
            }
            self.hosts[index].update = None;
            return;
        }
        if now_ms < self.hosts[index].next_update_ms {
            return;
        }
        self.hosts[index].avoided.retain(|(_, until)| now_ms < *until);
        let avoided = self.hosts[index].avoided.clone();
        let is_usable = |source: &usize| avoided.iter().all(|(other, _)| other != source);
        let source = self.sources(index).into_iter().find(is_usable);
        let host = &mut self.hosts[index];
        match source {
            Some(source) => {
                let bytes =
                    if host.registry_ms.is_none() { FIRST_UPDATE_BYTES } else { UPDATE_BYTES };
                host.update = Some((source, bytes, now_ms));
            }
            None => {
                host.has_source = false;
                host.next_update_ms = now_ms + 300;
            }
        }
    }

    fn apply_update(&mut self, index: usize, source: usize) {
        let source = self.hosts[source].clone();
        let host = &mut self.hosts[index];
        host.has_source = true;
        host.registry_ms = host.registry_ms.max(source.registry_ms);
        host.fleet_ms = host.fleet_ms.max(source.fleet_ms);
        host.leader_seen_ms = host.leader_seen_ms.max(source.leader_seen_ms);
        if source.config_ms > host.config_ms {
            host.config_ms = source.config_ms;
            host.version = host.version.max(source.version);
        }
    }

    fn wants_to_read(&self, index: usize, records: Records) -> bool {
        let host = &self.hosts[index];
        if self.leads(index) {
            return true;
        }
        let is_keeper = index == zone(index);
        let leader_age = host.leader_seen_ms.map(|at| self.now_ms - at);
        let known_ms = match records {
            Records::Registry => host.registry_ms,
            Records::Config => host.config_ms,
            Records::Fleet => host.fleet_ms,
        };
        let age = |known_ms: Option<u64>| self.now_ms - known_ms.unwrap_or(host.up_since_ms);
        match self.scenario.rules {
            Rules::Alone => {
                let max_age = if records == Records::Fleet { 4_000 } else { OLD_MAX_AGE_MS };
                let lacks_leader = leader_age.is_some_and(|age| age > OLD_KEEPER_TIMEOUT_MS);
                !host.has_source
                    || known_ms.is_none()
                    || age(known_ms) >= max_age
                    || age(host.registry_ms) >= OLD_MAX_AGE_MS
                    || (is_keeper && lacks_leader && records != Records::Fleet)
            }
            Rules::Turns | Rules::Changes => {
                if records != Records::Fleet
                    && host.fleet_ms.is_none()
                    && self.now_ms < host.up_since_ms + 400
                {
                    return false;
                }
                let lacks_leader = election::lacks_leader(leader_age.map(Millis));
                let knowledge = Knowledge {
                    age: Millis(age(known_ms)),
                    registry_age: Millis(age(host.registry_ms)),
                    is_known: known_ms.is_some(),
                    reads_whole: known_ms.is_none(),
                    leader_age: leader_age.map(Millis),
                    has_source: host.has_source,
                    turn: self.turn(index),
                };
                let reads_store = match self.scenario.rules {
                    Rules::Changes => {
                        let limits = Limits::new(EFFECT_TIME, EFFECT_TIME);
                        reading::reads_store(limits, records, &knowledge)
                    }
                    _ => reads_store_at_intervals(records, &knowledge),
                };
                (is_keeper && lacks_leader && records != Records::Fleet) || reads_store
            }
        }
    }

    fn turn(&self, index: usize) -> Turn {
        let number = index / ZONES;
        match u32::try_from(number) {
            Ok(0) | Err(_) => Turn::FIRST,
            Ok(number) => Turn::of_follower(number - 1),
        }
    }

    fn step_reads(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let (stored, _) = self.stored_config();
        for records in RECORDS {
            let slot = records as usize;
            let reading = self.hosts[index].reads.iter().position(|read| read.records == records);
            if let Some(position) = reading {
                let read = self.hosts[index].reads[position];
                let is_silent = now_ms > read.moved_ms + READ_SILENCE_MS;
                let host = &mut self.hosts[index];
                if read.bytes_left <= 0.0 {
                    host.reads.swap_remove(position);
                    host.next_read_ms[slot] = now_ms + READ_INTERVAL_MS;
                    match records {
                        Records::Registry => {
                            host.registry_ms = host.registry_ms.max(Some(read.began_ms));
                            host.read_ok_ms = Some(read.began_ms);
                        }
                        Records::Config => {
                            host.config_ms = host.config_ms.max(Some(read.began_ms));
                            host.version = host.version.max(read.version);
                        }
                        Records::Fleet => host.fleet_ms = host.fleet_ms.max(Some(read.began_ms)),
                    }
                } else if is_silent || now_ms > read.began_ms + 5_000 {
                    host.reads.swap_remove(position);
                    host.next_read_ms[slot] = now_ms + 500;
                }
                continue;
            }
            if now_ms < self.hosts[index].next_read_ms[slot] || !self.wants_to_read(index, records)
            {
                continue;
            }
            let latency_ms = self.latency_ms(is_far(index));
            let registry_bytes = self.registry_bytes();
            let host = &mut self.hosts[index];
            let bytes_left = match records {
                // The log of heartbeats since the last read, or the newest record of each key.
                Records::Registry => {
                    let known_ms = match self.scenario.rules {
                        Rules::Changes => host.registry_ms,
                        _ => host.read_ok_ms.filter(|at| now_ms < at + 1_000),
                    };
                    known_ms
                        .map_or(registry_bytes, |at| (now_ms - at) as f64 * REGISTRY_BYTES_PER_MS)
                }
                Records::Config => {
                    let missing = stored - host.version;
                    let is_newest = host.config_ms.is_none() || missing > 1;
                    match self.scenario.rules {
                        Rules::Changes if is_newest => CONFIG_BYTES * NEWEST_FACTOR,
                        _ => missing as f64 * CONFIG_BYTES,
                    }
                }
                Records::Fleet if host.fleet_ms.is_some() => FLEET_BYTES / 4.0,
                Records::Fleet => FLEET_BYTES,
            };
            let (began_ms, moved_ms) = (now_ms, now_ms + latency_ms);
            let version = stored;
            host.reads.push(Transfer { records, bytes_left, began_ms, moved_ms, version });
            if now_ms > LOSS_MS {
                self.measured.store_calls += 1;
            }
        }
    }

    fn stands(&self, index: usize) -> bool {
        let host = &self.hosts[index];
        let leader_age = host.leader_seen_ms.map(|at| self.now_ms - at);
        let is_keeper = index == zone(index);
        match self.scenario.rules {
            Rules::Alone => {
                let timeout = if is_keeper { OLD_KEEPER_TIMEOUT_MS } else { OLD_TIMEOUT_MS };
                let lacks_leader = leader_age.is_some_and(|age| age > timeout);
                let remote = if is_far(index) { OLD_REMOTE_DELAY_MS } else { 0 };
                let small = if is_keeper { 0 } else { OLD_SMALL_DELAY_MS };
                (lacks_leader || self.wants_to_read(index, Records::Fleet))
                    && self.now_ms >= host.unheard_since_ms + remote + small
            }
            Rules::Turns | Rules::Changes => election::stands(&Candidate {
                leader_age: leader_age.map(Millis),
                uptime: Millis(self.now_ms - host.up_since_ms),
                read_age: host.read_ok_ms.map(|at| Millis(self.now_ms - at)),
                min_latency: Millis(if is_far(index) { FAR_MS } else { NEAR_MS }),
                knows_hosts: host.fleet_ms.is_some(),
                is_small: index != zone(index),
                turn: self.turn(index),
            }),
        }
    }

    fn step_election(&mut self, index: usize) {
        let now_ms = self.now_ms;
        if let Some((at_ms, leads)) = self.hosts[index].answer {
            if now_ms < at_ms {
                return;
            }
            let host = &mut self.hosts[index];
            host.answer = None;
            if leads {
                host.leads_until_ms = now_ms + 1_900;
                host.leader_seen_ms = Some(now_ms);
            }
        }
        if !self.wants_to_read(index, Records::Fleet) {
            self.hosts[index].unheard_since_ms = now_ms;
        }
        if now_ms < self.hosts[index].next_check_ms || now_ms < self.hosts[index].paused_until_ms {
            return;
        }
        let takes_part = self.leads(index) || self.stands(index);
        if !takes_part {
            if self.hosts[index].is_member && self.latency_ms(is_far(index)) < HEARTBEAT_LIMIT_MS {
                self.members.retain(|(member, _)| *member != index);
                self.deal();
            }
            self.hosts[index].is_member = false;
            self.hosts[index].next_check_ms = now_ms + CHECK_MS;
            return;
        }
        let latency_ms = self.latency_ms(is_far(index));
        self.hosts[index].is_member = true;
        self.hosts[index].next_check_ms = now_ms + HEARTBEAT_MS;
        if now_ms > LOSS_MS {
            self.measured.store_calls += 1;
        }
        let is_new = self.members.iter().all(|(member, _)| *member != index);
        self.members.retain(|(member, heard_ms)| *member != index && now_ms < heard_ms + MEMBER_MS);
        self.members.push((index, now_ms));
        let is_member = |host: usize| self.members.iter().any(|(member, _)| *member == host);
        if is_new || self.dealt_to.is_none_or(|dealt_to| !is_member(dealt_to)) {
            self.deal();
        }
        let is_member = |host: usize| self.members.iter().any(|(member, _)| *member == host);
        if self.holder.is_none_or(|holder| holder == index || !is_member(holder)) {
            self.holder = self.dealt_to;
        }
        if latency_ms > HEARTBEAT_LIMIT_MS {
            if self.scenario.rules != Rules::Alone {
                self.hosts[index].paused_until_ms =
                    now_ms + HEARTBEAT_LIMIT_MS + election::FAILED_PAUSE.0;
            }
            self.hosts[index].next_check_ms = now_ms + HEARTBEAT_LIMIT_MS + HEARTBEAT_MS;
            return;
        }
        self.hosts[index].answer = Some((now_ms + latency_ms, self.holder == Some(index)));
    }

    /// Gives the leadership to a member, as the store does after each change of the group.
    fn deal(&mut self) {
        self.dealt_to = self.rng.choice(&self.members).map(|(member, _)| *member);
    }

    /// Moves the bytes of a step on all links.
    fn transfer(&mut self) {
        let far_count = (0..self.hosts.len()).map(|host| self.far_transfers(host)).sum::<usize>();
        #[expect(clippy::cast_precision_loss, reason = "a few hundred transfers")]
        let far_rate = self.region_link() / (far_count.max(1)) as f64;
        let now_ms = self.now_ms;
        let is_silent = (LOSS_MS..LOSS_MS + self.scenario.silent_ms).contains(&now_ms);
        let mut far_bytes = 0.0;
        for index in 0..self.hosts.len() {
            let link = if index < ZONES { FIRST_HOST_LINK } else { HOST_LINK };
            let link = link * self.scenario.link_share;
            let is_far_host = is_far(index);
            let host = &mut self.hosts[index];
            let count = host.reads.len() + usize::from(host.update.is_some());
            #[expect(clippy::cast_precision_loss, reason = "at most four transfers")]
            let own_rate = link / count.max(1) as f64;
            let mut move_bytes = |bytes_left: &mut f64, crosses: bool| {
                let rate = if crosses { own_rate.min(far_rate) } else { own_rate };
                #[expect(clippy::cast_precision_loss, reason = "a few milliseconds")]
                let sent = (rate * STEP_MS as f64).min(bytes_left.max(0.0));
                *bytes_left -= sent;
                if crosses {
                    far_bytes += sent;
                }
            };
            for read in host.reads.iter_mut().filter(|read| now_ms >= read.moved_ms) {
                move_bytes(&mut read.bytes_left, is_far_host);
                read.moved_ms = now_ms;
            }
            if let Some((source, bytes_left, _)) = host.update.as_mut().filter(|_| !is_silent) {
                move_bytes(bytes_left, is_far(*source) != is_far_host);
            }
        }
        if now_ms > LOSS_MS {
            self.measured.far_bytes += far_bytes;
        }
    }

    /// Returns the number of transfers of a host over the link between the regions.
    fn far_transfers(&self, index: usize) -> usize {
        let host = &self.hosts[index];
        let reads = if is_far(index) { host.reads.len() } else { 0 };
        let crosses = host.update.is_some_and(|(source, ..)| is_far(source) != is_far(index));
        reads + usize::from(crosses)
    }

    fn measure(&mut self) {
        if self.now_ms <= LOSS_MS {
            return;
        }
        let is_led = (0..self.hosts.len()).any(|host| self.leads(host));
        if is_led && self.measured.leader_ms.is_none() {
            self.measured.leader_ms = Some(self.now_ms - LOSS_MS);
        }
        if self.now_ms < LOSS_MS + 5_000 + self.scenario.silent_ms {
            return;
        }
        let (stored, stored_ms) = self.stored_config();
        for host in &self.hosts {
            let age = self.now_ms - host.registry_ms.unwrap_or(host.up_since_ms);
            self.measured.registry_ms = self.measured.registry_ms.max(age);
            if host.version < stored {
                // At least since the first configuration that it lacks.
                let missing = stored - host.version - 1;
                let since_ms = stored_ms.saturating_sub(missing * CONFIG_INTERVAL_MS);
                self.measured.config_ms = self.measured.config_ms.max(self.now_ms - since_ms);
            }
        }
    }
}

/// Returns whether a host reads the store by the rules up to the reads of changes.
fn reads_store_at_intervals(records: Records, known: &Knowledge) -> bool {
    let bulk_factor = if known.has_source { 12 } else { 4 };
    let percent = match records {
        Records::Registry => 20.min(5 * known.turn.0),
        Records::Config | Records::Fleet => 5 * known.turn.0 * bulk_factor,
    };
    let wait = Millis(EFFECT_TIME.0 * percent / 100);
    if !known.is_known {
        return known.age >= wait;
    }
    if !known.has_source && known.turn == Turn::FIRST {
        return true;
    }
    let unled_age = Millis(5_000 + EFFECT_TIME.0 * 5 * known.turn.0 * bulk_factor / 100);
    if records == Records::Registry && known.leader_age.is_some_and(|age| age >= unled_age) {
        return true;
    }
    let max_age = Millis(if records == Records::Fleet { 4_000 } else { OLD_MAX_AGE_MS });
    known.age >= max_age + wait || known.registry_age >= Millis(OLD_MAX_AGE_MS) + wait
}

/// Returns the bytes of a host's reads that wait for the link between the regions.
fn queued_bytes(host: &Host) -> f64 {
    host.reads.iter().map(|read| read.bytes_left.clamp(0.0, WINDOW)).sum()
}
