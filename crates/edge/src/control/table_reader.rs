//! Decoding of successive versions of an ownership table.
//!
//! Load pattern: while keys move, each host of a large fleet gets a table of hundreds of spans several times a second, in
//! which a few spans have changed. Decoding all of them took a quarter of the processor time of 295 hosts. A span whose
//! text has not changed is therefore taken over from the version before.

use serde::Deserialize;
use serde_json::value::RawValue;
use skylarkdock_spans::table::{FencingToken, Keeper, Span, Table};
use skylarkdock_units::ids::{HostId, ServiceName};
use xxhash_rust::xxh3;

/// Table whose spans have not been decoded. Has the fields of [`Table`].
#[derive(Deserialize)]
struct RawTable<'a> {
    service: ServiceName,
    version: u64,
    leader: HostId,
    keepers: Vec<Keeper>,
    retired: Vec<HostId>,
    next_fence: FencingToken,
    #[serde(borrow)]
    spans: Vec<&'a RawValue>,
}

/// Decodes the versions of one table.
#[derive(Debug, Default)]
pub struct TableReader {
    /// Spans of the version that was decoded last, in key order, with the hashes of their texts.
    spans: Vec<(u64, Span)>,
    decoded: usize,
}

impl TableReader {
    /// Decodes a version of the table.
    ///
    /// # Errors
    ///
    /// Fails if the text is no table. The next version is then decoded as if this one had not been read.
    pub fn read(&mut self, text: &[u8]) -> Result<Table, serde_json::Error> {
        let raw: RawTable<'_> = serde_json::from_slice(text)?;
        let mut spans: Vec<(u64, Span)> = Vec::with_capacity(raw.spans.len());
        let mut known = self.spans.iter().peekable();
        let mut decoded = 0;
        for text in raw.spans {
            let hash = xxh3::xxh3_64(text.get().as_bytes());
            if let Some((_, span)) = known.next_if(|(known_hash, _)| *known_hash == hash) {
                spans.push((hash, span.clone()));
                continue;
            }
            let span: Span = serde_json::from_str(text.get())?;
            decoded += 1;
            while known.next_if(|(_, other)| other.last <= span.last).is_some() {}
            spans.push((hash, span));
        }
        self.spans = spans;
        self.decoded = decoded;
        Ok(Table {
            service: raw.service,
            version: raw.version,
            leader: raw.leader,
            keepers: raw.keepers,
            retired: raw.retired,
            next_fence: raw.next_fence,
            spans: self.spans.iter().map(|(_, span)| span.clone()).collect(),
        })
    }

    /// Returns the number of spans of the last version that were not taken over from the one before.
    pub const fn decoded(&self) -> usize {
        self.decoded
    }
}
