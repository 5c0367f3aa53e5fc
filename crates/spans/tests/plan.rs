//! Assignment of spans to upstreams under changing load and changing sets of upstreams.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_spans::plan::{self, Candidate};
use skylarkdock_spans::table::{FencingToken, Holder, Span, Table, TableError};

fn holder(name: &str, born: u64) -> Holder {
    Holder {
        id: name.parse().unwrap(),
        born,
        addr: ([127, 0, 0, 1], 9_000).into(),
        region: "r".parse().unwrap(),
    }
}

fn candidates(names: &[&str]) -> Vec<Candidate> {
    names.iter().map(|name| Candidate { holder: holder(name, 1), capacity: 20.0 }).collect()
}

fn table(names: &[&str]) -> Table {
    let mut spans = plan::initial_spans(&candidates(names), FencingToken(1));
    for span in &mut spans {
        span.is_granted = true;
    }
    Table {
        service: "s".parse().unwrap(),
        version: 1,
        leader: "h".parse().unwrap(),
        keepers: Vec::new(),
        retired: Vec::new(),
        copy: None,
        next_fence: FencingToken(2),
        spans,
    }
}

fn replan(table: &Table, candidates: &[Candidate], rates: &[f32]) -> Option<Table> {
    let rates: Vec<(u16, f32)> =
        (0..=u16::MAX).zip(rates).map(|(key, rate)| (key, *rate)).collect();
    let spans = plan::next_spans(table, candidates, &rates)?;
    let next = Table { spans, next_fence: FencingToken(table.next_fence.0 + 1), ..table.clone() };
    next.check().unwrap();
    Some(next)
}

fn with_all_granted(mut table: Table) -> Table {
    for span in &mut table.spans {
        span.is_granted = true;
        span.former.clear();
    }
    table
}

/// Returns the highest utilization among the upstreams.
fn max_utilization(table: &Table, candidates: &[Candidate], rates: &[f32]) -> f32 {
    let load = |span: &Span| -> f32 {
        (span.first..=span.last).filter_map(|key| rates.get(usize::from(key))).sum()
    };
    let owned = |c: &Candidate| -> f32 {
        table.spans.iter().filter(|s| s.owner == c.holder).map(load).sum::<f32>() / c.capacity
    };
    candidates.iter().map(owned).fold(0.0, f32::max)
}

#[test]
fn initial_spans_cover_all_keys() {
    for count in 1..=12 {
        let names: Vec<String> = (0..count).map(|n| format!("u{n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        assert_eq!(table(&names).check(), Ok(()));
    }
}

#[test]
fn check_rejects_gaps_and_reused_fencing_tokens() {
    let mut broken = table(&["a", "b"]);
    broken.spans[1].first += 1;
    assert_eq!(broken.check(), Err(TableError::Gap(32_768)));
    let mut reused = table(&["a", "b"]);
    reused.spans[0].fence = FencingToken(2);
    assert_eq!(reused.check(), Err(TableError::FencingToken(FencingToken(2))));
}

#[test]
fn idle_keys_are_not_moved() {
    assert_eq!(replan(&table(&["a", "b", "c"]), &candidates(&["a", "b", "c"]), &[]), None);
}

/// Load pattern: 200 neighbouring keys, all owned by one upstream, get most of the traffic.
#[test]
fn hot_neighbouring_keys_are_spread_within_four_plans() {
    let candidates = candidates(&["a", "b", "c", "d"]);
    let mut table = table(&["a", "b", "c", "d"]);
    let mut rates = vec![0.0003; 0x1_0000];
    for rate in &mut rates[10_000..10_200] {
        *rate = 0.2;
    }
    for _ in 0..4 {
        if let Some(next) = replan(&table, &candidates, &rates) {
            table = with_all_granted(next);
        }
    }
    let after = max_utilization(&table, &candidates, &rates);
    assert!(after < 0.95, "{after}");
}

/// Load pattern: a single key gets more than one upstream's share of the load.
#[test]
fn neighbours_of_a_hot_key_move_to_other_upstreams() {
    let candidates = candidates(&["a", "b", "c", "d"]);
    let mut table = table(&["a", "b", "c", "d"]);
    let mut rates = vec![0.0005; 0x1_0000];
    rates[20_000] = 18.0;
    for _ in 0..5 {
        if let Some(next) = replan(&table, &candidates, &rates) {
            table = with_all_granted(next);
        }
    }
    let hot = table.span(20_000).unwrap();
    let owned: u32 = table.spans.iter().filter(|s| s.owner == hot.owner).map(Span::len).sum();
    assert!(owned < 8_000, "the owner of the hot key still owns {owned} keys");
}

#[test]
fn keys_of_a_lost_upstream_are_split_among_the_others() {
    let next = replan(&table(&["a", "b", "c"]), &candidates(&["a", "c"]), &[]).unwrap();
    let lost = holder("b", 1);
    assert!(next.spans.iter().all(|span| span.owner != lost));
    let moved: Vec<&Span> = next.spans.iter().filter(|span| !span.is_granted).collect();
    assert!(
        moved.iter().all(|span| span.former[0].holder == lost && span.fence == FencingToken(2))
    );
    let owners: std::collections::BTreeSet<&str> =
        moved.iter().map(|span| span.owner.id.as_str()).collect();
    assert_eq!(owners.len(), 2);
}

/// A span that is reassigned while its previous reassignment is pending must list both former holders, as either may
/// still have a grant in force.
#[test]
fn a_second_reassignment_keeps_both_former_holders() {
    let first = replan(&table(&["a", "b"]), &candidates(&["a", "c"]), &[]).unwrap();
    let second = replan(&first, &candidates(&["a"]), &[]).unwrap();
    let moved = second.spans.iter().find(|span| !span.is_granted).unwrap();
    let former: Vec<&str> = moved.former.iter().map(|f| f.holder.id.as_str()).collect();
    assert_eq!(former, ["b", "c"]);
}

#[test]
fn a_restarted_upstream_keeps_its_keys_with_a_larger_fencing_token() {
    let table = table(&["a", "b"]);
    let mut candidates = candidates(&["a", "b"]);
    candidates[1].holder.born = 2;
    let spans = plan::next_spans(&table, &candidates, &[]).unwrap();
    let owned = spans.iter().find(|span| span.owner == candidates[1].holder).unwrap();
    assert_eq!((owned.fence, owned.former.len(), owned.is_granted), (FencingToken(2), 0, false));
}

/// An entry with a later start may come from another writer, while the upstream still holds its keys at its address.
#[test]
fn an_upstream_listed_anew_at_another_address_has_to_release_its_keys() {
    let table = table(&["a", "b"]);
    let mut candidates = candidates(&["a", "b"]);
    let earlier = candidates[1].holder.clone();
    candidates[1].holder =
        Holder { born: u64::MAX, addr: ([127, 0, 0, 2], 9_000).into(), ..earlier.clone() };
    let spans = plan::next_spans(&table, &candidates, &[]).unwrap();
    let owned = spans.iter().find(|span| span.owner == candidates[1].holder).unwrap();
    let former: Vec<&Holder> = owned.former.iter().map(|former| &former.holder).collect();
    assert_eq!((former, owned.is_granted), (vec![&earlier], false));
}

#[rstest]
#[case(0.0)]
#[case(0.01)]
fn a_new_upstream_gets_keys(#[case] rate: f32) {
    let rates = vec![rate; 0x1_0000];
    let mut all = candidates(&["a", "b", "c"]);
    for candidate in &mut all {
        candidate.capacity = 400.0;
    }
    let next = replan(&table(&["a", "b"]), &all, &rates).unwrap();
    assert!(next.spans.iter().any(|span| span.owner.id.as_str() == "c"));
}

/// Load pattern: 200 neighbouring keys get several times the load that their owner can serve. One plan must spread them
/// over enough upstreams, as each further plan costs a round of releases and grants.
#[rstest]
#[case(8, 6.0)]
#[case(15, 4.0)]
#[case(88, 6.0)]
fn one_plan_spreads_a_hot_span(#[case] upstreams: usize, #[case] overload: f32) {
    let names: Vec<String> = (0..upstreams).map(|number| format!("u-{number:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let candidates = candidates(&names);
    let table = table(&names);
    let mut rates = vec![0.0; 0x1_0000];
    for rate in &mut rates[100..300] {
        *rate = 20.0 * overload / 200.0;
    }
    let before = max_utilization(&table, &candidates, &rates);
    assert!(before > overload * 0.9, "{before}");
    let next = with_all_granted(replan(&table, &candidates, &rates).unwrap());
    let after = max_utilization(&next, &candidates, &rates);
    assert!(after < 1.1, "{after}");
}

/// Capacity of an upstream whose entry says that it has as many slots as fit the field.
const MAX_CAPACITY: f32 = 4.3e12;

/// The numbers of slots in entries may be odd. Without a span for each key, the table would be of no use, and no later plan
/// would add them.
#[rstest]
#[case::none(&[0.0, 0.0, 0.0])]
#[case::only_one(&[0.0, 20.0, 0.0])]
#[case::first_far_too_many(&[MAX_CAPACITY, 20.0, 20.0])]
#[case::last_far_too_many(&[20.0, 0.0, MAX_CAPACITY])]
#[case::all_far_too_many(&[MAX_CAPACITY, MAX_CAPACITY, MAX_CAPACITY])]
fn all_keys_have_owners_whatever_the_capacities(#[case] capacities: &[f32]) {
    let mut candidates = candidates(&["a", "b", "c"]);
    for (candidate, capacity) in candidates.iter_mut().zip(capacities) {
        candidate.capacity = *capacity;
    }
    let spans = plan::initial_spans(&candidates, FencingToken(1));
    let mut table = with_all_granted(Table { spans, ..table(&["a"]) });
    table.check().unwrap();
    let rates = vec![0.01; 0x1_0000];
    for _ in 0..10 {
        let Some(next) = replan(&table, &candidates, &rates) else { break };
        table = with_all_granted(next);
        table.check().unwrap();
    }
    candidates.pop();
    table = replan(&table, &candidates, &rates).map_or(table, with_all_granted);
    table.check().unwrap();
}
