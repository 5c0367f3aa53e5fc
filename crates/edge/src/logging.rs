//! Logs to standard output, one JSON object a line.
//!
//! A dedicated thread writes the lines, so that requests don't wait for a slow log reader. Lines are rate-limited by
//! kind, which is their message. Lines that are held back by the limit or dropped are counted in
//! metrics, and the number of held back lines is logged.

use logforth::layout::JsonLayout;
use logforth::record::{Level, LevelFilter, Record};
use logforth::{Append, Diagnostic, Layout};
use skylarkdock_units::collections::FastMap;
use skylarkdock_units::times::Millis;
use std::io::{self, Write};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::Instant;

/// Number of lines that may wait to be written. Further lines are dropped.
const MAX_QUEUED_LINES: usize = 1_024;
/// Limit for warnings and errors of one kind; high enough that a few failures per second are all logged.
const MAX_FAILURES_PER_SECOND: u32 = 60;
/// Limit for other lines of one kind.
const MAX_LINES_PER_SECOND: u32 = 20;
/// Number of kinds with a limit of their own; lines of further kinds share one.
const MAX_KINDS: usize = 256;

/// Pause between two tries to flush while the queue is full.
const FULL_QUEUE_PAUSE: Millis = Millis(5);

/// Queue of the log thread, once it is started.
static QUEUE: OnceLock<SyncSender<Entry>> = OnceLock::new();

/// Entry of the queue of the log thread.
#[derive(Debug)]
enum Entry {
    Line(Vec<u8>),
    /// Tells the receiver that all earlier lines are written.
    Flush(SyncSender<()>),
}

/// Lines of one kind in the current second, and those held back since one was last written.
#[derive(Debug, Default, Clone, Copy)]
struct KindState {
    second: u64,
    written: u32,
    held_back: u64,
}

/// Rate limiter for lines, by kind.
#[derive(Debug)]
struct RateLimiter {
    started: Instant,
    kinds: FastMap<String, KindState>,
}

impl RateLimiter {
    /// Returns how many lines of this kind were held back since the last one, or `None` if this one is held back too.
    fn admit(&mut self, kind: &str, limit: u32) -> Option<u64> {
        let second = self.started.elapsed().as_secs();
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind) {
            return self.admit("other", limit);
        }
        let state = match self.kinds.get_mut(kind) {
            Some(state) => state,
            None => self.kinds.entry(kind.to_owned()).or_default(),
        };
        if state.second != second {
            state.second = second;
            state.written = 0;
        }
        if state.written >= limit {
            state.held_back += 1;
            return None;
        }
        state.written += 1;
        Some(std::mem::take(&mut state.held_back))
    }
}

/// Appender that formats lines and queues them for the writing thread.
#[derive(Debug)]
struct QueueAppender {
    layout: JsonLayout,
    queue: SyncSender<Entry>,
    limiter: Mutex<RateLimiter>,
}

impl Append for QueueAppender {
    fn append(
        &self,
        record: &Record<'_>,
        diags: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let kind = record.payload().to_string();
        let is_failure = record.level() >= Level::Warn;
        let limit = if is_failure { MAX_FAILURES_PER_SECOND } else { MAX_LINES_PER_SECOND };
        let admitted =
            self.limiter.lock().unwrap_or_else(PoisonError::into_inner).admit(&kind, limit);
        let Some(held_back) = admitted else {
            metrics::counter!("skylarkdock_log_lines_held_back_total").increment(1);
            return Ok(());
        };
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        if held_back > 0 {
            line.extend_from_slice(held_back_line(record, &kind, held_back).as_bytes());
        }
        if self.queue.try_send(Entry::Line(line)).is_err() {
            metrics::counter!("skylarkdock_log_lines_dropped_total").increment(1);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

fn held_back_line(record: &Record<'_>, kind: &str, count: u64) -> String {
    let at = jiff::Timestamp::try_from(record.time()).unwrap_or_default();
    let line = serde_json::json!({
        "timestamp": at.to_string(),
        "level": "INFO",
        "message": "log: lines were held back",
        "kvs": { "kind": kind, "count": count },
    });
    format!("{line}\n")
}

/// Starts the log thread and installs the logger.
///
/// # Errors
///
/// Fails when the thread can't be started.
pub fn start() -> io::Result<()> {
    let (tx, rx) = sync_channel(MAX_QUEUED_LINES);
    thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&rx))?;
    let limiter = Mutex::new(RateLimiter { started: Instant::now(), kinds: FastMap::default() });
    let append = QueueAppender { layout: JsonLayout::default(), queue: tx.clone(), limiter };
    QUEUE.get_or_init(|| tx);
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(append))
        .apply();
    Ok(())
}

/// Waits until the lines logged so far are written, at most for `timeout`. A process that exits without this loses them.
pub fn flush(timeout: Millis) {
    let Some(queue) = QUEUE.get() else { return };
    let give_up_at = Instant::now() + timeout.duration();
    let (tx, rx) = sync_channel(1);
    let mut entry = Entry::Flush(tx);
    // While the queue is full, lines are written or the reader is too slow.
    while let Err(TrySendError::Full(refused)) = queue.try_send(entry) {
        if Instant::now() >= give_up_at {
            return;
        }
        entry = refused;
        thread::sleep(FULL_QUEUE_PAUSE.duration());
    }
    // Fails if the time is over, as the process may exit then.
    let _ = rx.recv_timeout(give_up_at.saturating_duration_since(Instant::now()));
}

fn write_lines(entries: &Receiver<Entry>) {
    let mut out = io::stdout();
    while let Ok(entry) = entries.recv() {
        let line = match entry {
            Entry::Line(line) => line,
            Entry::Flush(done) => {
                let _ = done.try_send(());
                continue;
            }
        };
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            metrics::counter!("skylarkdock_log_lines_dropped_total").increment(1);
        }
    }
}
