//! Output that never blocks the process.

use std::io;
use std::io::Write;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::SyncSender;
use std::sync::mpsc::sync_channel;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::logs::DROPPED;

/// Lines that may wait for their writer; about a second of the busiest logs.
const WAITING_LINES: usize = 1_024;

/// Most bytes that are written at once, so that a burst takes few system calls.
const BATCH_BYTES: usize = 64 << 10;

/// Time between two looks at whether all lines are written.
const WRITTEN_LOOK: Duration = Duration::from_millis(1);

/// Lines that were handed to the thread and are not written yet.
static WAITING: AtomicUsize = AtomicUsize::new(0);

/// Waits until all lines are written, at most for `limit`: a reader that is stuck must not hold up the end.
pub fn flush_logs(limit: Duration) {
    let start = Instant::now();
    while WAITING.load(Ordering::Acquire) > 0 && start.elapsed() < limit {
        thread::sleep(WRITTEN_LOOK);
    }
}

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
        if line.is_empty() {
            return Ok(());
        }
        WAITING.fetch_add(1, Ordering::Relaxed);
        if self.lines.try_send(line).is_err() {
            WAITING.fetch_sub(1, Ordering::Relaxed);
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

fn write_all(mut out: Box<dyn Write + Send>, waiting: &Receiver<Vec<u8>>) {
    while let Ok(mut batch) = waiting.recv() {
        let mut lines = 1;
        while batch.len() < BATCH_BYTES {
            let Ok(line) = waiting.try_recv() else { break };
            batch.extend_from_slice(&line);
            lines += 1;
        }
        // An output that is gone has no place to say so.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        WAITING.fetch_sub(lines, Ordering::Release);
    }
}
