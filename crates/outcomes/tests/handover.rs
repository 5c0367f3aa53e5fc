//! Hand-over of a deduplication memory: complete, partial, with chunks of two exports, and to the wrong lease.

#![allow(clippy::unwrap_used, clippy::expect_used)]

use skylarkdock_outcomes::answer::{Answer, Body};
use skylarkdock_outcomes::fingerprint::Fingerprint;
use skylarkdock_outcomes::handover::{Chunk, ChunkLimits, ImportError, ImportProgress};
use skylarkdock_outcomes::limits::Limits;
use skylarkdock_outcomes::memory::{
    Attempt, AttemptEnd, BeginDecision, LeaseStart, Memory, Request,
};
use skylarkdock_units::ids::{Epoch, Offset};
use skylarkdock_units::measures::ByteSize;
use skylarkdock_units::requests::RequestId;
use skylarkdock_units::times::WallTime;

const SMALL_CHUNKS: ChunkLimits = ChunkLimits { entries: 2, size: ByteSize(1024) };
const NOW: WallTime = WallTime(1_000_000);

fn epoch(offset: u64) -> Epoch {
    Epoch { offset: Offset(offset), place: 0 }
}

fn lease_start(offset: u64, predecessor: u64, since: WallTime) -> LeaseStart {
    LeaseStart { epoch: epoch(offset), predecessor: Some(epoch(predecessor)), since }
}

fn request(number: u8) -> Request {
    let id = RequestId::new(WallTime(NOW.0 + u64::from(number)), &[number; 10]);
    Request { id, fingerprint: Fingerprint([number; 16]), minted: false }
}

/// Returns a memory with three answered requests and a running one, and the attempt of the latter.
fn exporting_memory() -> (Memory, Attempt) {
    let mut memory = Memory::for_first_holder(lease_start(1, 0, NOW), Limits::default());
    for number in 0..4 {
        let BeginDecision::Run(attempt) = memory.begin(request(number), NOW) else { panic!() };
        let body = Body::Whole(vec![number].into());
        let answer = Answer { status: 200, content_type: None, body };
        if number == 3 {
            return (memory, attempt);
        }
        memory.finish(request(number).id, attempt, AttemptEnd::Done(answer));
    }
    unreachable!()
}

fn round_trip(chunk: &Chunk) -> Chunk {
    postcard::from_bytes(&postcard::to_allocvec(chunk).unwrap()).unwrap()
}

#[test]
fn a_complete_hand_over_transfers_the_entries_and_the_covered_time() {
    let (mut old, attempt) = exporting_memory();
    let mut new = Memory::new(lease_start(2, 1, NOW), Limits::default());
    let chunks = old.hand_over(epoch(2), SMALL_CHUNKS);
    assert_eq!(chunks.len(), 2);
    assert_eq!(old.begin(request(8), NOW), BeginDecision::HandedOver);
    assert_eq!(new.import(round_trip(&chunks[1])), Ok(ImportProgress::Partial));
    assert_eq!(new.begin(request(8), NOW), BeginDecision::NotCovered);
    assert_eq!(new.import(round_trip(&chunks[0])), Ok(ImportProgress::Complete));
    assert!(matches!(new.begin(request(8), NOW), BeginDecision::Run(_)));
    assert!(matches!(new.begin(request(1), NOW), BeginDecision::Recorded(_)));
    assert_eq!(new.begin(request(3), NOW), BeginDecision::Unknown);
    new.finish(request(3).id, attempt, AttemptEnd::NotRun);
    assert!(matches!(new.begin(request(3), NOW), BeginDecision::Run(_)));
}

#[test]
fn chunks_of_two_exports_are_not_combined() {
    let (mut old, attempt) = exporting_memory();
    let first = old.hand_over(epoch(2), SMALL_CHUNKS);
    old.finish(request(3).id, attempt, AttemptEnd::NotRun);
    let second = old.hand_over(epoch(2), SMALL_CHUNKS);
    let mut new = Memory::new(lease_start(2, 1, NOW), Limits::default());
    assert_eq!(new.import(first[0].clone()), Ok(ImportProgress::Partial));
    assert_eq!(new.import(second[1].clone()), Ok(ImportProgress::Partial));
    assert_eq!(new.import(first[1].clone()), Ok(ImportProgress::Partial));
    assert_eq!(new.import(second[0].clone()), Ok(ImportProgress::Complete));
}

#[test]
fn only_the_preceding_lease_extends_the_covered_time() {
    let (mut old, _) = exporting_memory();
    let chunk = old.hand_over(epoch(3), ChunkLimits::default()).remove(0);
    let mut new = Memory::new(lease_start(3, 2, NOW), Limits::default());
    assert_eq!(new.import(chunk.clone()), Ok(ImportProgress::Partial));
    assert_eq!(new.begin(request(8), NOW), BeginDecision::NotCovered);
    let mut other = Memory::new(lease_start(4, 1, NOW), Limits::default());
    let refused = Err(ImportError::WrongLease { to: epoch(3), own: epoch(4) });
    assert_eq!(other.import(chunk.clone()), refused);
    let misplaced = Chunk { index: 1, ..chunk };
    assert_eq!(new.import(misplaced), Err(ImportError::IndexOutOfRange { index: 1, count: 1 }));
}
