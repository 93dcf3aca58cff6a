//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::BufWriter;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates `record.txt` in the folder that `CASE_DIR` names.
    pub fn create() -> Self {
        let folder = std::env::var("CASE_DIR").unwrap_or_else(|_| ".".to_owned());
        let file = File::create(format!("{folder}/record.txt")).expect("record.txt can be written");
        Self { start: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no thread has panicked");
        let _ = writeln!(file, "{at:8.3} {text}");
    }

    /// A line that is also printed.
    pub fn say(&self, text: &str) {
        println!("{:8.3} {text}", self.start.elapsed().as_secs_f64());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().expect("no thread has panicked").flush();
    }
}
