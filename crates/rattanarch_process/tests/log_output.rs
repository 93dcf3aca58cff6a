//! Logging does not block the process. There is one test, because logging can be started only once per process.

use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;
use std::time::Duration;
use std::time::Instant;

use rattanarch_process::LogOptions;
use rattanarch_process::PREAPPROVED_TARGET;
use rattanarch_process::dropped_lines;
use rattanarch_process::may_log;
use rattanarch_process::start_logs;

/// An output whose reader can block.
struct Output {
    written: Arc<Mutex<Vec<u8>>>,
    /// Each write waits for a permit; after the sender is dropped, none does.
    permits: Receiver<()>,
}

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error means that the sender was dropped.
        let _ = self.permits.recv();
        self.written.lock().expect("no writer panics").extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// While the reader is blocked, lines are dropped and counted, and logging does not wait. Each event keeps to its
/// rate limit; events that report failures have a higher limit.
#[test]
fn stuck_reader() {
    let written = Arc::new(Mutex::new(Vec::new()));
    let (permit, permits) = channel();
    let out = Box::new(Output { written: Arc::clone(&written), permits });
    let common = vec![("instance", "slot-1".to_owned())];
    start_logs(LogOptions { level: log::LevelFilter::Info, common, out }).unwrap();

    let start = Instant::now();
    for request in 0..5_000 {
        log::warn!(id = request; "request not served");
        log::info!(id = request; "request served");
        if request % 100 == 0 {
            let allowed = may_log(("request not served", true), log::Level::Warn, 2);
            if allowed {
                log::warn!(target: PREAPPROVED_TARGET, id = request, whole = true; "request decision");
                log::warn!(target: PREAPPROVED_TARGET, id = request, whole = true; "request not served");
            }
        }
        log::debug!("never written");
    }
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    assert!(dropped_lines() > 9_000, "{}", dropped_lines());

    drop(permit);
    let deadline = Instant::now() + Duration::from_secs(5);
    let count = |event: &str| {
        let bytes = written.lock().unwrap();
        String::from_utf8_lossy(&bytes).lines().filter(|line| line.contains(event)).count()
    };
    while count("not served") < 110 && Instant::now() < deadline {
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(count("not served") > count("request served"), "failures have the higher rate limit");
    assert_eq!(count("\"whole\":true"), 100, "sampled requests have a rate limit of their own");
    let bytes = written.lock().unwrap();
    let text = String::from_utf8_lossy(&bytes);
    for line in text.lines() {
        let fields: serde_json::Value = serde_json::from_str(line).expect("each line is JSON");
        assert_eq!(fields["instance"], "slot-1");
        assert!(fields["time"].is_u64() && fields["id"].is_u64());
    }
}
