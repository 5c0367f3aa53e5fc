//! Record of what was sent, answered and run, as `record.txt` in the folder of a case.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writer of the record; clones write to the same file.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self { started: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) })
    }

    /// Writes a line with the time since the start of the case.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the file");
        let _ = writeln!(file, "{at:9.3} s  {text}");
    }

    /// Writes a line to the record and to the standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
        let _ = self.file.lock().expect("the file").flush();
    }
}
