//! Logs to standard output, one JSON object a line.
//!
//! A thread of its own writes, so that no request waits for a slow reader of the logs. What does not fit its buffer is
//! dropped and counted.

use logforth::layout::JsonLayout;
use logforth::record::LevelFilter;
use logforth::{Append, Diagnostic, Layout};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::thread;

/// Lines that wait to be written at most.
const MAX_WAITING: usize = 2_048;

/// Appends lines to a bounded buffer.
#[derive(Debug)]
struct Buffered {
    layout: JsonLayout,
    lines: SyncSender<Vec<u8>>,
    dropped: AtomicU64,
}

impl Append for Buffered {
    fn append(
        &self,
        record: &logforth::record::Record<'_>,
        diags: &[Box<dyn Diagnostic>],
    ) -> Result<(), logforth::Error> {
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("skylarkdock_log_lines_dropped_total").increment(1);
        }
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}

/// Starts logging.
///
/// # Errors
///
/// Fails when the thread can't be started.
pub fn start() -> io::Result<()> {
    let (tx, rx) = sync_channel(MAX_WAITING);
    thread::Builder::new().name("log".to_owned()).spawn(move || write(&rx))?;
    let append = Buffered { layout: JsonLayout::default(), lines: tx, dropped: AtomicU64::new(0) };
    logforth::starter_log::builder()
        .dispatch(|d| {
            d.filter(LevelFilter::MoreSevereEqual(logforth::record::Level::Info)).append(append)
        })
        .apply();
    Ok(())
}

fn write(lines: &Receiver<Vec<u8>>) {
    let mut out = io::stdout();
    while let Ok(line) = lines.recv() {
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            metrics::counter!("skylarkdock_log_lines_dropped_total").increment(1);
        }
    }
}
