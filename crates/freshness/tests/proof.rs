//! Ages of records that are passed on through several hosts.

use rstest::rstest;
use skylarkdock_freshness::proof;
use skylarkdock_units::times::{HostTime, Millis};

const HOSTS: usize = 6;
const STEPS: usize = 400;

/// A host whose clock began at another time than those of others.
#[derive(Debug, Clone, Copy)]
struct Host {
    clock_offset: u64,
    /// Latest time, by its clock, for which it believes to know the newest records; `None` before it knows any.
    proof_at: Option<HostTime>,
    /// Time, by the clock of the store, at which its records were the newest ones.
    as_of: u64,
}

impl Host {
    fn clock(&self, now: u64) -> HostTime {
        HostTime(now + self.clock_offset)
    }
}

/// Duration of a part of a call, in milliseconds: mostly short, at times as long as a suspended host or a full link takes.
fn delay(rng: &mut fastrand::Rng) -> u64 {
    if rng.u8(..10) == 0 { rng.u64(..8_000) } else { rng.u64(..20) }
}

/// A host that takes its records for newer than they are goes on handling requests by an old configuration, and so do all
/// that follow it.
#[rstest]
fn no_host_takes_records_that_were_passed_on_for_newer_than_they_are(
    #[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64,
) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let host = |rng: &mut fastrand::Rng| Host {
        clock_offset: rng.u64(50_000..5_000_000),
        proof_at: None,
        as_of: 0,
    };
    let mut hosts: Vec<Host> = (0..HOSTS).map(|_| host(&mut rng)).collect();
    let mut now = 1_000;
    let mut passed_on = 0;
    for _ in 0..STEPS {
        now += rng.u64(..300);
        let index = rng.usize(..HOSTS);
        let asked_at = hosts[index].clock(now);
        match rng.u8(..20) {
            // It starts again and knows nothing.
            0 => hosts[index] = host(&mut rng),
            // It reads the store.
            1..3 => {
                now += delay(&mut rng);
                hosts[index].as_of = now;
                hosts[index].proof_at = Some(asked_at);
                now += delay(&mut rng);
            }
            _ => {
                let source = (index + rng.usize(1..HOSTS)) % HOSTS;
                now += delay(&mut rng);
                let received_at = hosts[source].clock(now);
                now += delay(&mut rng);
                // What the source learns after that is not in the answer.
                let from = hosts[source];
                let measured_at = from.clock(now);
                now += delay(&mut rng);
                let Some(known_at) = from.proof_at else { continue };
                let waited = measured_at.since(received_at);
                let proof_at = proof::passed_on(asked_at, waited, measured_at.since(known_at));
                if hosts[index].proof_at.is_none_or(|known_at| known_at < proof_at) {
                    hosts[index].proof_at = Some(proof_at);
                    hosts[index].as_of = from.as_of;
                    passed_on += 1;
                }
            }
        }
        for host in &hosts {
            let Some(proof_at) = host.proof_at else { continue };
            let age = host.clock(now).since(proof_at);
            assert!(age >= Millis(now - host.as_of), "{age} for records {} old", now - host.as_of);
        }
    }
    assert!(passed_on > STEPS / 20, "{passed_on}");
}
