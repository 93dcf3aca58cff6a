//! Signals of the operating system.

use std::sync::mpsc::Receiver;
use std::sync::mpsc::channel;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;

/// A channel that tells of each SIGTERM and SIGINT.
///
/// # Errors
/// When the handlers can't be set.
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
