//! Changes of owners and renewals, step by step, with one leader and one keeper.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_spans::end::{GrantEnd, NotEnded};
use skylarkdock_spans::leader::{Action, Inputs, Leader};
use skylarkdock_spans::plan::Candidate;
use skylarkdock_spans::renewal::{CallEnd, Connection, Grant, Purpose, Renewals};
use skylarkdock_spans::restored::MIN_FIRST_TABLE_UPTIME;
use skylarkdock_spans::table::{FencingToken, Holder, Keeper, Table};
use skylarkdock_spans::timing::Timing;
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::measures::HostSize;
use skylarkdock_units::times::{HostTime, Millis};

const TIMING: Timing =
    Timing { hold: Millis(3_000), call_timeout: Millis(400), proof_lifetime: Millis(14_000) };

fn holder(name: &str) -> Holder {
    Holder {
        id: name.parse().unwrap(),
        born: 1,
        addr: ([127, 0, 0, 1], 9_000).into(),
        region: "r".parse().unwrap(),
    }
}

fn inputs(names: &[&str]) -> Inputs {
    let keeper = Keeper {
        host: "h".parse().unwrap(),
        zone: "z".parse().unwrap(),
        region: "r".parse().unwrap(),
        size: HostSize(200),
    };
    Inputs {
        candidates: names
            .iter()
            .map(|name| Candidate { holder: holder(name), capacity: 20.0 })
            .collect(),
        hosts: vec![keeper],
        uptime: MIN_FIRST_TABLE_UPTIME,
        ..Inputs::default()
    }
}

struct Fixture {
    leader: Leader,
    renewals: Renewals,
    now: HostTime,
}

impl Fixture {
    /// Creates a leader and a keeper of a table whose spans are all granted to two upstreams.
    fn new() -> Self {
        let start = HostTime(100_000);
        let leader = Leader::new("h".parse().unwrap(), "s".parse().unwrap(), TIMING, None);
        let renewals =
            Renewals::new("h".parse().unwrap(), "r".parse().unwrap(), TIMING, HostTime(1));
        let mut fixture = Self { leader, renewals, now: start };
        for _ in 0..200 {
            for action in fixture.tick(&["a", "b"]) {
                fixture.carry_out(action);
            }
        }
        assert!(!fixture.leader.table().unwrap().has_pending_spans());
        fixture
    }

    fn tick(&mut self, names: &[&str]) -> Vec<Action> {
        self.now = self.now + Millis(50);
        self.leader.tick(&inputs(names), self.now)
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Write(table) => {
                self.renewals.adopt(table.clone());
                self.renewals.prove(self.now);
                self.leader.on_written(table, true, self.now);
            }
            Action::Grant(grant) => {
                assert!(self.renewals.confirm_send(
                    &grant,
                    Purpose::Move,
                    Connection::Open,
                    self.now
                ));
                self.leader.on_granted(&grant, CallEnd::Done, self.now);
            }
            Action::Release(release) => {
                self.leader.on_released(
                    &release,
                    Ok(GrantEnd::released(Some("state".to_owned()))),
                    self.now,
                );
            }
            Action::RequestAck(_) => self.leader.on_ack(self.renewals.ack(self.now), self.now),
        }
    }

    /// Removes upstream `b`, which answers no release, and runs the leader for some ticks, with or without the keeper's
    /// acknowledgements. Returns when the leader first granted keys of `b` to `a`.
    fn first_grant_at(&mut self, ticks: u32, has_acks: bool) -> Option<HostTime> {
        let mut granted_at = None;
        for _ in 0..ticks {
            for action in self.tick(&["a"]) {
                match action {
                    Action::Release(release) => {
                        self.leader.on_released(&release, Err(NotEnded::Unknown), self.now);
                    }
                    Action::Grant(grant) => {
                        granted_at.get_or_insert(self.now);
                        self.leader.on_granted(&grant, CallEnd::Done, self.now);
                    }
                    Action::RequestAck(_) if !has_acks => {}
                    other => self.carry_out(other),
                }
            }
        }
        granted_at
    }
}

/// Each refusal costs the upstream a release and a request for its id; they came some 20 times for each span.
#[test]
fn a_refused_release_is_not_repeated_at_the_pace_of_an_unanswered_one() {
    // 4 s, in which no keeper acknowledges the change, so that the leader goes on waiting.
    const TICKS: u32 = 80;
    let sent = |reason: NotEnded| {
        let mut fixture = Fixture::new();
        let mut sent: FastMap<u16, u32> = FastMap::default();
        for _ in 0..TICKS {
            for action in fixture.tick(&["a"]) {
                match action {
                    Action::Release(release) => {
                        *sent.entry(release.first).or_default() += 1;
                        fixture.leader.on_released(&release, Err(reason), fixture.now);
                    }
                    Action::RequestAck(_) => {}
                    other => fixture.carry_out(other),
                }
            }
        }
        sent.into_values().max().unwrap_or_default()
    };
    assert!(sent(NotEnded::Unknown) > 10);
    let refused = sent(NotEnded::Refused);
    assert!((1..=6).contains(&refused), "{refused} releases of one span");
}

#[test]
fn a_change_is_recorded_before_anything_is_sent() {
    let mut fixture = Fixture::new();
    let actions = fixture.tick(&["a"]);
    assert!(matches!(actions.as_slice(), [Action::Write(_)]), "{actions:?}");
}

#[test]
fn the_new_owner_gets_the_former_holders_handover() {
    let mut fixture = Fixture::new();
    for action in fixture.tick(&["a"]) {
        fixture.carry_out(action);
    }
    let releases = fixture.tick(&["a"]);
    assert!(releases.iter().all(|action| matches!(action, Action::Release(_))), "{releases:?}");
    assert!(!releases.is_empty());
    for action in releases {
        fixture.carry_out(action);
    }
    let grants = fixture.tick(&["a"]);
    for action in &grants {
        let Action::Grant(grant) = action else { panic!("{action:?}") };
        assert_eq!(grant.handover.as_deref(), Some("state"));
        assert_eq!(grant.holder, holder("a"));
    }
    assert!(!grants.is_empty());
}

/// Granting the keys of a holder that answers no release before its last renewal has expired would give them two
/// holders.
#[test]
fn keys_of_an_unreachable_holder_are_granted_after_its_grant_expires() {
    let mut fixture = Fixture::new();
    fixture.renewals.prove(fixture.now);
    let renewals = fixture.renewals.due_renewals(fixture.now);
    assert!(renewals.iter().any(|grant| grant.holder == holder("b")));
    let renewed_at = fixture.now;
    let granted_at = fixture.first_grant_at(400, true);
    let waited = granted_at.unwrap().since(renewed_at);
    assert!(waited >= TIMING.grant_expiry(), "{waited}");
    assert!(waited <= TIMING.grant_expiry() + Millis(700), "{waited}");
}

/// A keeper that has not acknowledged the new table may renew old grants until its proof expires, so the keys must not
/// be granted before that.
#[test]
fn keys_are_not_granted_before_the_proof_of_a_silent_keeper_expires() {
    let mut fixture = Fixture::new();
    let started = fixture.now;
    let granted_at = fixture.first_grant_at(500, false);
    assert!(granted_at.unwrap().since(started) >= TIMING.expiry_without_acks());
}

/// A keeper that has not heard of a restart may renew for the earlier incarnation, and the later one would take that.
#[test]
fn keys_are_released_at_a_later_incarnation_at_the_same_address() {
    let earlier = holder("b");
    // The later incarnation is not listed as able to own keys yet.
    let mut fixture = Fixture::new();
    let mut released = Vec::new();
    for _ in 0..20 {
        for action in fixture.tick(&["a"]) {
            match action {
                Action::Grant(grant) => panic!("granted before the release: {grant:?}"),
                Action::Release(release) => released.push(release.holder),
                other => fixture.carry_out(other),
            }
        }
    }
    assert!(!released.is_empty() && released.iter().all(|holder| *holder == earlier));
}

/// The start in an entry is what its writer claims, and the upstream may still hold its keys at the former address.
#[test]
fn keys_are_released_at_the_former_address_before_a_later_incarnation_elsewhere_is_granted_them() {
    let earlier = holder("b");
    let later =
        Holder { born: earlier.born + 1, addr: ([127, 0, 0, 1], 9_999).into(), ..earlier.clone() };
    let mut fixture = Fixture::new();
    let mut inputs = inputs(&["a"]);
    inputs.candidates.push(Candidate { holder: later, ..inputs.candidates[0].clone() });
    let mut released = Vec::new();
    for _ in 0..20 {
        fixture.now = fixture.now + Millis(50);
        for action in fixture.leader.tick(&inputs, fixture.now) {
            match action {
                Action::Grant(grant) => panic!("granted before the release: {grant:?}"),
                Action::Release(release) => released.push(release.holder),
                other => fixture.carry_out(other),
            }
        }
    }
    assert!(!released.is_empty() && released.iter().all(|holder| *holder == earlier));
}

/// A keeper that another one of its availability zone replaced has sent grants that its successor knows nothing of.
#[test]
fn keys_are_not_granted_before_the_grants_of_a_replaced_keeper_expire() {
    let keeper = |host: &str, zone: &str| Keeper {
        host: host.parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: "r".parse().unwrap(),
        size: HostSize(200),
    };
    let hosts = ["h", "first", "second"];
    let mut renewals: Vec<Renewals> = hosts
        .iter()
        .map(|host| Renewals::new(host.parse().unwrap(), "r".parse().unwrap(), TIMING, HostTime(1)))
        .collect();
    let mut leader = Leader::new("h".parse().unwrap(), "s".parse().unwrap(), TIMING, None);
    let mut now = HostTime(100_000);
    let mut last_sent_at = now;
    let mut granted_at = None;
    for tick in 0..400 {
        now = now + Millis(50);
        let is_replaced = tick >= 200;
        let names: &[&str] = if tick < 240 { &["a", "b"] } else { &["a"] };
        let zone_host = if is_replaced { "second" } else { "first" };
        let inputs =
            Inputs { hosts: vec![keeper("h", "z"), keeper(zone_host, "y")], ..inputs(names) };
        for action in leader.tick(&inputs, now) {
            match action {
                Action::Write(table) => {
                    renewals.iter_mut().for_each(|renewals| renewals.adopt(table.clone()));
                    leader.on_written(table, true, now);
                }
                Action::RequestAck(host) => {
                    let index = hosts.iter().position(|name| *name == host.as_str()).unwrap();
                    leader.on_ack(renewals[index].ack(now), now);
                }
                Action::Release(release) => {
                    leader.on_released(&release, Err(NotEnded::Unknown), now);
                }
                Action::Grant(grant) => {
                    if tick >= 240 {
                        granted_at.get_or_insert(now);
                    }
                    leader.on_granted(&grant, CallEnd::Done, now);
                }
            }
        }
        // Only the first keeper renews grants of `b`, up to its replacement.
        renewals[1].prove(now);
        if renewals[1].due_renewals(now).iter().any(|grant| grant.holder == holder("b")) {
            last_sent_at = now;
        }
    }
    let granted_at = granted_at.unwrap();
    assert!(
        granted_at.since(last_sent_at) >= TIMING.grant_expiry(),
        "{granted_at}, {last_sent_at}"
    );
}

#[test]
fn refused_writes_are_repeated_with_pauses() {
    let mut fixture = Fixture::new();
    let mut writes = 0;
    for _ in 0..100 {
        for action in fixture.tick(&["a"]) {
            if let Action::Write(table) = action {
                writes += 1;
                fixture.leader.on_written(table, false, fixture.now);
            }
        }
    }
    // 100 ticks of 50 ms in which every write is refused.
    assert!((2..=8).contains(&writes), "{writes}");
}

#[test]
fn a_keeper_without_recent_proof_sends_no_renewals() {
    let mut fixture = Fixture::new();
    fixture.renewals.prove(fixture.now);
    assert!(!fixture.renewals.due_renewals(fixture.now).is_empty());
    let late = fixture.now + TIMING.proof_lifetime;
    assert!(fixture.renewals.due_renewals(late).is_empty());
}

/// The next leader counts a grant of a replaced table as expired once the proof of its sender must have expired.
#[test]
fn a_leader_without_recent_proof_sends_no_grant() {
    let mut fixture = Fixture::new();
    let mut grants = Vec::new();
    for _ in 0..100 {
        for action in fixture.tick(&["a"]) {
            match action {
                Action::Grant(grant) => grants.push(grant),
                other => fixture.carry_out(other),
            }
        }
    }
    let grant = grants.first().unwrap();
    assert!(fixture.renewals.confirm_send(grant, Purpose::Move, Connection::Open, fixture.now));
    let late = fixture.now + TIMING.proof_lifetime;
    assert!(!fixture.renewals.confirm_send(grant, Purpose::Move, Connection::Open, late));
}

/// A renewal or grant that waited for another call must not be sent after its keys got another owner.
#[test]
fn a_grant_of_a_replaced_table_is_not_sent() {
    let mut fixture = Fixture::new();
    let due = fixture.renewals.due_renewals(fixture.now);
    let grant = due.iter().find(|grant| grant.holder == holder("b")).unwrap();
    assert!(fixture.renewals.confirm_send(grant, Purpose::Renewal, Connection::Open, fixture.now));
    fixture.first_grant_at(10, true);
    assert!(!fixture.renewals.confirm_send(grant, Purpose::Renewal, Connection::Open, fixture.now));
}

#[test]
fn renewals_to_a_suspended_holder_wait_until_it_is_resumed() {
    let mut fixture = Fixture::new();
    fixture.renewals.prove(fixture.now);
    fixture.renewals.suspend(&holder("a"), fixture.now);
    let due = fixture.renewals.due_renewals(fixture.now);
    assert!(due.iter().all(|grant| grant.holder == holder("b")));
    fixture.renewals.resume(&holder("a"), fixture.now);
    let due = fixture.renewals.due_renewals(fixture.now);
    assert!(due.iter().any(|grant| grant.holder == holder("a")));
}

#[test]
fn an_unanswered_renewal_is_sent_again_at_once() {
    let mut fixture = Fixture::new();
    fixture.renewals.prove(fixture.now);
    let due = fixture.renewals.due_renewals(fixture.now);
    let grant: &Grant = &due[0];
    fixture.renewals.on_renewal_end(grant, CallEnd::Done, fixture.now);
    assert!(fixture.renewals.due_renewals(fixture.now + Millis(50)).is_empty());
    fixture.renewals.on_renewal_end(grant, CallEnd::Unknown, fixture.now + Millis(50));
    assert_eq!(fixture.renewals.due_renewals(fixture.now + Millis(60)).len(), 1);
}

/// During a store outage, a grant that could not be recorded expired, as no keeper renewed it. The leader that made the
/// grant has to renew it.
#[test]
fn a_leader_renews_grants_that_it_could_not_record() {
    let mut fixture = Fixture::new();
    let mut granted = None;
    for _ in 0..5 {
        for action in fixture.tick(&["a"]) {
            match action {
                Action::Grant(grant) => {
                    fixture.renewals.on_granted(&grant);
                    granted = Some(grant.clone());
                    fixture.leader.on_granted(&grant, CallEnd::Done, fixture.now);
                }
                Action::Write(table) if granted.is_some() => {
                    fixture.leader.on_written(table, false, fixture.now);
                }
                other => fixture.carry_out(other),
            }
        }
    }
    let granted = granted.unwrap();
    fixture.renewals.prove(fixture.now);
    let due = fixture.renewals.due_renewals(fixture.now + Millis(1_000));
    assert!(due.iter().any(|grant| grant.fence == granted.fence && grant.first == granted.first));
}

/// A leader that is about to hand over finishes and records its pending moves and plans no new ones.
#[test]
fn a_leaving_leader_finishes_pending_moves_and_plans_none() {
    let mut fixture = Fixture::new();
    for action in fixture.tick(&["a"]) {
        fixture.carry_out(action);
    }
    fixture.tick(&["a"]).into_iter().for_each(|action| fixture.carry_out(action));
    assert!(fixture.leader.has_pending_changes());
    let leaving = |names: &[&str]| Inputs { is_leaving: true, ..inputs(names) };
    for _ in 0..20 {
        fixture.now = fixture.now + Millis(50);
        for action in fixture.leader.tick(&leaving(&["a"]), fixture.now) {
            fixture.carry_out(action);
        }
    }
    assert!(!fixture.leader.has_pending_changes());
    let table = fixture.leader.table().unwrap().clone();
    assert!(table.spans.iter().all(|span| span.is_granted));
    fixture.now = fixture.now + Millis(50);
    // Changes of the candidates are left to the next leader.
    assert!(fixture.leader.tick(&leaving(&["b", "c"]), fixture.now).is_empty());
}

/// A keeper stays keeper of its availability zone until a much larger host of that zone is available.
#[test]
fn a_much_larger_host_becomes_the_keeper_of_its_zone() {
    let mut fixture = Fixture::new();
    let keeper = |host: &str, size: u32| Keeper {
        host: host.parse().unwrap(),
        zone: "z2".parse().unwrap(),
        region: "r".parse().unwrap(),
        size: HostSize(size),
    };
    let keepers = |fixture: &mut Fixture, others: &[Keeper]| {
        let mut inputs = inputs(&["a", "b"]);
        inputs.hosts.extend_from_slice(others);
        for _ in 0..20 {
            fixture.now = fixture.now + Millis(50);
            for action in fixture.leader.tick(&inputs, fixture.now) {
                fixture.carry_out(action);
            }
        }
        let table = fixture.leader.table().unwrap();
        let hosts = table.keepers.iter().map(|keeper| keeper.host.to_string());
        hosts.collect::<Vec<String>>()
    };
    assert_eq!(keepers(&mut fixture, &[keeper("small", 100)]), ["h", "small"]);
    let similar = [keeper("similar", 150), keeper("small", 100)];
    assert_eq!(keepers(&mut fixture, &similar), ["h", "small"]);
    let large = [keeper("large", 500), keeper("small", 100)];
    assert_eq!(keepers(&mut fixture, &large), ["h", "large"]);
}

/// A keeper without paths to upstreams renews nothing, so that the grants of its region would expire.
#[test]
fn a_zone_has_a_keeper_that_reaches_upstreams() {
    let mut fixture = Fixture::new();
    let keeper = |host: &str, zone: &str| Keeper {
        host: host.parse().unwrap(),
        zone: zone.parse().unwrap(),
        region: "r".parse().unwrap(),
        size: HostSize(200),
    };
    let hosts = [keeper("h", "z"), keeper("h2", "z"), keeper("x1", "x"), keeper("x2", "x")];
    let mut keepers = |cut_off: &[&str]| {
        for _ in 0..200 {
            let mut inputs = inputs(&["a", "b"]);
            inputs.hosts = hosts.to_vec();
            inputs.cut_off = cut_off.iter().map(|host| host.parse().unwrap()).collect();
            fixture.now = fixture.now + Millis(50);
            for action in fixture.leader.tick(&inputs, fixture.now) {
                fixture.carry_out(action);
            }
        }
        let table = fixture.leader.table().unwrap();
        let hosts = table.keepers.iter().map(|keeper| keeper.host.to_string());
        hosts.collect::<Vec<String>>()
    };
    assert_eq!(keepers(&[]), ["h", "x1"]);
    assert_eq!(keepers(&["x1"]), ["h", "x2"]);
    assert_eq!(keepers(&["h", "x1"]), ["h", "h2", "x2"]);
    assert_eq!(keepers(&["h", "h2", "x1", "x2"]).len(), 2);
    assert_eq!(keepers(&[]).len(), 2);
}

/// Hosts that start get the newest record of the table only. With one that can't be read they had no owners.
#[test]
fn a_table_whose_record_cannot_be_read_is_recorded_again() {
    let mut fixture = Fixture::new();
    let table = fixture.leader.table().unwrap().clone();
    fixture.now = fixture.now + Millis(50);
    let damaged = Inputs { is_record_unreadable: true, ..inputs(&["a", "b"]) };
    let actions = fixture.leader.tick(&damaged, fixture.now);
    let [Action::Write(written)] = actions.as_slice() else { panic!("{actions:?}") };
    assert_eq!((written.version, &written.spans), (table.version + 1, &table.spans));
    assert!(fixture.leader.tick(&damaged, fixture.now).is_empty());
    fixture.leader.on_written(written.clone(), true, fixture.now);
    for _ in 0..20 {
        let actions = fixture.tick(&["a", "b"]);
        assert!(!actions.iter().any(|action| matches!(action, Action::Write(_))), "{actions:?}");
    }
}

/// Each version and each token is followed by a larger one. Leaders ended, or recorded no change any more, where there is none.
#[rstest]
#[case::version(u64::MAX, 2)]
#[case::fencing_token(1, u64::MAX)]
fn a_table_with_no_larger_number_is_not_consistent(#[case] version: u64, #[case] next_fence: u64) {
    let table = Fixture::new().leader.table().unwrap().clone();
    assert_eq!(table.check(), Ok(()));
    let odd = Table { version, next_fence: FencingToken(next_fence), ..table };
    assert!(odd.check().is_err());
}

/// Without the recorded table nobody knows which upstreams hold keys, and with which fencing tokens.
#[test]
fn no_first_table_is_written_over_a_record_that_cannot_be_read() {
    let mut leader = Leader::new("h".parse().unwrap(), "s".parse().unwrap(), TIMING, None);
    let damaged = Inputs { is_record_unreadable: true, ..inputs(&["a", "b"]) };
    for tick in 0..1_200 {
        let actions = leader.tick(&damaged, HostTime(100_000 + tick * 50));
        assert!(actions.is_empty(), "{actions:?}");
    }
}

/// A holder that had seen a larger token than the table knows of refused its grant for good, and nobody had the keys.
#[test]
fn a_token_that_is_refused_for_good_is_raised() {
    const SEEN: FencingToken = FencingToken(5_000);
    let mut fixture = Fixture::new();
    let start = fixture.now;
    let mut granted = None;
    for _ in 0..600 {
        for action in fixture.tick(&["a"]) {
            match action {
                Action::Grant(grant) if grant.fence < SEEN => {
                    let waited = fixture.now.since(start);
                    assert!(waited < TIMING.expiry_without_acks() + Millis(1_000), "{waited}");
                    fixture.leader.on_granted(&grant, CallEnd::Fenced, fixture.now);
                }
                Action::Grant(grant) => {
                    granted.get_or_insert((fixture.now, grant.fence));
                    fixture.carry_out(Action::Grant(grant));
                }
                other => fixture.carry_out(other),
            }
        }
    }
    let (at, fence) = granted.expect("a grant with a larger token");
    assert!(
        at.since(start) >= TIMING.expiry_without_acks(),
        "grants of a lost table may be in force"
    );
    let table = fixture.leader.table().unwrap();
    table.check().unwrap();
    assert!(!table.has_pending_spans());
    assert!(table.spans.iter().any(|span| span.fence == fence));
}
