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
    /// Runs on the users' platform.
    #[options(no_short, help = "run on the users' platform, with the settings that it provides")]
    platform: bool,
}

fn main() -> ExitCode {
    let line = CommandLine::parse_args_default_or_exit();
    if line.platform {
        return start_on_platform(line.config, line.check);
    }
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

fn start_on_platform(config: Option<PathBuf>, check: bool) -> ExitCode {
    let Some(file) = config.or_else(rattanarch_mesh::settings_file) else {
        eprintln!("rattanarchd: neither \"--config FILE\" nor the platform names settings");
        return ExitCode::from(BAD_SETTINGS);
    };
    let done = if check {
        rattanarch_mesh::Settings::read(&file).map(|_| ()).map_err(Into::into)
    } else {
        rattanarch_mesh::run(file)
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(rattanarch_mesh::StartError::Settings(error)) => {
            eprintln!("rattanarchd: {error}");
            ExitCode::from(BAD_SETTINGS)
        }
        Err(error) => {
            eprintln!("rattanarchd: {error}");
            ExitCode::FAILURE
        }
    }
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
