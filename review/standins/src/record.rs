//! The record of a case: what was sent, answered and run, with the time since the start in milliseconds.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Shared by all stand-ins of a case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Creates the file.
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    /// Appends a line.
    pub fn line(&self, who: &str, text: &str) {
        let ms = self.start.elapsed().as_secs_f64() * 1e3;
        let mut file = self.file.lock().expect("the record is not poisoned");
        writeln!(file, "{ms:9.1} ms  {who:<11} {text}").expect("record.txt can be written");
    }

    /// The time since the start.
    pub fn elapsed(&self) -> Duration {
        self.start.elapsed()
    }
}
