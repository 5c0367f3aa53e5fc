//! Detection of requests that crash upstreams.

use rstest::rstest;
use skylarkdock_dispatch::crash_tracker::{
    Crash, CrashTracker, Digest, EndProof, Fingerprint, IncarnationHash, Refusal, Unanswered,
};
use skylarkdock_units::ids::UpstreamId;
use skylarkdock_units::times::{HostTime, Millis};

const CRASHING: Fingerprint = Fingerprint(9);

fn crash(upstream: u32, in_flight: &[u64], load: u32) -> Crash {
    let in_flight = in_flight.iter().copied().map(Fingerprint).collect();
    Crash { upstream: IncarnationHash(upstream), in_flight, load }
}

fn on_crash(tracker: &mut CrashTracker, crash: &Crash, at: u64) -> bool {
    tracker.on_crashes(std::slice::from_ref(crash), HostTime(at)) > 0
}

fn is_refused(tracker: &CrashTracker, fingerprint: u64, at: u64) -> bool {
    tracker.refusal(Fingerprint(fingerprint), HostTime(at)).is_some()
}

fn id(index: u32) -> UpstreamId {
    format!("u-{index}").parse().unwrap_or_else(|e| panic!("an id: {e}"))
}

/// Records that a request is answered by an upstream.
fn answer(tracker: &mut CrashTracker, fingerprint: u64, at: u64) {
    tracker.on_sent(&id(0), Fingerprint(fingerprint), HostTime(at));
    tracker.on_answered(&id(0), Fingerprint(fingerprint), true, HostTime(at + 10));
}

/// A caller that came back 13 s later ended one upstream after the other.
#[test]
fn a_request_alone_in_flight_at_two_crashes_is_refused_when_it_comes_again() {
    let mut tracker = CrashTracker::default();
    on_crash(&mut tracker, &crash(1, &[1], 1), 1_000);
    assert!(!is_refused(&tracker, 1, 1_001));
    on_crash(&mut tracker, &crash(2, &[1], 1), 2_000);
    for at in [2_001, 15_000, 60_000, 300_000] {
        assert!(is_refused(&tracker, 1, at), "{at}");
    }
}

/// Under load, a request was refused only after five crashes, and later after three. The ends of the owners of its key are
/// seconds apart, so the third one was late.
#[rstest]
fn a_request_is_refused_after_two_crashes_at_any_load(#[values(2, 4, 10, 20)] load: u32) {
    let mut tracker = CrashTracker::default();
    for number in 0..2 {
        assert!(!is_refused(&tracker, CRASHING.0, 1_999));
        // The others in flight differ from crash to crash.
        let others = u64::from(number) * 100 + 100;
        let in_flight: Vec<u64> =
            (others..others + u64::from(load) - 1).chain([CRASHING.0]).collect();
        on_crash(&mut tracker, &crash(number, &in_flight, load), 1_000 + u64::from(number) * 300);
    }
    assert_eq!(tracker.refusal(CRASHING, HostTime(2_000)), Some(Refusal::Certain));
    assert!(!is_refused(&tracker, 100, 2_000));
}

/// Several upstreams crash for an unrelated reason while the same frequent requests are in flight at all of them. These
/// requests must not be refused.
#[rstest]
fn requests_in_flight_by_chance_are_not_refused(#[values(false, true)] were_answered: bool) {
    let mut tracker = CrashTracker::default();
    let fingerprints: Vec<u64> = (0..20).collect();
    if were_answered {
        fingerprints.iter().for_each(|fingerprint| answer(&mut tracker, *fingerprint, 500));
    }
    for at in 0..3 {
        on_crash(&mut tracker, &crash(at, &fingerprints, 20), 1_000 + u64::from(at) * 500);
    }
    assert!(!is_refused(&tracker, 3, 2_500));
}

/// Popular requests that were answered before are in flight at all upstreams that a mass restart ends.
#[test]
fn a_popular_request_is_refused_for_a_short_pause_at_most() {
    let mut tracker = CrashTracker::default();
    answer(&mut tracker, 5, 500);
    for number in 0..12 {
        on_crash(&mut tracker, &crash(number, &[5, 100 + u64::from(number)], 2), 1_000);
    }
    assert!(matches!(
        tracker.refusal(Fingerprint(5), HostTime(1_001)),
        Some(Refusal::Uncertain(Millis(1..=3_000)))
    ));
    assert!(!is_refused(&tracker, 5, 4_001));
    answer(&mut tracker, 5, 4_100);
    assert_eq!(tracker.crash_count(Fingerprint(5)), 0);
}

/// One that crashes upstreams again after the pause does so since it changed, although it was answered before.
#[test]
fn a_request_that_begins_to_crash_upstreams_is_refused() {
    let mut tracker = CrashTracker::default();
    answer(&mut tracker, 5, 500);
    for number in 0..6 {
        on_crash(&mut tracker, &crash(number, &[5], 1), 1_000 + u64::from(number) * 100);
    }
    assert!(!is_refused(&tracker, 5, 4_600));
    on_crash(&mut tracker, &crash(7, &[5], 1), 4_700);
    assert_eq!(tracker.refusal(Fingerprint(5), HostTime(4_701)), Some(Refusal::Certain));
}

/// An unlucky request is retried on upstreams that end for reasons of their own.
#[test]
fn a_request_in_a_mass_restart_is_refused_for_a_short_pause_only() {
    let mut tracker = CrashTracker::default();
    for number in 0..12 {
        let unlucky = if number % 4 == 0 { 7 } else { 200 + u64::from(number) };
        let in_flight = [unlucky, 300 + u64::from(number)];
        on_crash(&mut tracker, &crash(number, &in_flight, 2), 1_000 + u64::from(number) * 150);
    }
    assert!(matches!(
        tracker.refusal(Fingerprint(7), HostTime(2_700)),
        Some(Refusal::Uncertain(_))
    ));
    assert!(!is_refused(&tracker, 7, 5_300));
}

/// Others that were in flight where a crashing request was must not share its fate.
#[test]
fn requests_whose_crashes_another_explains_are_not_refused() {
    let mut tracker = CrashTracker::default();
    for number in 0..4 {
        let in_flight = if number < 3 { vec![CRASHING.0, 7] } else { vec![CRASHING.0] };
        on_crash(&mut tracker, &crash(number, &in_flight, 2), 1_000 + u64::from(number) * 300);
    }
    assert!(is_refused(&tracker, CRASHING.0, 2_000));
    assert!(!is_refused(&tracker, 7, 2_000));
}

/// Hosts report the crash late, each with its own requests. The reports must count as one crash, and must not be passed
/// on for ever.
#[test]
fn a_crash_reported_again_later_counts_once() {
    let mut tracker = CrashTracker::default();
    for at in 0..20 {
        let is_new = on_crash(&mut tracker, &crash(1, &[7], 6), 1_000 + at * 1_000);
        assert_eq!(is_new, at == 0);
    }
    assert!(on_crash(&mut tracker, &crash(1, &[8], 6), 30_000));
    assert_eq!(tracker.crash_count(Fingerprint(7)), 1);
    assert!(!is_refused(&tracker, 7, 30_001));
    assert!(tracker.recent_crashes(HostTime(40_000)).is_empty());
}

/// A reset connection or a lost answer does not prove a crash. It must only count once the upstream is confirmed to
/// have crashed.
#[rstest]
#[case(EndProof::Certain)]
#[case(EndProof::Lapsed)]
fn a_broken_connection_counts_only_after_a_confirmed_crash(#[case] proof: EndProof) {
    let mut tracker = CrashTracker::default();
    for (index, at) in [(1, 1_000), (2, 2_000), (3, 3_000)] {
        tracker.on_sent(&id(index), CRASHING, HostTime(at - 10));
        tracker.on_unanswered(&id(index), CRASHING, Unanswered::Failed, 1, HostTime(at));
    }
    let mut on_ended = |index: u32, at| {
        let ended = tracker.on_ended(&id(index), IncarnationHash(index), proof, HostTime(at));
        (ended.is_some(), tracker.refusal(CRASHING, HostTime(at)).is_some())
    };
    assert_eq!(on_ended(2, 3_100), (true, false));
    assert_eq!(on_ended(2, 3_150), (false, false));
    assert_eq!(on_ended(3, 3_200), (true, true));
    // The proof comes too late for the first one.
    assert_eq!(on_ended(1, 7_500), (false, true));
}

/// An upstream that goes silent resets no connection; the one that cannot write its entry goes on answering.
#[rstest]
#[case::silent(100, EndProof::Lapsed, true)]
#[case::sent_just_before(2_500, EndProof::Lapsed, false)]
#[case::replaced_at_its_address(2_500, EndProof::Certain, true)]
fn attempts_without_an_answer_count_when_an_upstream_ends(
    #[case] sent_at: u64,
    #[case] proof: EndProof,
    #[case] counts: bool,
) {
    let mut tracker = CrashTracker::default();
    tracker.on_sent(&id(1), CRASHING, HostTime(sent_at));
    let ended = tracker.on_ended(&id(1), IncarnationHash(1), proof, HostTime(2_600));
    assert_eq!(ended.is_some(), counts);
}

/// Attempts are given up all the time, and few of them at upstreams that have ended.
#[rstest]
#[case(2_700, true)]
#[case(700, false)]
fn an_attempt_that_was_given_up_counts_after_a_silence(#[case] at: u64, #[case] counts: bool) {
    let mut tracker = CrashTracker::default();
    tracker.on_sent(&id(1), CRASHING, HostTime(100));
    tracker.on_unanswered(&id(1), CRASHING, Unanswered::Cancelled, 1, HostTime(at));
    let ended = tracker.on_ended(&id(1), IncarnationHash(1), EndProof::Certain, HostTime(3_000));
    assert_eq!(ended.is_some(), counts);
}

fn refusing_tracker() -> CrashTracker {
    let mut tracker = CrashTracker::default();
    for number in 0..3 {
        on_crash(&mut tracker, &crash(number, &[CRASHING.0], 1), 1_000 + u64::from(number));
    }
    tracker
}

/// A host that started after the crashes, or that no report reached, sent the request on.
#[test]
fn a_digest_tells_others_of_a_refused_request() {
    let mut tracker = refusing_tracker();
    let digest = tracker.digest(HostTime(20_000));
    assert_eq!(digest.refused, [(CRASHING, Millis(18_998))]);
    let mut other = CrashTracker::default();
    other.on_digest(&digest, HostTime(90_000));
    assert!(is_refused(&other, CRASHING.0, 90_001));
    // The other host's digest names the same crash, so that the refusal ends.
    assert_eq!(other.digest(HostTime(90_000)), digest);
    assert!(!is_refused(&other, CRASHING.0, 90_000 + 600_000 - 18_998));
}

/// A host that never answered a popular request refuses it, and no answer of its own ever clears it.
#[test]
fn an_answer_on_another_host_clears_a_request() {
    let (mut first, mut second) = (refusing_tracker(), refusing_tracker());
    second.digest(HostTime(5_000));
    assert!(is_refused(&second, CRASHING.0, 5_001));
    answer(&mut first, CRASHING.0, 5_100);
    let digest = first.digest(HostTime(5_200));
    assert_eq!(digest, Digest { refused: Vec::new(), answered: vec![(CRASHING, Millis(90))] });
    second.on_digest(&digest, HostTime(5_300));
    assert!(!is_refused(&second, CRASHING.0, 5_301));
    // A digest from before the answer does not bring the refusal back.
    second.on_digest(&refusing_tracker().digest(HostTime(5_000)), HostTime(5_400));
    assert!(!is_refused(&second, CRASHING.0, 5_401));
}

/// Memory and the size of messages stay bounded however many upstreams end.
#[test]
fn what_is_kept_and_reported_is_bounded() {
    let mut tracker = CrashTracker::default();
    for number in 0..2_000 {
        let first = u64::from(number) * 100;
        let in_flight: Vec<u64> = (first..first + 100).collect();
        on_crash(&mut tracker, &crash(number, &in_flight, 100), 1_000 + u64::from(number));
    }
    let reported = tracker.recent_crashes(HostTime(3_000));
    assert_eq!(reported.len(), 8);
    assert!(reported.iter().all(|crash| crash.in_flight.len() <= 16));
    assert!(tracker.crash_count(Fingerprint(0)) == 0);
}
