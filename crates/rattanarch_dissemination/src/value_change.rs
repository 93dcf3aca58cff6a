//! What a later version of an object changes, as its JSON.

use std::collections::BTreeMap;
use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// Fields that name an item of a list; an item with the same name in the older list is the one that was changed.
const NAMES: [&str; 2] = ["host", "name"];

/// Most items of a changed list: more than the largest object that the store holds has, so that a short
/// malformed change does not take all memory.
const MOST_ITEMS: usize = 100_000;

/// How a value becomes another one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ValueChange {
    /// It is replaced.
    #[serde(rename = "=")]
    Whole(Value),
    /// Some fields of an object change; the rest stays.
    #[serde(rename = "f")]
    Fields(BTreeMap<String, ValueChange>),
    /// The same, and some fields go.
    #[serde(rename = "g")]
    FieldsAndGone(BTreeMap<String, ValueChange>, Vec<String>),
    /// A list is put together from parts.
    #[serde(rename = "l")]
    List(Vec<ListPart>),
}

/// Items that follow on each other in a list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ListPart {
    /// Items of the older list: the first, and how many.
    #[serde(rename = "k")]
    Kept(usize, usize),
    /// An item of the older list that was changed.
    #[serde(rename = "c")]
    Changed(usize, ValueChange),
    /// A new item, as a change of the one before it: operators add many that differ in a name.
    #[serde(rename = "n")]
    Next(ValueChange),
    /// A new item.
    #[serde(rename = "=")]
    New(Value),
}

impl ValueChange {
    /// How `older` becomes `newer`; `None` if they are the same.
    pub fn between(older: &Value, newer: &Value) -> Option<Self> {
        if older == newer {
            return None;
        }
        Some(match (older, newer) {
            (Value::Object(older), Value::Object(newer)) => Self::fields(older, newer),
            (Value::Array(older), Value::Array(newer)) => Self::List(parts(older, newer)),
            _ => Self::Whole(newer.clone()),
        })
    }

    fn fields(older: &Map<String, Value>, newer: &Map<String, Value>) -> Self {
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

    /// What `older` becomes; `None` if the change does not fit it.
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

fn parts(older: &[Value], newer: &[Value]) -> Vec<ListPart> {
    let written: Vec<String> = older.iter().map(Value::to_string).collect();
    let same: HashMap<&str, usize> =
        written.iter().enumerate().map(|(index, item)| (item.as_str(), index)).collect();
    let named: HashMap<&str, usize> =
        older.iter().enumerate().filter_map(|(index, item)| Some((name(item)?, index))).collect();
    let mut parts = Vec::new();
    for (index, item) in newer.iter().enumerate() {
        let text = item.to_string();
        let before = index.checked_sub(1).map(|before| &newer[before]);
        if let Some(place) = same.get(text.as_str()) {
            match parts.last_mut() {
                Some(ListPart::Kept(first, count)) if *first + *count == *place => *count += 1,
                _ => parts.push(ListPart::Kept(*place, 1)),
            }
        } else if let Some(place) = name(item).and_then(|name| named.get(name)) {
            let change = ValueChange::between(&older[*place], item);
            parts.extend(change.map(|change| ListPart::Changed(*place, change)));
        } else if let Some(change) = before.and_then(|before| shorter(before, item, text.len())) {
            parts.push(ListPart::Next(change));
        } else {
            parts.push(ListPart::New(item.clone()));
        }
    }
    parts
}

/// The change from `before` to `item` if it is shorter than `length`.
fn shorter(before: &Value, item: &Value, length: usize) -> Option<ValueChange> {
    let change = ValueChange::between(before, item)?;
    let written = serde_json::to_string(&change).ok()?;
    (written.len() < length).then_some(change)
}

fn name(item: &Value) -> Option<&str> {
    NAMES.iter().find_map(|name| item.get(name)?.as_str())
}

fn apply_parts(older: &[Value], parts: &[ListPart]) -> Option<Value> {
    let mut items: Vec<Value> = Vec::new();
    for part in parts {
        match part {
            ListPart::Kept(first, count) => {
                if items.len().checked_add(*count)? > MOST_ITEMS {
                    return None;
                }
                items.extend_from_slice(older.get(*first..first.checked_add(*count)?)?);
            }
            ListPart::Changed(place, change) => items.push(change.apply(older.get(*place)?)?),
            ListPart::Next(change) => {
                let item = change.apply(items.last()?)?;
                items.push(item);
            }
            ListPart::New(item) => items.push(item.clone()),
        }
    }
    (items.len() <= MOST_ITEMS).then_some(Value::Array(items))
}
