//! One log line.

use log::Record;
use log::kv::Error;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use serde_json::Map;

use crate::unix_ms;

/// One JSON object: `time` (milliseconds since 1970), `level`, `event`, `common` fields that every
/// line of the process has, and the event's own.
pub(crate) fn line(
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
