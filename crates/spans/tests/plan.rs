//! Choice of owners under shifting load.

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
        next_fence: FencingToken(2),
        spans,
    }
}

fn replan(table: &Table, candidates: &[Candidate], rates: &[f32]) -> Option<Table> {
    let rates: Vec<(u16, f32)> =
        (0..=u16::MAX).zip(rates).map(|(key, rate)| (key, *rate)).collect();
    let spans = plan::next_spans(table, candidates, &rates, |_| false)?;
    let next = Table { spans, next_fence: FencingToken(table.next_fence.0 + 1), ..table.clone() };
    next.check().unwrap();
    Some(next)
}

fn settle(mut table: Table) -> Table {
    for span in &mut table.spans {
        span.is_granted = true;
        span.former.clear();
    }
    table
}

/// Returns the largest utilization of any upstream.
fn busiest(table: &Table, candidates: &[Candidate], rates: &[f32]) -> f32 {
    let load = |span: &Span| -> f32 {
        (span.first..=span.last).filter_map(|key| rates.get(usize::from(key))).sum()
    };
    let own = |c: &Candidate| -> f32 {
        table.spans.iter().filter(|s| s.owner == c.holder).map(load).sum::<f32>() / c.capacity
    };
    candidates.iter().map(own).fold(0.0, f32::max)
}

#[test]
fn the_first_spans_are_all_keys() {
    for count in 1..=12 {
        let names: Vec<String> = (0..count).map(|n| format!("u{n}")).collect();
        let names: Vec<&str> = names.iter().map(String::as_str).collect();
        assert_eq!(table(&names).check(), Ok(()));
    }
}

#[test]
fn gaps_and_reused_fences_are_found() {
    let mut broken = table(&["a", "b"]);
    broken.spans[1].first += 1;
    assert_eq!(broken.check(), Err(TableError::Gap(32_768)));
    let mut reused = table(&["a", "b"]);
    reused.spans[0].fence = FencingToken(2);
    assert_eq!(reused.check(), Err(TableError::FencingToken(FencingToken(2))));
}

#[test]
fn quiet_keys_stay_where_they_are() {
    assert_eq!(replan(&table(&["a", "b", "c"]), &candidates(&["a", "b", "c"]), &[]), None);
}

/// Load pattern: two hundred keys next to each other get most of the traffic, all on one upstream.
#[test]
fn hot_neighbours_are_spread_within_a_few_plans() {
    let candidates = candidates(&["a", "b", "c", "d"]);
    let mut table = table(&["a", "b", "c", "d"]);
    let mut rates = vec![0.0003; 0x1_0000];
    for rate in &mut rates[10_000..10_200] {
        *rate = 0.2;
    }
    for _ in 0..4 {
        if let Some(next) = replan(&table, &candidates, &rates) {
            table = settle(next);
        }
    }
    let after = busiest(&table, &candidates, &rates);
    assert!(after < 0.95, "{after}");
}

/// Load pattern: one key alone gets more than its upstream's share.
#[test]
fn the_neighbours_of_a_hot_key_move_away_from_it() {
    let candidates = candidates(&["a", "b", "c", "d"]);
    let mut table = table(&["a", "b", "c", "d"]);
    let mut rates = vec![0.0005; 0x1_0000];
    rates[20_000] = 18.0;
    for _ in 0..5 {
        if let Some(next) = replan(&table, &candidates, &rates) {
            table = settle(next);
        }
    }
    let hot = table.span(20_000).unwrap();
    let own: u32 = table.spans.iter().filter(|s| s.owner == hot.owner).map(Span::len).sum();
    assert!(own < 8_000, "the owner of the hot key keeps {own} keys");
}

#[test]
fn a_lost_upstreams_keys_are_shared_out() {
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

/// A change that is under way keeps all former holders until they have let go.
#[test]
fn a_second_change_keeps_the_first_former_holder() {
    let first = replan(&table(&["a", "b"]), &candidates(&["a", "c"]), &[]).unwrap();
    let second = replan(&first, &candidates(&["a"]), &[]).unwrap();
    let moved = second.spans.iter().find(|span| !span.is_granted).unwrap();
    let former: Vec<&str> = moved.former.iter().map(|f| f.holder.id.as_str()).collect();
    assert_eq!(former, ["b", "c"]);
}

#[test]
fn a_restarted_upstream_keeps_its_keys_with_a_higher_fence() {
    let table = table(&["a", "b"]);
    let mut candidates = candidates(&["a", "b"]);
    candidates[1].holder.born = 2;
    let spans = plan::next_spans(&table, &candidates, &[], |dead| {
        dead.born == 1 && dead.id.as_str() == "b"
    });
    let spans = spans.unwrap();
    let own = spans.iter().find(|span| span.owner == candidates[1].holder).unwrap();
    assert_eq!((own.fence, own.former.len(), own.is_granted), (FencingToken(2), 0, false));
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

/// Load pattern: a few hundred keys next to each other get many times what their owner can carry. One plan spreads them
/// over as many upstreams as it takes, as each plan costs a round of releases and grants.
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
    let before = busiest(&table, &candidates, &rates);
    assert!(before > overload * 0.9, "{before}");
    let next = settle(replan(&table, &candidates, &rates).unwrap());
    let after = busiest(&next, &candidates, &rates);
    assert!(after < 1.1, "{after}");
}
