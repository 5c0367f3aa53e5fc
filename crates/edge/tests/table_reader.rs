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
        next_fence: FencingToken(u64::MAX),
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
