//! Effects of each kind of record on the state, also after a restore from a checkpoint.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use serde_json::{Value, json};
use skylarkdock_fold::state::{MAX_DECIDED_IDS, MAX_RETIRED_SERVICES};
use skylarkdock_fold::{Refusal, Verdict, checkpoint};
use skylarkdock_units::ids::{Offset, RangeId, RangeIndex};
use support::{Replica, assign, change, publish, retire, routing_record, service_name};

fn replica_with_service() -> Replica {
    let mut replica = Replica::default();
    assert_eq!(
        replica.expect_accepted(&publish(1, "orders", 0, routing_record("orders", 2, 4, 1))),
        1
    );
    replica
}

fn record_with_fault(schema: u32) -> Value {
    let mut record_with_fault = routing_record("orders", schema, 4, 2);
    record_with_fault["upstreams"] = json!([]);
    record_with_fault
}

fn previous_lease_offsets(replica: &Replica, range: u32) -> Vec<u64> {
    let range = RangeId { service: service_name("orders"), index: RangeIndex(range) };
    let assignment = replica.fold.state().assignment(&range).unwrap();
    assignment.previous.iter().map(|lease| lease.lease.0).collect()
}

#[test]
fn a_record_based_on_another_revision_is_refused_with_the_revision_in_force() {
    let mut replica = replica_with_service();
    replica.expect_accepted(&publish(2, "orders", 1, routing_record("orders", 2, 4, 2)));
    for basis in [0, 1, 3] {
        let refused = replica.expect_refused(&publish(
            3 + u128::from(basis),
            "orders",
            basis,
            routing_record("orders", 2, 4, 3),
        ));
        assert!(matches!(refused, Refusal::Conflict { revision: Offset(2), .. }), "{refused:?}");
    }
    assert_eq!(replica.decoded_service("orders"), Some((4, "u2".to_owned())));
    assert!(matches!(replica.expect_refused(&retire(9, "stays", 0)), Refusal::NoService { .. }));
}

#[test]
fn a_copy_of_an_accepted_record_is_refused_after_its_service_is_retired() {
    let mut replica = replica_with_service();
    replica.expect_accepted(&retire(2, "orders", 1));
    let copy = publish(1, "orders", 0, routing_record("orders", 2, 4, 1));
    assert_eq!(replica.expect_refused(&copy), Refusal::Repeated);
    assert_eq!(replica.restored_from_checkpoint().expect_refused(&copy), Refusal::Repeated);
}

#[test]
fn a_copy_of_a_refused_record_is_refused_even_if_its_basis_is_now_in_force() {
    let mut replica = replica_with_service();
    let other = publish(2, "orders", 0, routing_record("orders", 2, 4, 2));
    assert!(matches!(replica.expect_refused(&other), Refusal::Conflict { .. }));
    replica.expect_accepted(&retire(3, "orders", 1));
    assert_eq!(replica.expect_refused(&other), Refusal::Repeated);
}

#[test]
fn the_number_of_decided_ids_is_bounded() {
    let mut replica = replica_with_service();
    for id in 0..2 * MAX_DECIDED_IDS as u128 {
        let basis = replica.fold.state().services[&service_name("orders")].revision.0;
        replica.add(&publish(1000 + id, "orders", basis, routing_record("orders", 2, 4, 1)));
    }
    assert_eq!(replica.fold.state().decided.len(), MAX_DECIDED_IDS);
}

#[test]
fn the_number_of_ranges_is_fixed_also_after_a_restore() {
    let mut replica = replica_with_service();
    let refused =
        replica.expect_refused(&publish(2, "orders", 1, routing_record("orders", 2, 8, 2)));
    assert!(matches!(refused, Refusal::Unreadable { .. }), "{refused:?}");
    assert_eq!(
        replica.restored_from_checkpoint().decoded_service("orders"),
        Some((4, "u1".to_owned()))
    );
}

#[test]
fn a_record_of_another_service_or_schema_than_its_envelope_is_refused() {
    let mut replica = replica_with_service();
    replica.expect_refused(&publish(2, "orders", 1, routing_record("stays", 2, 4, 2)));
    let claimed = publish(3, "orders", 1, routing_record("orders", 2, 4, 2));
    replica.expect_refused(&claimed.replace("\"schema\":2,\"basis\"", "\"schema\":1,\"basis\""));
    replica.expect_refused(&publish(4, "orders", 1, routing_record("orders", 65, 4, 2)));
    assert_eq!(replica.decoded_service("orders"), Some((4, "u1".to_owned())));
}

#[test]
fn a_record_with_faults_leaves_the_previous_one_in_force_also_after_a_restore() {
    let mut replica = replica_with_service();
    for id in 2..7 {
        let basis = replica.fold.state().services[&service_name("orders")].revision.0;
        replica.expect_accepted(&publish(id, "orders", basis, record_with_fault(2)));
        assert_eq!(replica.fold.unreadable(&service_name("orders")), Some(Offset(id as u64)));
        assert_eq!(replica.decoded_service("orders"), Some((4, "u1".to_owned())));
        if id < 4 {
            assert_eq!(
                replica.restored_from_checkpoint().decoded_service("orders"),
                Some((4, "u1".to_owned()))
            );
        }
    }
}

#[test]
fn a_restore_after_many_faults_does_not_fall_back_to_an_older_schema() {
    let mut replica = Replica::default();
    replica.expect_accepted(&publish(1, "orders", 0, routing_record("orders", 1, 4, 1)));
    replica.expect_accepted(&publish(2, "orders", 1, routing_record("orders", 2, 4, 2)));
    for id in 3..8 {
        replica.expect_accepted(&publish(id, "orders", id as u64 - 1, record_with_fault(2)));
    }
    assert_eq!(replica.decoded_service("orders"), Some((4, "u2".to_owned())));
    assert_eq!(replica.restored_from_checkpoint().decoded_service("orders"), None);
}

#[test]
fn a_record_of_an_unknown_schema_leaves_the_decoded_one_in_force() {
    let mut replica = replica_with_service();
    let newer = publish(2, "orders", 1, json!({"schema": 3, "service": "orders", "shape": 0.1}));
    assert_eq!(replica.expect_accepted(&newer), 2);
    assert_eq!(replica.fold.unreadable(&service_name("orders")), Some(Offset(2)));
    for replica in [&replica, &replica.restored_from_checkpoint()] {
        assert_eq!(replica.decoded_service("orders"), Some((4, "u1".to_owned())));
        assert_eq!(replica.fold.state().services[&service_name("orders")].revision, Offset(2));
    }
    replica.expect_accepted(&publish(3, "orders", 2, routing_record("orders", 1, 4, 5)));
    assert_eq!(replica.decoded_service("orders"), Some((4, "u5".to_owned())));
}

#[test]
fn numbers_in_a_record_are_exact_after_a_checkpoint() {
    let mut replica = Replica::default();
    let numbers: Vec<f64> = (1..2000).map(|n| 1.0 / f64::from(n) * 1e-9).collect();
    let newer = json!({"schema": 3, "service": "orders", "numbers": numbers});
    replica.expect_accepted(&publish(1, "orders", 0, newer));
    assert_eq!(replica.restored_from_checkpoint().digest(), replica.digest());
}

#[test]
fn every_accepted_nesting_depth_fits_into_a_checkpoint() {
    for depth in 1..128 {
        let mut replica = replica_with_service();
        let nested = (0..depth).fold(json!(1), |inner, _| json!([inner]));
        let newer = json!({"schema": 3, "nested": nested});
        let verdict = replica.add(&publish(2, "orders", 1, newer)).verdict;
        assert!(depth > 30 || matches!(verdict, Verdict::Accepted { .. }));
        assert_eq!(replica.restored_from_checkpoint().digest(), replica.digest());
    }
}

#[test]
fn after_a_lease_that_was_not_acquired_the_earlier_ones_must_be_taken_over_too() {
    let mut replica = replica_with_service();
    replica.expect_accepted(&assign(2, vec![change("orders", 0, 0, &[1, 2, 3], false)]));
    replica.expect_accepted(&assign(3, vec![change("orders", 0, 2, &[2, 3, 4], false)]));
    assert_eq!(previous_lease_offsets(&replica, 0), [2]);
    replica.expect_accepted(&assign(4, vec![change("orders", 0, 3, &[3, 4, 5], false)]));
    assert_eq!(previous_lease_offsets(&replica, 0), [2, 3]);
    replica.expect_accepted(&assign(5, vec![change("orders", 0, 4, &[4, 5, 6], true)]));
    assert_eq!(previous_lease_offsets(&replica, 0), [4]);
    replica.expect_accepted(&assign(6, vec![change("orders", 0, 5, &[], false)]));
    assert_eq!(previous_lease_offsets(&replica, 0), [4]);
}

#[test]
fn the_first_of_several_concurrent_assignments_of_a_range_wins() {
    let mut replica = replica_with_service();
    let both = |hosts: &[u32]| {
        vec![change("orders", 0, 0, hosts, false), change("orders", 1, 0, hosts, false)]
    };
    replica.expect_accepted(&assign(2, vec![change("orders", 0, 0, &[1], false)]));
    replica.expect_accepted(&assign(3, both(&[2])));
    assert!(matches!(replica.expect_refused(&assign(4, both(&[3]))), Refusal::NoChange { .. }));
    let offsets: Vec<_> = replica.fold.state().assignments().map(|(_, a)| a.offset.0).collect();
    assert_eq!(offsets, [2, 3]);
}

#[test]
fn invalid_assignments_are_refused() {
    let mut replica = replica_with_service();
    let refused = [
        change("orders", 4, 0, &[1], false),
        change("orders", 0, 0, &[], false),
        change("orders", 0, 0, &[1, 2, 1], false),
        change("orders", 0, 0, &(0..300).collect::<Vec<_>>(), false),
        change("stays", 0, 0, &[1], false),
    ];
    for (id, change) in (2..).zip(refused) {
        assert!(matches!(
            replica.expect_refused(&assign(id, vec![change])),
            Refusal::NoChange { .. }
        ));
    }
}

#[test]
fn a_service_created_again_must_take_over_the_leases_from_before_it_was_retired() {
    let mut replica = replica_with_service();
    replica.expect_accepted(&assign(2, vec![change("orders", 3, 0, &[1, 2, 3], false)]));
    replica.expect_accepted(&assign(3, vec![change("orders", 3, 2, &[4, 5, 6], false)]));
    replica.expect_accepted(&retire(4, "orders", 1));
    let mut replica = replica.restored_from_checkpoint();
    let refused =
        replica.expect_refused(&publish(5, "orders", 0, routing_record("orders", 2, 8, 1)));
    assert!(matches!(refused, Refusal::Unreadable { .. }), "{refused:?}");
    replica.expect_accepted(&publish(6, "orders", 0, routing_record("orders", 2, 4, 1)));
    replica.expect_accepted(&retire(7, "orders", 6));
    replica.expect_accepted(&publish(8, "orders", 0, routing_record("orders", 2, 4, 1)));
    replica.expect_accepted(&assign(9, vec![change("orders", 3, 0, &[7, 8, 9], false)]));
    assert_eq!(previous_lease_offsets(&replica, 3), [2, 3]);
    replica.expect_accepted(&assign(10, vec![change("orders", 2, 0, &[7, 8, 9], false)]));
    assert!(previous_lease_offsets(&replica, 2).is_empty());
}

#[test]
fn histories_of_retired_services_are_bounded_and_kept_only_with_leases() {
    let mut replica = Replica::default();
    for n in 0..MAX_RETIRED_SERVICES as u128 + 3 {
        let service = format!("s{n}");
        let revision = replica.expect_accepted(&publish(
            3 * n,
            &service,
            0,
            routing_record(&service, 2, 4, 1),
        ));
        if n != 1 {
            replica.expect_accepted(&assign(
                3 * n + 1,
                vec![change(&service, 0, 0, &[1, 2, 3], false)],
            ));
        }
        replica.expect_accepted(&retire(3 * n + 2, &service, revision));
    }
    let histories = &replica.fold.state().histories;
    assert_eq!(histories.len(), MAX_RETIRED_SERVICES);
    let forgotten =
        ["s0", "s1", "s2"].map(|service| histories.contains_key(&service_name(service)));
    assert_eq!((forgotten, histories.contains_key(&service_name("s3"))), ([false; 3], true));
}

#[test]
fn a_gap_is_an_error_and_an_old_record_changes_nothing() {
    let mut replica = replica_with_service();
    let digest = replica.digest();
    assert!(replica.fold.apply(Offset(3), "{}").is_err());
    assert_eq!(replica.fold.apply(Offset(1), "{}").unwrap(), None);
    assert_eq!(replica.digest(), digest);
}

#[test]
fn a_checkpoint_needs_all_its_parts_unmodified() {
    let mut replica = replica_with_service();
    replica.expect_accepted(&publish(
        2,
        "orders",
        1,
        json!({"schema": 3, "pad": "x".repeat(200_000)}),
    ));
    let parts = checkpoint::split(replica.fold.state()).unwrap();
    for missing in 0..parts.len() {
        let mut assembler = checkpoint::Assembler::default();
        let others = parts.iter().enumerate().filter(|(index, _)| *index != missing);
        for (_, part) in others.clone().chain(others) {
            assert!(assembler.add(part.clone()).unwrap().is_none());
        }
        let mut changed = parts[missing].clone();
        changed.data.push(' ');
        assert!(assembler.add(changed).is_err());
        let whole = parts.iter().rev().filter_map(|part| assembler.add(part.clone()).unwrap());
        assert_eq!(whole.collect::<Vec<_>>(), [replica.fold.state().clone()]);
    }
}
