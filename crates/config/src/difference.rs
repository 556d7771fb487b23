//! Differences between two deployments.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Deployment;

/// One value that differs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Path of the value; list elements are given by name, as in `pool[caption-llm].models`.
    pub path: String,
    /// The previous value as JSON; `None` if the value is added.
    pub before: Option<Value>,
    /// The new value as JSON; `None` if the value is removed.
    pub after: Option<Value>,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.before, &self.after) {
            (Some(before), Some(after)) => {
                write!(formatter, "~ {}: {before} -> {after}", self.path)
            }
            (None, Some(after)) => write!(formatter, "+ {}: {after}", self.path),
            (Some(before), None) => write!(formatter, "- {}: {before}", self.path),
            (None, None) => Ok(()),
        }
    }
}

/// Returns every value that differs, sorted by path.
pub fn differences(before: &Deployment, after: &Deployment) -> Vec<Change> {
    let mut changes = Vec::new();
    let before = serde_json::to_value(before).ok();
    let after = serde_json::to_value(after).ok();
    compare("", before.as_ref(), after.as_ref(), &mut changes);
    changes
}

fn compare(path: &str, before: Option<&Value>, after: Option<&Value>, changes: &mut Vec<Change>) {
    if before == after {
        return;
    }
    match (before, after) {
        (Some(Value::Object(old)), Some(Value::Object(new))) => {
            let keys: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
            for key in keys {
                let path = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                compare(&path, old.get(key), new.get(key), changes);
            }
        }
        (Some(Value::Array(old)), Some(Value::Array(new)))
            if all_have_names(old) && all_have_names(new) =>
        {
            let names: BTreeSet<String> = old.iter().chain(new).filter_map(name_of).collect();
            for name in names {
                let find = |list: &'_ [Value]| -> Option<usize> {
                    list.iter()
                        .position(|element| name_of(element).as_ref() == Some(&name))
                };
                let before = find(old).map(|index| &old[index]);
                let after = find(new).map(|index| &new[index]);
                compare(&format!("{path}[{name}]"), before, after, changes);
            }
        }
        _ => changes.push(Change {
            path: path.to_owned(),
            before: before.cloned(),
            after: after.cloned(),
        }),
    }
}

fn all_have_names(list: &[Value]) -> bool {
    list.iter().all(|element| name_of(element).is_some())
}

/// Name of a list element: its `name`, or `POOL@ZONE` for a group.
fn name_of(value: &Value) -> Option<String> {
    if let Some(name) = value.get("name").and_then(Value::as_str) {
        return Some(name.to_owned());
    }
    let pool = value.get("pool").and_then(Value::as_str)?;
    let zone = value.get("zone").and_then(Value::as_str)?;
    Some(format!("{pool}@{zone}"))
}
