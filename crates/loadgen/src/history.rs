//! History file of a run: one JSON line per attempt, written by a separate thread.

use crate::failures::Failure;
use serde::{Deserialize, Serialize};
use skylarkdock_units::requests::RequestId;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle};

/// Record of one attempt of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Id of the request, the same for each of its attempts.
    pub id: RequestId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Routing key of the request.
    pub key: String,
    /// Whether the request must run at most once, so that its id was sent as the idempotency key.
    pub once_only: bool,
    /// Address that the attempt was sent to.
    pub target: SocketAddr,
    /// When the attempt started, in microseconds since the Unix epoch.
    pub start_us: u64,
    /// When the attempt ended, in microseconds since the Unix epoch.
    pub end_us: u64,
    /// HTTP status of the response.
    pub status: Option<u16>,
    /// Outcome header of the response.
    pub outcome: Option<String>,
    /// Why there is no complete response.
    pub failure: Option<Failure>,
    /// Bytes of the response body that were received.
    pub body_bytes: u64,
    /// Whether the complete response was received.
    pub whole: bool,
    /// Whether the key and the request id in the response are those of the request; `None` if there is no response or
    /// its headers name neither.
    pub named: Option<bool>,
    /// Whether the request started during the warm-up and is left out of the result.
    pub warmup: bool,
}

/// Writes the entries of a run to its history file.
pub struct HistoryWriter {
    tx: Sender<HistoryEntry>,
    thread: JoinHandle<io::Result<()>>,
}

impl HistoryWriter {
    /// Creates the history file and starts the thread that writes it.
    ///
    /// # Errors
    ///
    /// Fails when the file can't be created or the thread can't be started.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = BufWriter::new(File::create(path)?);
        let (tx, rx) = mpsc::channel();
        let thread = thread::Builder::new()
            .name("history".to_owned())
            .spawn(move || write_entries(file, &rx))?;
        Ok(Self { tx, thread })
    }

    /// Returns a sender for the entries to write.
    pub fn sender(&self) -> Sender<HistoryEntry> {
        self.tx.clone()
    }

    /// Waits until all entries are written. Blocks until every sender has been dropped.
    ///
    /// # Errors
    ///
    /// Fails when an entry could not be written.
    pub fn finish(self) -> io::Result<()> {
        drop(self.tx);
        self.thread.join().unwrap_or_else(|_| Err(io::ErrorKind::Other.into()))
    }
}

fn write_entries(mut file: BufWriter<File>, rx: &Receiver<HistoryEntry>) -> io::Result<()> {
    for entry in rx {
        serde_json::to_writer(&mut file, &entry)?;
        file.write_all(b"\n")?;
    }
    file.flush()
}
