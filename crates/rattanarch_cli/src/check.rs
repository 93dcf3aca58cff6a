//! Checks a daemon's settings.

use std::io::Write;
use std::path::Path;

use rattanarchd::process::Settings;

use crate::Exit;

/// Reads and checks the settings file, as the daemon would.
pub(crate) fn check(file: &str, output: &mut dyn Write, errors: &mut dyn Write) -> Exit {
    match Settings::read(Path::new(file)) {
        Ok(_) => {
            let _ = writeln!(output, "{file}: good");
            Exit::Done
        }
        Err(error) => {
            let _ = writeln!(errors, "{error}");
            Exit::Usage
        }
    }
}
