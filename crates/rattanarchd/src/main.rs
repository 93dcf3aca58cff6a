//! Command line of the daemon: reads the settings, starts logging and runs the daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use gumdrop::Options;
use rattanarchd::process::Settings;
use rattanarchd::process::run;
use rattanarchd::process::start_logs;

/// Exit status if the command line or the settings are invalid.
const INVALID_SETTINGS: u8 = 2;

/// Command line of the daemon.
#[derive(Debug, Options)]
struct CommandLine {
    /// Whether to print the options.
    #[options(help = "print this help")]
    help: bool,
    /// Settings file.
    #[options(help = "settings file (TOML)", meta = "FILE")]
    config: Option<PathBuf>,
    /// Whether to check the settings and exit.
    #[options(no_short, help = "check the settings and start nothing")]
    check: bool,
    /// Whether to run on the users' platform.
    #[options(no_short, help = "run on the users' platform, with the settings that it provides")]
    platform: bool,
}

fn main() -> ExitCode {
    let options = CommandLine::parse_args_default_or_exit();
    if options.platform {
        return start_on_platform(options.config, options.check);
    }
    let Some(file) = options.config else {
        eprintln!("rattanarchd: option \"--config FILE\" is missing");
        return ExitCode::from(INVALID_SETTINGS);
    };
    let settings = match Settings::read(&file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("rattanarchd: {error}");
            return ExitCode::from(INVALID_SETTINGS);
        }
    };
    if options.check {
        eprintln!("rattanarchd: {} is valid", file.display());
        return ExitCode::SUCCESS;
    }
    start(settings)
}

fn start_on_platform(config: Option<PathBuf>, check: bool) -> ExitCode {
    let Some(file) = config.or_else(rattanarch_mesh::settings_file) else {
        eprintln!(
            "rattanarchd: no settings file: \"--config FILE\" is missing and the platform provides none"
        );
        return ExitCode::from(INVALID_SETTINGS);
    };
    let result = if check {
        rattanarch_mesh::Settings::read(&file).map(|_| ()).map_err(Into::into)
    } else {
        rattanarch_mesh::run(file)
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(rattanarch_mesh::StartError::Settings(error)) => {
            eprintln!("rattanarchd: {error}");
            ExitCode::from(INVALID_SETTINGS)
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
        eprintln!("rattanarchd: cannot start logging: {error}");
        return ExitCode::from(INVALID_SETTINGS);
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
