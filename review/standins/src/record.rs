//! The record of a case: a line for each event, with the milliseconds since the start.

use std::fs::File;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { started: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn ms(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:>6} {text}\n", self.ms());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}
