//! Ends of former grants, against a model of which processes run, where, and until when each holds the keys.

#![allow(clippy::unwrap_used)]

use skylarkdock_spans::end::{GrantEnd, NotEnded};
use skylarkdock_spans::leader::{Action, Inputs, Leader};
use skylarkdock_spans::plan::Candidate;
use skylarkdock_spans::renewal::{Ack, CallEnd, LastSent};
use skylarkdock_spans::restored::MIN_FIRST_TABLE_UPTIME;
use skylarkdock_spans::table::{FencingToken, FormerGrant, Holder, Keeper, Span, Table};
use skylarkdock_spans::timing::Timing;
use skylarkdock_units::measures::HostSize;
use skylarkdock_units::times::{HostTime, Millis};
use std::ops::Range;

const TIMING: Timing =
    Timing { hold: Millis(3_000), call_timeout: Millis(400), proof_lifetime: Millis(14_000) };
const CASES: u64 = 500;
const STEP: Millis = Millis(50);
const FENCE: FencingToken = FencingToken(9);
/// Lifetime of a grant by a clock that runs 2 % slow, in milliseconds.
const LONGEST_HOLD_MS: u64 = 3_060;

fn holder(name: &str, port: u16) -> Holder {
    Holder {
        id: name.parse().unwrap(),
        born: 1,
        addr: ([127, 0, 0, 1], port).into(),
        region: "r".parse().unwrap(),
    }
}

/// A former holder, as it really is.
struct Former {
    holder: Holder,
    is_running: bool,
    /// When its last grant was sent, and when it ends.
    sent_at: HostTime,
    held_until: HostTime,
    has_released: bool,
    /// Whether it refuses each release.
    refuses_all: bool,
    /// Whether another process has its address.
    is_replaced: bool,
}

impl Former {
    fn holds(&self, now: HostTime) -> bool {
        self.is_running && !self.has_released && now < self.held_until
    }

    /// Lets the process end, or another one take its address, now and then.
    fn change(&mut self, rng: &mut fastrand::Rng) {
        if self.is_running {
            self.is_running = rng.u32(..60) > 0;
        } else {
            self.is_replaced |= rng.u32(..20) == 0;
        }
    }

    /// Carries out a release, and returns what the leader learns.
    fn release(&mut self, rng: &mut fastrand::Rng) -> Result<GrantEnd, NotEnded> {
        let name = if self.is_running {
            match rng.u32(..8) {
                _ if self.refuses_all => self.holder.id.clone(),
                0..2 => return Err(NotEnded::Unknown),
                2 => {
                    self.has_released = true;
                    return Err(NotEnded::Unknown);
                }
                3 => {
                    self.has_released = true;
                    return Ok(GrantEnd::released(None));
                }
                _ => self.holder.id.clone(),
            }
        } else if self.is_replaced {
            "other".parse().unwrap()
        } else {
            return Err(NotEnded::Unknown);
        };
        if rng.bool() {
            return Err(NotEnded::Refused);
        }
        GrantEnd::replaced(&self.holder, &name).ok_or(NotEnded::Refused)
    }

    fn last_sent(&self, now: HostTime) -> LastSent {
        LastSent {
            holder: self.holder.clone(),
            first: 0,
            last: u16::MAX,
            fence: FencingToken(1),
            age: now.since(self.sent_at),
        }
    }
}

/// How former grants ended before the keys were granted.
#[derive(Default)]
struct Ends {
    released: u32,
    replaced: u32,
    expired: u32,
}

struct Fixture {
    rng: fastrand::Rng,
    now: HostTime,
    leader: Leader,
    inputs: Inputs,
    formers: Vec<Former>,
    /// When the keeper stops renewals, as it reads the table.
    renewed_until: HostTime,
    /// Time in which its acknowledgements are lost.
    lost_acks: Range<HostTime>,
}

impl Fixture {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let now = HostTime(100_000);
        let names = ["a", "b", "c"];
        let formers: Vec<Former> = (0..rng.usize(1..=names.len()))
            .map(|index| Former {
                holder: holder(names[index], 9_000 + u16::try_from(index).unwrap()),
                is_running: true,
                sent_at: now,
                held_until: now + Millis(LONGEST_HOLD_MS),
                has_released: false,
                refuses_all: rng.bool(),
                is_replaced: false,
            })
            .collect();
        let owner = holder("owner", 9_100);
        let keeper = Keeper {
            host: "h".parse().unwrap(),
            zone: "z".parse().unwrap(),
            region: "r".parse().unwrap(),
            size: HostSize(200),
        };
        let former = formers
            .iter()
            .map(|former| FormerGrant { holder: former.holder.clone(), fence: FencingToken(1) });
        let span = Span {
            first: 0,
            last: u16::MAX,
            owner: owner.clone(),
            fence: FENCE,
            is_granted: false,
            former: former.collect(),
        };
        let table = Table {
            service: "s".parse().unwrap(),
            version: 7,
            copy: None,
            leader: "h".parse().unwrap(),
            keepers: vec![keeper.clone()],
            retired: Vec::new(),
            next_fence: FencingToken(FENCE.0 + 1),
            spans: vec![span],
        };
        let candidates = vec![Candidate { holder: owner, capacity: 10.0 }];
        let leader = Leader::new("h".parse().unwrap(), "s".parse().unwrap(), TIMING, Some(table));
        let renewed_until = now + Millis(rng.u64(0..2_000));
        let lost_from = now + Millis(rng.u64(0..3_000));
        let lost_acks = lost_from..lost_from + Millis(rng.u64(0..8_000));
        let inputs = Inputs {
            candidates,
            hosts: vec![keeper],
            uptime: MIN_FIRST_TABLE_UPTIME,
            ..Inputs::default()
        };
        Self { rng, now, leader, inputs, formers, renewed_until, lost_acks }
    }

    fn renew(&mut self) {
        let due = self.now <= self.renewed_until && self.rng.u32(..10) == 0;
        for former in self.formers.iter_mut().filter(|former| due && !former.has_released) {
            let delay = Millis(self.rng.u64(0..=TIMING.call_timeout.0));
            former.sent_at = self.now;
            former.held_until = self.now + delay + Millis(LONGEST_HOLD_MS);
        }
    }

    fn ack(&self) -> Ack {
        Ack {
            host: "h".parse().unwrap(),
            version: if self.now > self.renewed_until { 7 } else { 6 },
            running: Millis(90_000),
            sent: self.formers.iter().map(|former| former.last_sent(self.now)).collect(),
            unreachable: Vec::new(),
        }
    }

    /// Advances by one step, and returns whether the leader granted the keys. Fails if a process still holds them then.
    fn step(&mut self, ends: &mut Ends) -> Result<bool, String> {
        self.now = self.now + STEP;
        self.formers.iter_mut().for_each(|former| former.change(&mut self.rng));
        self.renew();
        let mut granted = false;
        for action in self.leader.tick(&self.inputs, self.now) {
            match action {
                Action::Release(release) => {
                    let is_it = |former: &&mut Former| former.holder == release.holder;
                    let former = self.formers.iter_mut().find(is_it).unwrap();
                    let end = former.release(&mut self.rng);
                    self.leader.on_released(&release, end, self.now);
                }
                Action::RequestAck(_) => {
                    if !self.lost_acks.contains(&self.now) && self.rng.u32(..3) > 0 {
                        self.leader.on_ack(self.ack(), self.now);
                    }
                }
                Action::Write(table) => self.leader.on_written(table, false, self.now),
                Action::Grant(grant) => {
                    if let Some(former) = self.formers.iter().find(|f| f.holds(self.now)) {
                        return Err(format!("{} holds the keys", former.holder.id));
                    }
                    for (_, end) in self.leader.ends(&grant) {
                        let is_replaced = end.replaced_by().is_some();
                        ends.released += u32::from(end.is_release());
                        ends.replaced += u32::from(is_replaced);
                        ends.expired += u32::from(!end.is_release() && !is_replaced);
                    }
                    self.leader.on_granted(&grant, CallEnd::Done, self.now);
                    granted = true;
                }
            }
        }
        Ok(granted)
    }
}

/// Keys were granted while their holder, which had refused to release them, went on holding them.
#[test]
fn keys_are_granted_only_once_no_former_holder_has_them() {
    let mut ends = Ends::default();
    let last_step = TIMING.expiry_without_acks().0 / STEP.0 + 1;
    for seed in 1..=CASES {
        let mut fixture = Fixture::new(seed);
        let mut step = |_| fixture.step(&mut ends).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        let is_granted = (0..=last_step).any(&mut step);
        assert!(is_granted, "seed {seed}: the keys are not granted");
    }
    let Ends { released, replaced, expired } = ends;
    assert!(released > 0 && replaced > 0 && expired > 0, "{released}, {replaced}, {expired}");
}
