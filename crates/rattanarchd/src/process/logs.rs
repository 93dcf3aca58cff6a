//! Log lines in JSON.

use log::LevelFilter;
use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;

use crate::process::LogSettings;
use crate::process::unix_ms;

/// Starts logging as `settings` say; called once by the binary.
///
/// Each line is one JSON object: `time` (milliseconds since 1970), `level`, `event`, the ids given
/// as `instance` and `service`, and the event's own fields.
///
/// # Errors
/// When the file can't be opened or logging was started before.
pub fn start_logs(
    settings: &LogSettings,
    instance: &str,
    service: &str,
) -> Result<(), Box<dyn std::error::Error>> {
    let level: LevelFilter = settings.level.parse()?;
    let (instance, service) = (instance.to_owned(), service.to_owned());
    let dispatch = fern::Dispatch::new()
        .level(level)
        .level_for("rouille", LevelFilter::Off)
        .level_for("tungstenite", LevelFilter::Warn)
        .format(move |out, message, record| {
            out.finish(format_args!("{}", line(&instance, &service, message, record)));
        });
    match &settings.file {
        Some(file) => dispatch.chain(fern::log_file(file)?).apply()?,
        None => dispatch.chain(std::io::stdout()).apply()?,
    }
    Ok(())
}

fn line(
    instance: &str,
    service: &str,
    message: &std::fmt::Arguments<'_>,
    record: &Record<'_>,
) -> serde_json::Value {
    let mut fields = Fields(Map::new());
    fields.0.insert("time".to_owned(), unix_ms().into());
    fields.0.insert("level".to_owned(), record.level().as_str().to_lowercase().into());
    fields.0.insert("event".to_owned(), message.to_string().into());
    fields.0.insert("instance".to_owned(), instance.into());
    fields.0.insert("service".to_owned(), service.into());
    // A field that can't be written is left out; the line itself matters more.
    let _ = record.key_values().visit(&mut fields);
    serde_json::Value::Object(fields.0)
}

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}
