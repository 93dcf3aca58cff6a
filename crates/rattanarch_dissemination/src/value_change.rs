//! Differences between two JSON values.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Fields that identify an item of a list; items with the same name in both lists are versions of one item.
const NAME_FIELDS: [&str; 2] = ["host", "name"];

/// Maximum number of items of a changed list, so that a short malformed change cannot exhaust the memory: more than the
/// largest object of the store has.
const MAX_ITEMS: usize = 100_000;

/// Difference between two values.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ValueChange {
    /// The value is replaced.
    #[serde(rename = "=")]
    Whole(Value),
    /// Some fields of an object are changed or added.
    #[serde(rename = "f")]
    Fields(BTreeMap<String, ValueChange>),
    /// Some fields of an object are changed or added, and the listed ones are removed.
    #[serde(rename = "g")]
    FieldsAndGone(BTreeMap<String, ValueChange>, Vec<String>),
    /// A list is assembled from parts.
    #[serde(rename = "l")]
    List(Vec<ListPart>),
}

/// One or more consecutive items of a changed list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ListPart {
    /// Unchanged items of the older list: index of the first, and their number.
    #[serde(rename = "k")]
    Kept(usize, usize),
    /// A changed item of the older list: its index, and the change.
    #[serde(rename = "c")]
    Changed(usize, ValueChange),
    /// A new item, as a change of the item before it: operators add many items that differ only in a name.
    #[serde(rename = "n")]
    Next(ValueChange),
    /// A new item.
    #[serde(rename = "=")]
    New(Value),
}

impl ValueChange {
    /// The change from `older` to `newer`; `None` if they are equal.
    pub fn between(older: &Value, newer: &Value) -> Option<Self> {
        if older == newer {
            return None;
        }
        Some(match (older, newer) {
            (Value::Object(older), Value::Object(newer)) => Self::between_objects(older, newer),
            (Value::Array(older), Value::Array(newer)) => Self::List(list_parts(older, newer)),
            _ => Self::Whole(newer.clone()),
        })
    }

    fn between_objects(older: &Map<String, Value>, newer: &Map<String, Value>) -> Self {
        let change = |(name, value): (&String, &Value)| {
            let change = match older.get(name) {
                Some(old) => Self::between(old, value)?,
                None => Self::Whole(value.clone()),
            };
            Some((name.clone(), change))
        };
        let changed = newer.iter().filter_map(change).collect();
        let gone: Vec<String> =
            older.keys().filter(|name| !newer.contains_key(*name)).cloned().collect();
        if gone.is_empty() { Self::Fields(changed) } else { Self::FieldsAndGone(changed, gone) }
    }

    /// Applies the change to `older`; `None` if it does not apply.
    pub fn apply(&self, older: &Value) -> Option<Value> {
        match self {
            Self::Whole(value) => Some(value.clone()),
            Self::Fields(changed) => apply_fields(older.as_object()?, changed, &[]),
            Self::FieldsAndGone(changed, gone) => apply_fields(older.as_object()?, changed, gone),
            Self::List(parts) => apply_parts(older.as_array()?, parts),
        }
    }
}

fn apply_fields(
    older: &Map<String, Value>,
    changed: &BTreeMap<String, ValueChange>,
    gone: &[String],
) -> Option<Value> {
    let mut fields = older.clone();
    for name in gone {
        fields.remove(name)?;
    }
    for (name, change) in changed {
        let value = change.apply(older.get(name).unwrap_or(&Value::Null))?;
        fields.insert(name.clone(), value);
    }
    Some(Value::Object(fields))
}

fn list_parts(older: &[Value], newer: &[Value]) -> Vec<ListPart> {
    let serialized: Vec<String> = older.iter().map(Value::to_string).collect();
    let index_by_text: HashMap<&str, usize> =
        serialized.iter().enumerate().map(|(index, item)| (item.as_str(), index)).collect();
    let index_by_name: HashMap<&str, usize> = older
        .iter()
        .enumerate()
        .filter_map(|(index, item)| Some((item_name(item)?, index)))
        .collect();
    let mut parts = Vec::new();
    for (index, item) in newer.iter().enumerate() {
        let text = item.to_string();
        let previous = index.checked_sub(1).map(|previous| &newer[previous]);
        if let Some(position) = index_by_text.get(text.as_str()) {
            match parts.last_mut() {
                Some(ListPart::Kept(first, count)) if *first + *count == *position => *count += 1,
                _ => parts.push(ListPart::Kept(*position, 1)),
            }
        } else if let Some(position) = item_name(item).and_then(|name| index_by_name.get(name)) {
            let change = ValueChange::between(&older[*position], item);
            parts.extend(change.map(|change| ListPart::Changed(*position, change)));
        } else if let Some(change) =
            previous.and_then(|previous| shorter_change(previous, item, text.len()))
        {
            parts.push(ListPart::Next(change));
        } else {
            parts.push(ListPart::New(item.clone()));
        }
    }
    parts
}

/// The change from `previous` to `item`, if its serialized form is shorter than `length` bytes.
fn shorter_change(previous: &Value, item: &Value, length: usize) -> Option<ValueChange> {
    let change = ValueChange::between(previous, item)?;
    let serialized = serde_json::to_string(&change).ok()?;
    (serialized.len() < length).then_some(change)
}

fn item_name(item: &Value) -> Option<&str> {
    NAME_FIELDS.iter().find_map(|name| item.get(name)?.as_str())
}

fn apply_parts(older: &[Value], parts: &[ListPart]) -> Option<Value> {
    let mut items: Vec<Value> = Vec::new();
    for part in parts {
        match part {
            ListPart::Kept(first, count) => {
                if items.len().checked_add(*count)? > MAX_ITEMS {
                    return None;
                }
                items.extend_from_slice(older.get(*first..first.checked_add(*count)?)?);
            }
            ListPart::Changed(position, change) => items.push(change.apply(older.get(*position)?)?),
            ListPart::Next(change) => {
                let item = change.apply(items.last()?)?;
                items.push(item);
            }
            ListPart::New(item) => items.push(item.clone()),
        }
    }
    (items.len() <= MAX_ITEMS).then_some(Value::Array(items))
}
