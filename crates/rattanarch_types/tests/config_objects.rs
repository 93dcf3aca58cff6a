//! The serialized form of configuration objects, which audit entries and responses to operators contain.

use rattanarch_types::ConfigObject;
use serde_json::json;

/// A boot id is written under the name `life`; audit pages stored under that name must stay readable.
#[test]
fn boot_name() {
    let object = ConfigObject::Boot { service: "trade-desk".to_owned(), boot: 7 };
    let written = json!({"life": {"service": "trade-desk", "boot": 7}});
    assert_eq!(serde_json::to_value(&object).expect("it has a JSON form"), written);
    let read: ConfigObject = serde_json::from_value(written).expect("it is read back");
    assert_eq!(read, object);
}
