//! Format of log lines.

use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;

use crate::unix_ms;

/// Formats a line as a JSON object: `time` (milliseconds since the Unix epoch), `level`, `event`, the `common`
/// fields of the process, and the fields of the record.
pub(crate) fn format_line(
    common: &[(&str, String)],
    message: &std::fmt::Arguments<'_>,
    record: &Record<'_>,
) -> serde_json::Value {
    let mut fields = Fields(Map::new());
    fields.0.insert("time".to_owned(), unix_ms().into());
    fields.0.insert("level".to_owned(), record.level().as_str().to_lowercase().into());
    fields.0.insert("event".to_owned(), message.to_string().into());
    for (name, value) in common {
        fields.0.insert((*name).to_owned(), value.as_str().into());
    }
    // Fields after one that can't be read are omitted, rather than the whole line.
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
