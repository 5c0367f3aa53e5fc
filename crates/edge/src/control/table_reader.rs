//! Decoding of successive versions of an ownership table.
//!
//! Load pattern: while keys move, each host of a large fleet gets a table of hundreds of spans several times a second, in
//! which a few spans have changed. Decoding all of them took a quarter of the processor time of 295 hosts, and finding out
//! which ones have changed a tenth. So only the text between the first and the last change is parsed, and of the spans in
//! it only those whose text has changed are decoded.

use serde_json::value::RawValue;
use skylarkdock_spans::table::{Span, Table};
use std::iter;
use std::ops::Range;

/// What precedes the spans in the text of a table, and what follows them.
const SPANS_START: &[u8] = b"\"spans\":[";
const SPANS_END: &[u8] = b"]}";

/// Decodes the versions of one table.
#[derive(Debug, Default)]
pub struct TableReader {
    /// Spans of the version that was decoded last, in key order.
    spans: Vec<Span>,
    /// Their text, with a comma between two of them.
    text: Vec<u8>,
    /// Offset in the text of the end of each span.
    ends: Vec<usize>,
    decoded: usize,
}

/// Part of a new version that is not taken over from the one before.
struct Change {
    /// Indices of the spans that it replaces.
    replaced: Range<usize>,
    spans: Vec<Span>,
    /// Lengths of the texts of the spans.
    lengths: Vec<usize>,
    /// Number of spans that had to be decoded.
    decoded: usize,
}

impl TableReader {
    /// Decodes a version of the table.
    ///
    /// # Errors
    ///
    /// Fails if the text is no table. The next version is then decoded as if this one had not been read.
    pub fn read(&mut self, text: &[u8]) -> Result<Table, serde_json::Error> {
        let Some((mut table, spans)) = split(text) else { return self.read_whole(text) };
        let Some(change) = self.change(spans) else { return self.read_whole(text) };
        self.apply(change, spans);
        table.spans.clone_from(&self.spans);
        Ok(table)
    }

    /// Returns the number of spans of the last version that were not taken over from the one before.
    pub const fn decoded(&self) -> usize {
        self.decoded
    }

    /// Decodes a text that is not written as hosts of this version write it.
    fn read_whole(&mut self, text: &[u8]) -> Result<Table, serde_json::Error> {
        let table: Table = serde_json::from_slice(text)?;
        *self = Self { decoded: table.spans.len(), ..Self::default() };
        Ok(table)
    }

    /// Returns the offset in the text of the start of a span, or of the end if there is none with this index.
    fn start(&self, index: usize) -> usize {
        match index.checked_sub(1) {
            Some(previous) => (self.ends[previous] + 1).min(self.text.len()),
            None => 0,
        }
    }

    /// Returns what has changed between the known spans and a new text; `None` if it is not of the expected form.
    fn change(&self, text: &[u8]) -> Option<Change> {
        let equal = common_prefix(self.text.iter(), text.iter());
        // The comma after a span is part of the equal text, so the span ends there in both.
        let first = self.ends.partition_point(|end| *end < equal);
        let from = self.start(first);
        let (known_rest, rest) = (&self.text[from..], text.get(from..)?);
        let equal = common_prefix(known_rest.iter().rev(), rest.iter().rev());
        let equal_from = self.text.len() - equal;
        // The comma before a span is part of the equal text, or the last one of the equal spans before.
        let is_equal = |index: usize| {
            let start = self.start(index);
            start > equal_from || (start == equal_from && start == from)
        };
        let count = self.spans.len();
        let end = (first..count).find(|index| is_equal(*index)).unwrap_or(count);
        let kept = if end < count { self.text.len() - self.start(end) } else { 0 };
        let changed = rest.get(..rest.len().checked_sub(kept)?)?;
        let changed = match (changed.is_empty(), kept > 0) {
            // A comma without a span before it is no table.
            (false, true) => changed.strip_suffix(b",").filter(|spans| !spans.is_empty())?,
            // The last of the equal bytes is a comma.
            (true, false) if first > 0 => return None,
            _ => changed,
        };
        self.decode(changed, first..end)
    }

    /// Decodes the spans of a text that replaces some of the known ones.
    fn decode(&self, text: &[u8], replaced: Range<usize>) -> Option<Change> {
        let array = [b"[", text, b"]"].concat();
        let texts: Vec<&RawValue> = serde_json::from_slice(&array).ok()?;
        let lengths: Vec<usize> = texts.iter().map(|text| text.get().len()).collect();
        if lengths.iter().sum::<usize>() + lengths.len().saturating_sub(1) != text.len() {
            return None;
        }
        let mut spans = Vec::with_capacity(texts.len());
        let mut decoded = 0;
        let mut known = replaced.clone().peekable();
        for text in texts {
            let is_same = |index: &usize| {
                &self.text[self.start(*index)..self.ends[*index]] == text.get().as_bytes()
            };
            if let Some(index) = known.next_if(is_same) {
                spans.push(self.spans[index].clone());
                continue;
            }
            let span: Span = serde_json::from_str(text.get()).ok()?;
            decoded += 1;
            while known.next_if(|index| self.spans[*index].last <= span.last).is_some() {}
            spans.push(span);
        }
        Some(Change { replaced, spans, lengths, decoded })
    }

    fn apply(&mut self, change: Change, text: &[u8]) {
        let Change { replaced, spans, lengths, decoded } = change;
        let (known_len, mut start) = (self.text.len(), self.start(replaced.start));
        let new_ends: Vec<usize> = lengths
            .into_iter()
            .map(|length| {
                let end = start + length;
                start = end + 1;
                end
            })
            .collect();
        for end in &mut self.ends[replaced.end..] {
            *end = text.len() - (known_len - *end);
        }
        self.ends.splice(replaced.clone(), new_ends);
        self.spans.splice(replaced, spans);
        self.text.clear();
        self.text.extend_from_slice(text);
        self.decoded = decoded;
    }
}

/// Returns a table without its spans, and their text; `None` if the text is not written as hosts of this version write it.
fn split(text: &[u8]) -> Option<(Table, &[u8])> {
    let start = text.windows(SPANS_START.len()).position(|part| part == SPANS_START)?;
    let (header, spans) = text.split_at(start + SPANS_START.len());
    let spans = spans.strip_suffix(SPANS_END)?;
    let empty = [header, SPANS_END].concat();
    Some((serde_json::from_slice(&empty).ok()?, spans))
}

/// Returns the number of equal bytes at the start.
fn common_prefix<'a>(
    one: impl Iterator<Item = &'a u8>,
    other: impl Iterator<Item = &'a u8>,
) -> usize {
    iter::zip(one, other).take_while(|(one, other)| one == other).count()
}
