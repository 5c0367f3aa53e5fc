//! Fleets in virtual time in which all hosts are told of a version at the same time and their sources of updates are silent:
//! how soon all have it, and what crosses the link between the regions.

use rstest::rstest;
use skylarkdock_freshness::fetching::{
    Distance, FarTurn, Fetching, RecentAnswers, Step, UrgentAge,
};
use skylarkdock_freshness::versions::Origin;
use skylarkdock_units::times::{HostTime, Millis};

const HOSTS: usize = 295;
const ZONES: usize = 8;
const APPLY_TIME: Millis = Millis(3_000);
/// Time from the age at which a version is asked for to the one at which hosts without it refuse requests.
const UNTIL_REFUSAL_MS: u64 = 900;
/// Time within which updates bring a configuration of 5,000 routes to all hosts: half of the time in which it has to be in
/// force.
const UPDATE_GOAL_MS: u64 = 1_500;
/// Answers to the hosts of the first two turns in asking another region.
const MAX_FAR_ANSWERS: f64 = 12.0;
const START: HostTime = HostTime(100_000);
const STEP_MS: u64 = 5;
const MAX_TIME_MS: u64 = 20_000;
/// Free capacity of links in bytes a millisecond: of the largest host of each zone, of the other hosts, and between the
/// regions, where requests take half of 30 Mbit/s.
const RELAY_LINK: f64 = 6_250.0;
const HOST_LINK: f64 = 625.0;
const REGION_LINK: f64 = 1_875.0;
/// Time that a call takes without its transfer, which opens a connection first.
const NEAR_CALL_MS: u64 = 5;
const FAR_CALL_MS: u64 = 120;
/// Interval of notices to the own region, and of those to other regions once the first ones were sent.
const NOTICE_MS: u64 = 150;
const FAR_NOTICE_MS: u64 = 750;
const TOTAL_MS: u64 = 3_000;

const fn zone(host: usize) -> usize {
    host % ZONES
}

const fn is_far(a: usize, b: usize) -> bool {
    zone(a) % 2 != zone(b) % 2
}

fn origin(host: usize) -> Origin {
    Origin(u32::try_from(host).unwrap_or_default() + 1)
}

fn host_of(origin: Origin) -> usize {
    origin.0 as usize - 1
}

struct Call {
    source: usize,
    began_ms: u64,
    /// When the request arrives, and the bytes left from then on.
    answered_ms: u64,
    bytes_left: Option<f64>,
}

struct Host {
    fetching: Fetching,
    answers: RecentAnswers,
    call: Option<Call>,
    /// When the host got the version.
    got_ms: Option<u64>,
}

struct Fleet {
    hosts: Vec<Host>,
    answer_bytes: f64,
    silent: Vec<usize>,
    now_ms: u64,
    far_calls: u32,
    far_bytes: f64,
    most_answers: usize,
}

impl Fleet {
    /// Creates a fleet in which the first hosts have a version, of which some answer no calls.
    fn new(holders: usize, silent: Vec<usize>, answer_bytes: f64) -> Self {
        let host = |index| {
            let mut fetching = Fetching::new(origin(index), UrgentAge::new(APPLY_TIME));
            fetching.on_in_force(1);
            let got_ms = (index < holders).then_some(0);
            Host { fetching, answers: RecentAnswers::default(), call: None, got_ms }
        };
        Self {
            hosts: (0..HOSTS).map(host).collect(),
            answer_bytes,
            silent,
            now_ms: 0,
            far_calls: 0,
            far_bytes: 0.0,
            most_answers: 0,
        }
    }

    fn now(&self) -> HostTime {
        START + Millis(self.now_ms)
    }

    /// Returns when the last host got the version.
    fn run(&mut self) -> u64 {
        while self.hosts.iter().any(|host| host.got_ms.is_none()) {
            assert!(self.now_ms < MAX_TIME_MS, "not all hosts have the version");
            self.tell();
            (0..HOSTS).for_each(|host| self.step(host));
            self.transfer();
            self.now_ms += STEP_MS;
        }
        self.hosts.iter().filter_map(|host| host.got_ms).max().unwrap_or_default()
    }

    /// Sends the notices that are due.
    fn tell(&mut self) {
        for teller in 0..HOSTS {
            let Some(got_ms) = self.hosts[teller].got_ms else { continue };
            let age = self.now_ms - got_ms;
            if !age.is_multiple_of(NOTICE_MS) {
                continue;
            }
            let includes_far = age <= NOTICE_MS || age.is_multiple_of(FAR_NOTICE_MS);
            let now = self.now();
            for host in (0..HOSTS).filter(|host| includes_far || !is_far(teller, *host)) {
                let since = START - Millis(1_800);
                self.hosts[host].fetching.on_claim(origin(teller), 2, since, now);
            }
        }
    }

    fn step(&mut self, index: usize) {
        let (now, now_ms) = (self.now(), self.now_ms);
        if let Some(Call { source, began_ms, answered_ms, bytes_left }) = self.hosts[index].call {
            let is_given_up =
                now_ms >= began_ms + TOTAL_MS || (bytes_left.is_none() && now_ms >= began_ms + 250);
            if bytes_left.is_some_and(|bytes| bytes <= 0.0) {
                let host = &mut self.hosts[index];
                (host.call, host.got_ms) = (None, Some(now_ms));
                host.fetching.on_in_force(2);
            } else if bytes_left.is_none()
                && now_ms >= answered_ms
                && !self.silent.contains(&source)
            {
                self.answer(index, source);
            } else if is_given_up {
                self.fail(index, source);
            }
            return;
        }
        if self.hosts[index].got_ms.is_some() {
            return;
        }
        let region = (0..HOSTS).filter(|host| *host != index && !is_far(*host, index));
        let turn = FarTurn::new(origin(index), region.map(origin), 2);
        let place = |of: Origin| {
            let host = host_of(of);
            let distance = if zone(host) == zone(index) {
                Distance::Zone
            } else if is_far(host, index) {
                Distance::Far
            } else {
                Distance::Region
            };
            Some((distance, host))
        };
        if let Step::Ask(source) = self.hosts[index].fetching.next(place, turn, now) {
            let takes = if is_far(source, index) { FAR_CALL_MS } else { NEAR_CALL_MS };
            self.far_calls += u32::from(is_far(source, index));
            self.hosts[index].call = Some(Call {
                source,
                began_ms: now_ms,
                answered_ms: now_ms + takes,
                bytes_left: None,
            });
        }
    }

    fn answer(&mut self, index: usize, source: usize) {
        let now = self.now();
        let has_it = self.hosts[source].got_ms.is_some();
        if !has_it {
            self.fail(index, source);
            return;
        }
        if !self.hosts[source].answers.admits(is_far(source, index), now) {
            let host = &mut self.hosts[index];
            host.call = None;
            host.fetching.on_busy(origin(source), now);
            return;
        }
        self.hosts[source].answers.record(self.answer_bytes as usize, is_far(source, index), now);
        if let Some(call) = &mut self.hosts[index].call {
            call.bytes_left = Some(self.answer_bytes);
        }
    }

    fn fail(&mut self, index: usize, source: usize) {
        let now = self.now();
        let host = &mut self.hosts[index];
        host.call = None;
        host.fetching.on_failure(origin(source), now);
    }

    /// Moves the bytes of a step. Transfers share each link equally.
    fn transfer(&mut self) {
        let active = self.hosts.iter().enumerate().filter_map(|(index, host)| {
            let call = host.call.as_ref()?;
            call.bytes_left.filter(|bytes| *bytes > 0.0)?;
            Some((index, call.source))
        });
        let active: Vec<(usize, usize)> = active.collect();
        let sends = |host| active.iter().filter(|(_, source)| *source == host).count();
        let crossing = active.iter().filter(|(host, source)| is_far(*host, *source)).count();
        let link = |host| if host < ZONES { RELAY_LINK } else { HOST_LINK };
        let most = (0..HOSTS).map(sends).max().unwrap_or_default();
        self.most_answers = self.most_answers.max(most);
        for (index, source) in &active {
            let mut rate = link(*index).min(link(*source) / sends(*source) as f64);
            if is_far(*index, *source) {
                rate = rate.min(REGION_LINK / crossing as f64);
            }
            let Some(call) = &mut self.hosts[*index].call else { continue };
            let Some(bytes_left) = &mut call.bytes_left else { continue };
            let sent = (rate * STEP_MS as f64).min(*bytes_left);
            *bytes_left -= sent;
            if is_far(*index, *source) {
                self.far_bytes += sent;
            }
        }
    }
}

/// Guards against a link between regions that is full as all hosts of a region ask another one, and against hosts that get a
/// version too late.
#[rstest]
#[case::difference(1, vec![], 2_000.0, UNTIL_REFUSAL_MS)]
#[case::one_of_two_is_silent(2, vec![0], 2_000.0, UNTIL_REFUSAL_MS)]
#[case::whole_configuration(1, vec![], 75_000.0, UPDATE_GOAL_MS)]
#[case::whole_configuration_in_both_regions(2, vec![], 75_000.0, UPDATE_GOAL_MS)]
fn all_hosts_have_a_version_in_time_and_few_ask_another_region(
    #[case] holders: usize,
    #[case] silent: Vec<usize>,
    #[case] answer_bytes: f64,
    #[case] goal_ms: u64,
) {
    let mut fleet = Fleet::new(holders, silent, answer_bytes);
    let last_ms = fleet.run();
    let (calls, bytes, most) = (fleet.far_calls, fleet.far_bytes, fleet.most_answers);
    println!(
        "{answer_bytes} B: last host {last_ms} ms, {calls} calls and {bytes} B between regions, at most {most} answers at once"
    );
    assert!(last_ms <= goal_ms, "last host after {last_ms} ms");
    assert!(bytes <= MAX_FAR_ANSWERS * answer_bytes + 1.0, "{bytes} bytes between the regions");
}
