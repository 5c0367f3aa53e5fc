//! Hosts that read the store, follow each other and answer requests, in virtual time.

use super::{APPLY_MS, Operator, ROUTES, Request, Version};
use fastrand::Rng;
use skylarkdock_freshness::earlier_configs::EarlierConfigs;
use skylarkdock_freshness::final_answers::{ConfigFault, Evidence, FinalAnswer, Unproven};
use skylarkdock_freshness::proof;
use skylarkdock_freshness::versions::{Claim, KnownVersions, Origin, Proof};
use skylarkdock_units::times::{HostTime, Millis};

const STEP_MS: u64 = 10;
const HOSTS: usize = 3;
const END_MS: u64 = 50_000;
/// Readings of the hosts' clocks at the start; clocks of hosts can't be compared.
const CLOCKS_AT_START: [u64; HOSTS] = [100_000, 2_000_000, 77_777];

/// Message under way.
#[derive(Debug, Clone)]
enum Message {
    /// The store's answer to a read that began at a time of the reader's clock: the index of the newest version.
    Read { asked_at: HostTime, newest: usize },
    /// Question of another host for updates.
    Ask { from: usize, asked_at: HostTime },
    /// The host answers a question that came at a time of its clock.
    Respond { from: usize, asked_at: HostTime, received_at: HostTime },
    /// Another host's version and the age of its proof, after it held the question for some time.
    Update { asked_at: HostTime, waited: Millis, age: Millis, known: usize },
    /// Claims of versions by another host.
    Notice(Vec<Claim>),
    /// The control thread tells the traffic thread to apply a version.
    Apply(usize),
}

/// Host with what its two threads know. Versions are indices into the operator's list.
#[derive(Debug)]
struct Host {
    known: Option<usize>,
    applied: Option<usize>,
    proof: Proof,
    versions: KnownVersions,
    earlier: EarlierConfigs<usize>,
    /// Newest version that the host was told of since its start.
    told: u64,
    /// Number of starts; messages to an earlier one are lost.
    starts: u32,
    is_frozen_until: u64,
}

impl Host {
    fn new(index: usize, starts: u32) -> Self {
        let own = Origin(u32::try_from(index).unwrap_or_default());
        Self {
            known: None,
            applied: None,
            proof: Proof::default(),
            versions: KnownVersions::new(own),
            earlier: EarlierConfigs::new(Millis(APPLY_MS)),
            told: 0,
            starts,
            is_frozen_until: 0,
        }
    }
}

/// How often something happened that a check or a safeguard is about.
#[derive(Debug, Default, Clone, Copy)]
pub struct Counts {
    no_route: u64,
    not_allowed: u64,
    proof_too_old: u64,
    newer_proven: u64,
    newer_known: u64,
    earlier_allows: u64,
    earlier_unknown: u64,
    rejected_records: u64,
    restarts: u64,
    passed_on: u64,
}

impl Counts {
    pub const fn add(&mut self, other: &Self) {
        self.no_route += other.no_route;
        self.not_allowed += other.not_allowed;
        self.proof_too_old += other.proof_too_old;
        self.newer_proven += other.newer_proven;
        self.newer_known += other.newer_known;
        self.earlier_allows += other.earlier_allows;
        self.earlier_unknown += other.earlier_unknown;
        self.rejected_records += other.rejected_records;
        self.restarts += other.restarts;
        self.passed_on += other.passed_on;
    }

    /// Returns whether everything happened at least once.
    pub const fn has_all(&self) -> bool {
        let refusals = self.proof_too_old > 0
            && self.newer_proven > 0
            && self.newer_known > 0
            && self.earlier_allows > 0
            && self.earlier_unknown > 0;
        let faults = self.rejected_records > 0 && self.restarts > 0 && self.passed_on > 0;
        refusals && faults && self.no_route > 0 && self.not_allowed > 0
    }
}

/// One case.
pub struct Simulation {
    rng: Rng,
    now: u64,
    operator: Operator,
    hosts: Vec<Host>,
    /// Messages with the time of their arrival, the host and its start.
    under_way: Vec<(u64, usize, u32, Message)>,
    /// Reads of the store fail until then.
    store_away_until: u64,
    pub counts: Counts,
}

impl Simulation {
    pub fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let operator = Operator::new(&mut rng, END_MS);
        let hosts = (0..HOSTS).map(|index| Host::new(index, 0)).collect();
        let counts = Counts::default();
        Self { rng, now: 0, operator, hosts, under_way: Vec::new(), store_away_until: 0, counts }
    }

    pub fn step(&mut self) -> Result<(), String> {
        self.now += STEP_MS;
        self.deliver();
        if self.rng.u32(..2_000) == 0 {
            self.store_away_until = self.now + self.rng.u64(500..8_000);
        }
        for host in 0..HOSTS {
            self.disturb(host);
            if self.hosts[host].is_frozen_until <= self.now {
                self.exchange(host);
                for _ in 0..2 {
                    self.request(host)?;
                }
            }
        }
        Ok(())
    }

    fn clock(&self, host: usize) -> HostTime {
        HostTime(CLOCKS_AT_START[host] + self.now)
    }

    fn send(&mut self, host: usize, max_delay: u64, message: Message) {
        let at = self.now + self.rng.u64(1..=max_delay);
        self.under_way.push((at, host, self.hosts[host].starts, message));
    }

    /// Restarts or freezes a host from time to time.
    fn disturb(&mut self, host: usize) {
        match self.rng.u32(..4_000) {
            0 => {
                self.hosts[host] = Host::new(host, self.hosts[host].starts + 1);
                self.counts.restarts += 1;
            }
            1 => self.hosts[host].is_frozen_until = self.now + self.rng.u64(100..4_000),
            _ => {}
        }
    }

    /// Lets a host read the store, ask another host or tell it of versions.
    fn exchange(&mut self, host: usize) {
        let now = self.clock(host);
        let other = (host + self.rng.usize(1..HOSTS)) % HOSTS;
        match self.rng.u8(..) {
            0..4 if self.now >= self.store_away_until => {
                let answered_at = self.now + self.rng.u64(0..200);
                if let Some(newest) = self.operator.count_readable(answered_at).checked_sub(1) {
                    let late = if self.rng.u8(..) < 20 { 3_000 } else { 100 };
                    let at = answered_at + self.rng.u64(1..late);
                    let message = Message::Read { asked_at: now, newest };
                    self.under_way.push((at, host, self.hosts[host].starts, message));
                }
            }
            10..16 => self.send(other, 200, Message::Ask { from: host, asked_at: now }),
            20..30 => {
                let claims = self.hosts[host].versions.claims_to_tell(now);
                self.send(other, 100, Message::Notice(claims));
            }
            _ => {}
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let hosts = &self.hosts;
        let is_due = |(at, host, _, _): &(u64, usize, u32, Message)| {
            *at <= now && hosts[*host].is_frozen_until <= now
        };
        let (due, rest) = self.under_way.drain(..).partition(is_due);
        self.under_way = rest;
        let mut due: Vec<(u64, usize, u32, Message)> = due;
        due.sort_by_key(|(at, ..)| *at);
        for (_, host, starts, message) in due {
            if self.hosts[host].starts == starts {
                self.receive(host, message);
            }
        }
    }

    fn receive(&mut self, host: usize, message: Message) {
        let now = self.clock(host);
        match message {
            Message::Read { asked_at, newest } => self.learn(host, newest, asked_at),
            Message::Ask { from, asked_at } => {
                self.send(host, 1_000, Message::Respond { from, asked_at, received_at: now });
            }
            Message::Respond { from, asked_at, received_at } => {
                if let Some(known) = self.hosts[host].known {
                    let (waited, age) =
                        (now.since(received_at), now.since(self.hosts[host].proof.at));
                    self.send(from, 200, Message::Update { asked_at, waited, age, known });
                }
            }
            Message::Update { asked_at, waited, age, known } => {
                self.counts.passed_on += 1;
                self.learn(host, known, proof::passed_on(asked_at, waited, age));
            }
            Message::Notice(claims) => {
                let told = claims.iter().map(|claim| claim.version).max().unwrap_or_default();
                self.hosts[host].told = self.hosts[host].told.max(told);
                for claim in claims {
                    self.hosts[host].versions.on_claim(claim, now);
                }
            }
            Message::Apply(index) => {
                let version = self.operator.versions[index].number;
                let state = &mut self.hosts[host];
                if state.applied.is_none_or(|applied| applied < index) {
                    state.versions.on_in_force(version, now, now);
                    state.earlier.on_applied(state.applied, now);
                    state.applied = Some(index);
                }
            }
        }
    }

    /// Takes a version that was the newest at a time, if the host can read it.
    fn learn(&mut self, host: usize, index: usize, proven_at: HostTime) {
        if !self.operator.versions[index].is_readable_by(host) {
            self.counts.rejected_records += 1;
            return;
        }
        let state = &mut self.hosts[host];
        let known = state.known.map_or(index, |known| known.max(index));
        let version = self.operator.versions[known].number;
        state.proof.at = state.proof.at.max(proven_at);
        state.proof.version = state.proof.version.max(version);
        if state.known != Some(known) {
            state.known = Some(known);
            let max_delay = if self.rng.u8(..) < 30 { 900 } else { 20 };
            self.send(host, max_delay, Message::Apply(known));
        }
    }

    /// Sends a request to a host and checks its answer.
    fn request(&mut self, host: usize) -> Result<(), String> {
        let req = Request {
            route: self.rng.usize(..=ROUTES),
            has_key: self.rng.u8(..) < 90,
            size: *self.rng.choice(&[5, 50, 150]).unwrap(),
        };
        let answer = match self.judge(host, req) {
            None => return Ok(()),
            Some(Ok(answer)) => answer,
            Some(Err(unproven)) => {
                self.count_refusal(unproven);
                return Ok(());
            }
        };
        let in_force = self.operator.in_force(self.now);
        let state = &self.hosts[host];
        let applied = state.applied.map_or(0, |index| self.operator.versions[index].number);
        let fail = |what: &str, version: &Version| {
            let now = self.now;
            Err(format!(
                "{now} ms: host {host} with {state:?} answers {answer:?} to {req:?}, {what} {version:?}"
            ))
        };
        if in_force.iter().all(|version| version.allows(req)) {
            return fail("which all allow:", in_force[0]);
        }
        let is_newer_told = |version: &&&Version| {
            version.number > applied && version.number <= state.told && version.allows(req)
        };
        if let Some(version) = in_force.iter().find(is_newer_told) {
            return fail("which a newer one allows that it was told of:", version);
        }
        if answer.is_no_route() {
            self.counts.no_route += 1;
            return Ok(());
        }
        let is_earlier = |version: &&&Version| version.number < applied && version.allows(req);
        if let Some(version) = in_force.iter().find(is_earlier) {
            return fail("which an earlier one allows:", version);
        }
        self.counts.not_allowed += 1;
        Ok(())
    }

    /// Judges a request as a host does; `None` if it is routed.
    fn judge(&self, host: usize, req: Request) -> Option<Result<FinalAnswer, Unproven>> {
        let state = &self.hosts[host];
        let Some(index) = state.applied else { return Some(Err(Unproven::NoConfig)) };
        let version = &self.operator.versions[index];
        let evidence = Evidence {
            applied: version.number,
            proof: state.proof,
            newest_known: state.versions.newest_unrefuted(state.proof),
            apply_time: Millis(APPLY_MS),
        };
        let now = self.clock(host);
        let not_allowed = |fault, allows: &dyn Fn(&Version) -> bool| {
            let current = evidence.prove(now)?;
            let allows = |earlier: &usize| allows(&self.operator.versions[*earlier]);
            let none = state.earlier.prove_none_allows(now, allows)?;
            Ok(FinalAnswer::not_allowed(fault, current, none))
        };
        if !version.is_size_allowed(req.size) {
            let allows = |earlier: &Version| earlier.is_size_allowed(req.size);
            return Some(not_allowed(ConfigFault::BodyTooLong, &allows));
        }
        if !version.has_route(req.route) {
            return Some(evidence.prove(now).map(FinalAnswer::no_route));
        }
        if !req.has_key && !version.takes_without_key(req.route) {
            let allows = |earlier: &Version| earlier.takes_without_key(req.route);
            return Some(not_allowed(ConfigFault::NoKey, &allows));
        }
        None
    }

    const fn count_refusal(&mut self, unproven: Unproven) {
        match unproven {
            Unproven::NoConfig => {}
            Unproven::ProofTooOld => self.counts.proof_too_old += 1,
            Unproven::NewerProven => self.counts.newer_proven += 1,
            Unproven::NewerKnown => self.counts.newer_known += 1,
            Unproven::EarlierAllows => self.counts.earlier_allows += 1,
            Unproven::EarlierUnknown => self.counts.earlier_unknown += 1,
        }
    }
}
