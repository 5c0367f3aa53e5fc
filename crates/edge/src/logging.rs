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
use std::sync::{Mutex, PoisonError};
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
/// Longest wait for the lines that are queued when the process ends; well below the margin that a shutdown leaves before
/// the process is killed.
const FLUSH_TIMEOUT: Millis = Millis(100);
/// Pause between attempts to enter a full queue during a flush.
const FLUSH_RETRY_PAUSE: Millis = Millis(5);

/// Entry of the queue to the writing thread.
#[derive(Debug)]
enum Queued {
    Line(Vec<u8>),
    /// Asks for an answer once all earlier lines are written.
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

/// Appender that formats lines and queues them for a writing thread.
#[derive(Debug)]
pub struct QueueAppender {
    layout: JsonLayout,
    lines: SyncSender<Queued>,
    limiter: Mutex<RateLimiter>,
}

impl QueueAppender {
    /// Starts the thread that writes to `out`.
    ///
    /// # Errors
    ///
    /// Fails when the thread can't be started.
    pub fn start(out: impl Write + Send + 'static) -> io::Result<Self> {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new().name("log".to_owned()).spawn(move || write_lines(&queue, out))?;
        let limiter =
            Mutex::new(RateLimiter { started: Instant::now(), kinds: FastMap::default() });
        Ok(Self { layout: JsonLayout::default(), lines, limiter })
    }

    /// Waits until the lines that are queued now are written.
    ///
    /// # Errors
    ///
    /// Fails if they are not within `timeout`.
    pub fn wait_written(&self, timeout: Millis) -> Result<(), logforth::Error> {
        let end = Instant::now() + timeout.duration();
        let (tx, rx) = sync_channel(1);
        while let Err(TrySendError::Full(_)) = self.lines.try_send(Queued::Flush(tx.clone())) {
            if Instant::now() >= end {
                break;
            }
            thread::sleep(FLUSH_RETRY_PAUSE.duration());
        }
        // Without this, a flush that could not be queued would look like one that takes long.
        drop(tx);
        let left = end.saturating_duration_since(Instant::now());
        rx.recv_timeout(left).map_err(|_| logforth::Error::new("queued log lines were not written"))
    }
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
        if self.lines.try_send(Queued::Line(line)).is_err() {
            metrics::counter!("skylarkdock_log_lines_dropped_total").increment(1);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        self.wait_written(FLUSH_TIMEOUT)
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
    let append = QueueAppender::start(io::stdout())?;
    logforth::starter_log::builder()
        .dispatch(|d| d.filter(LevelFilter::MoreSevereEqual(Level::Info)).append(append))
        .apply();
    Ok(())
}

fn write_lines(queue: &Receiver<Queued>, mut out: impl Write) {
    while let Ok(queued) = queue.recv() {
        let line = match queued {
            Queued::Line(line) => line,
            Queued::Flush(done) => {
                // The waiting thread may have given up.
                let _ = done.try_send(());
                continue;
            }
        };
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            metrics::counter!("skylarkdock_log_lines_dropped_total").increment(1);
        }
    }
}
