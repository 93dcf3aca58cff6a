//! The record of a case: what was sent, answered and run, with times since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

/// Writes lines to `record.txt`; clones share the file.
#[derive(Clone)]
pub struct Recorder {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Recorder {
    /// Creates `record.txt` in `folder`.
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Writes one line.
    pub fn line(&self, text: &str) {
        let at = self.now().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{at:8.3} {text}").expect("record.txt can be written");
    }

    /// Writes one line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.now().as_secs_f64());
        self.line(text);
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
