//! The `check` subcommand.

use std::io::Write;
use std::path::Path;

use rattanarchd::process::Settings;

use crate::Exit;

/// Checks the settings in `file` as the daemon does when it starts.
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
