//! Log output that never blocks the caller.

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

use crate::logs::DROPPED_LINES;

/// Longest queue of lines to write; about one second of the busiest logs.
const MAX_QUEUED_LINES: usize = 1_024;

/// Size from which a batch is written, so that a burst takes few system calls.
const BATCH_BYTES: usize = 64 << 10;

/// Interval at which [`flush_logs`] checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Lines that were passed to the writer thread and are not written yet.
static UNWRITTEN_LINES: AtomicUsize = AtomicUsize::new(0);

/// Waits until all lines are written, but no longer than `timeout`, so that a blocked reader does not delay the
/// exit of the process.
pub fn flush_logs(timeout: Duration) {
    let start = Instant::now();
    while UNWRITTEN_LINES.load(Ordering::Acquire) > 0 && start.elapsed() < timeout {
        thread::sleep(FLUSH_POLL_INTERVAL);
    }
}

/// Passes whole lines to a thread that writes them. If the queue is full, the line is dropped and counted.
pub(crate) struct LineWriter {
    queue: SyncSender<Vec<u8>>,
    /// Line that is being built until it is flushed.
    line: Vec<u8>,
}

impl LineWriter {
    /// Starts a thread that writes to `out`.
    pub(crate) fn start(out: Box<dyn Write + Send>) -> io::Result<Self> {
        let (queue, queued) = sync_channel(MAX_QUEUED_LINES);
        thread::Builder::new().name("logs".to_owned()).spawn(move || write_queued(out, &queued))?;
        Ok(Self { queue, line: Vec::new() })
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
        UNWRITTEN_LINES.fetch_add(1, Ordering::Relaxed);
        if self.queue.try_send(line).is_err() {
            UNWRITTEN_LINES.fetch_sub(1, Ordering::Relaxed);
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

fn write_queued(mut out: Box<dyn Write + Send>, queued: &Receiver<Vec<u8>>) {
    while let Ok(mut batch) = queued.recv() {
        let mut lines = 1;
        while batch.len() < BATCH_BYTES {
            let Ok(line) = queued.try_recv() else { break };
            batch.extend_from_slice(&line);
            lines += 1;
        }
        // A failed log output can't be reported in the log.
        let _ = out.write_all(&batch).and_then(|()| out.flush());
        UNWRITTEN_LINES.fetch_sub(lines, Ordering::Release);
    }
}
