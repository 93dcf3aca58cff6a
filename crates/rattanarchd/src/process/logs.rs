//! Start of logging.

use rattanarch_process::LogOptions;

use crate::process::LogSettings;

/// Starts logging according to `settings`; called once by the binary. Each line has the fields `instance` and
/// `service`.
///
/// # Errors
/// If the level is invalid, the file can't be opened, or logging was started before.
pub fn start_logs(
    settings: &LogSettings,
    instance: &str,
    service: &str,
) -> Result<(), Box<dyn std::error::Error>> {
    let common = vec![("instance", instance.to_owned()), ("service", service.to_owned())];
    let out: Box<dyn std::io::Write + Send> = match &settings.file {
        Some(file) => Box::new(std::fs::File::options().create(true).append(true).open(file)?),
        None => Box::new(std::io::stdout()),
    };
    rattanarch_process::start_logs(LogOptions { level: settings.level.parse()?, common, out })?;
    Ok(())
}
