//! Queued log lines.

#![allow(clippy::unwrap_used)]

use logforth::Append;
use logforth::record::Record;
use skylarkdock_edge::logging::QueueAppender;
use skylarkdock_units::times::Millis;
use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Output that takes a while for each write.
#[derive(Clone, Default)]
struct SlowOutput(Arc<Mutex<Vec<u8>>>);

impl Write for SlowOutput {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        thread::sleep(Duration::from_millis(5));
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// A process ended before the line of its planned stop was written, so that the stop could not be told from a crash.
#[test]
fn queued_lines_are_written_before_a_flush_ends() {
    let out = SlowOutput::default();
    let append = QueueAppender::start(out.clone()).unwrap();
    for text in ["host: leaving", "host: stopped"] {
        append.append(&Record::builder().payload(format_args!("{text}")).build(), &[]).unwrap();
    }
    append.wait_written(Millis(60_000)).unwrap();
    let written = String::from_utf8(out.0.lock().unwrap().clone()).unwrap();
    assert!(written.contains("host: stopped"), "{written}");
}

/// A log that is never read must not keep the process from ending.
#[test]
fn a_flush_gives_up_an_output_that_takes_nothing() {
    struct Blocked;
    impl Write for Blocked {
        fn write(&mut self, _: &[u8]) -> io::Result<usize> {
            loop {
                thread::park();
            }
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }
    let append = QueueAppender::start(Blocked).unwrap();
    append.append(&Record::builder().payload(format_args!("host: stopped")).build(), &[]).unwrap();
    assert!(append.flush().is_err());
}
