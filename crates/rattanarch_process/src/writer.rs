//! Output that never blocks the process.

use std::io;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;

use crate::logs::DROPPED;

/// Lines that may wait for their writer; about a second of the busiest logs.
const WAITING_LINES: usize = 1_024;

/// Most bytes that are written at once, so that a burst takes few system calls.
const BATCH_BYTES: usize = 64 << 10;

/// Hands whole lines to a thread that writes them. Lines that find the queue full are dropped and
/// counted.
pub(crate) struct LineWriter {
    lines: SyncSender<Vec<u8>>,
    line: Vec<u8>,
}

impl LineWriter {
    /// Starts the thread that writes to `out`.
    pub(crate) fn start(out: Box<dyn Write + Send>) -> io::Result<Self> {
        let (lines, waiting) = sync_channel(WAITING_LINES);
        thread::Builder::new().name("logs".to_owned()).spawn(move || write_all(out, &waiting))?;
        Ok(Self { lines, line: Vec::new() })
    }
}

impl Write for LineWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = std::mem::take(&mut self.line);
        if !line.is_empty() && self.lines.try_send(line).is_err() {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

fn write_all(mut out: Box<dyn Write + Send>, waiting: &Receiver<Vec<u8>>) {
    while let Ok(mut batch) = waiting.recv() {
        while batch.len() < BATCH_BYTES {
            let Ok(line) = waiting.try_recv() else { break };
            batch.extend_from_slice(&line);
        }
        // An output that is gone has no place to say so.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
    }
}
