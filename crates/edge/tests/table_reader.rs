//! Decoding of successive versions of an ownership table.

#![allow(clippy::unwrap_used)]

use rstest::rstest;
use skylarkdock_edge::control::table_reader::TableReader;
use skylarkdock_spans::table::{FencingToken, FormerGrant, Holder, Span, Table};

/// Number of spans of a large fleet.
const SPANS: usize = 1_024;

fn holder(number: u64) -> Holder {
    Holder {
        id: format!("i-{number:010}").parse().unwrap(),
        born: number,
        addr: ([127, 0, 0, 1], 1_000).into(),
        region: "r".parse().unwrap(),
    }
}

fn table(spans: Vec<Span>, version: u64) -> Table {
    Table {
        service: "s".parse().unwrap(),
        version,
        leader: "h".parse().unwrap(),
        keepers: Vec::new(),
        retired: Vec::new(),
        copy: None,
        next_fence: FencingToken(1_000),
        spans,
    }
}

fn equal_spans() -> Vec<Span> {
    let width = u16::try_from(0x1_0000 / SPANS).unwrap();
    let numbers = 0..u16::try_from(SPANS).unwrap();
    let spans = numbers.map(|number| Span {
        first: number * width,
        last: number * width + (width - 1),
        owner: holder(u64::from(number) % 311),
        fence: FencingToken(1),
        is_granted: true,
        former: Vec::new(),
    });
    spans.collect()
}

/// A hot key moves, its span is split, and the halves are merged again: each version changes a few spans among many.
#[rstest]
fn only_changed_spans_are_decoded(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut spans = equal_spans();
    let mut reader = TableReader::default();
    let first = table(spans.clone(), 1);
    assert_eq!(reader.read(&serde_json::to_vec(&first).unwrap()).unwrap(), first);
    assert_eq!(reader.decoded(), SPANS, "nothing is known before");
    for version in 2..200 {
        let changes = rng.usize(0..4);
        for _ in 0..changes {
            let index = rng.usize(..spans.len() - 1);
            let fence = FencingToken(version);
            match rng.u8(..3) {
                0 => {
                    let holder = holder(rng.u64(..311));
                    let former = FormerGrant {
                        holder: std::mem::replace(&mut spans[index].owner, holder),
                        fence: std::mem::replace(&mut spans[index].fence, fence),
                    };
                    spans[index].former.push(former);
                    spans[index].is_granted = !spans[index].is_granted;
                }
                1 if spans[index].len() > 1 => {
                    let middle = spans[index].first + (spans[index].last - spans[index].first) / 2;
                    let second = Span { first: middle + 1, fence, ..spans[index].clone() };
                    spans[index].last = middle;
                    spans.insert(index + 1, second);
                }
                _ => {
                    let merged = spans.remove(index + 1);
                    spans[index].last = merged.last;
                }
            }
        }
        let expected = table(spans.clone(), version);
        assert!(expected.check().is_ok());
        let text = serde_json::to_vec(&expected).unwrap();
        assert_eq!(reader.read(&text).unwrap(), expected, "version {version}");
        assert!(reader.decoded() <= 2 * changes, "version {version}: {}", reader.decoded());
    }
}

/// Bytes that are no table leave the version before as it is.
#[test]
fn a_text_that_is_no_table_is_refused() {
    let mut reader = TableReader::default();
    let known = table(equal_spans(), 1);
    let text = serde_json::to_vec(&known).unwrap();
    reader.read(&text).unwrap();
    for damaged in [&text[..text.len() / 2], b"", b"{}", b"[1]", &text[1..]] {
        assert!(reader.read(damaged).is_err());
    }
    let damaged =
        String::from_utf8(text.clone()).unwrap().replacen("\"born\":5", "\"born\":\"x\"", 1);
    assert!(reader.read(damaged.as_bytes()).is_err());
    assert_eq!(reader.read(&text).unwrap(), known);
    assert_eq!(reader.decoded(), 0);
}

/// Other versions may write the same table in another way.
#[test]
fn a_table_that_is_written_in_another_way_is_read() {
    let mut reader = TableReader::default();
    for version in 1_u8..6 {
        let mut spans = equal_spans();
        spans[usize::from(version)].fence = FencingToken(9);
        let table = table(spans, u64::from(version));
        let text = if version % 2 == 0 {
            serde_json::to_vec_pretty(&table).unwrap()
        } else {
            serde_json::to_vec(&table).unwrap()
        };
        assert_eq!(reader.read(&text).unwrap(), table, "version {version}");
    }
}

/// The ends of the list, where there is no comma, and lists of no span at all.
#[test]
fn spans_at_the_ends_of_the_list_change() {
    let mut reader = TableReader::default();
    let all = equal_spans();
    let lists = [0..3, 1..3, 0..3, 0..2, 0..3, 0..0, 0..1, 2..3, 0..0, 0..0, 0..3, 0..3];
    for (version, range) in (1..).zip(lists) {
        let table = table(all[range].to_vec(), version);
        let text = serde_json::to_vec(&table).unwrap();
        assert_eq!(reader.read(&text).unwrap(), table, "version {version}");
    }
}

/// Bytes are lost or changed at any place: the result is an error or what the text says, never something between.
#[test]
fn a_damaged_text_is_refused_or_read_as_it_is() {
    let mut rng = fastrand::Rng::with_seed(1);
    let known = table(equal_spans()[..20].to_vec(), 1);
    let text = serde_json::to_vec(&known).unwrap();
    for _ in 0..5_000 {
        let mut reader = TableReader::default();
        reader.read(&text).unwrap();
        let mut damaged = text.clone();
        let index = rng.usize(..damaged.len());
        match rng.u8(..3) {
            0 => damaged[index] = b"{},:[]\"0"[rng.usize(..8)],
            1 => drop(damaged.remove(index)),
            _ => damaged.insert(index, b"{},:[]\"0"[rng.usize(..8)]),
        }
        let expected = serde_json::from_slice::<Table>(&damaged).ok();
        assert_eq!(reader.read(&damaged).ok(), expected, "{}", String::from_utf8_lossy(&damaged));
        assert_eq!(reader.read(&text).unwrap(), known);
    }
}
