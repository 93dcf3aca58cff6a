//! The daemon's binary: reads the command line and the settings, and runs.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use rattanarchd::process::Settings;
use rattanarchd::process::run;
use rattanarchd::process::start_logs;

/// Exit status for settings or a command line that the daemon does not start with.
const BAD_SETTINGS: u8 = 2;

/// Command line of the daemon.
#[derive(Debug, Options)]
struct CommandLine {
    /// Prints the options.
    #[options(help = "print this help")]
    help: bool,
    /// Settings file.
    #[options(help = "settings file (TOML)", meta = "FILE")]
    config: Option<PathBuf>,
    /// Only checks the settings.
    #[options(no_short, help = "check the settings and start nothing")]
    check: bool,
}

fn main() -> ExitCode {
    let line = CommandLine::parse_args_default_or_exit();
    let Some(file) = line.config else {
        eprintln!("rattanarchd: option \"--config FILE\" is missing");
        return ExitCode::from(BAD_SETTINGS);
    };
    let settings = match Settings::read(&file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("rattanarchd: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if line.check {
        eprintln!("rattanarchd: {} is valid", file.display());
        return ExitCode::SUCCESS;
    }
    start(settings)
}

fn start(settings: Settings) -> ExitCode {
    let process = &settings.process;
    if let Err(error) = start_logs(&settings.log, &process.instance, &process.service) {
        eprintln!("rattanarchd: log cannot be started: {error}");
        return ExitCode::from(BAD_SETTINGS);
    }
    match run(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!(reason:% = error; "daemon ended");
            eprintln!("rattanarchd: {error}");
            ExitCode::FAILURE
        }
    }
}
