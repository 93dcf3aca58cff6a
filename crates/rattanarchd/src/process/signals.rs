//! Signals by which the operating system stops the process.

use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// Returns a channel that receives a message for each SIGTERM and SIGINT.
///
/// # Errors
/// If the signal handlers can't be installed or the thread can't be started.
pub(crate) fn stop_signal() -> std::io::Result<Receiver<()>> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    let (sender, receiver) = channel();
    let wait = move || {
        for _ in signals.forever() {
            if sender.send(()).is_err() {
                return;
            }
        }
    };
    std::thread::Builder::new().name("signals".to_owned()).spawn(wait)?;
    Ok(receiver)
}
