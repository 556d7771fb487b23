//! What changes from one deployment to another.

use std::collections::BTreeSet;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::Deployment;

/// One value that differs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Change {
    /// Path of the value; elements of lists are named, as in `pool[caption-llm].models`.
    pub path: String,
    /// The value before, in JSON; `None` if it was not there.
    pub before: Option<Value>,
    /// The value after, in JSON; `None` if it goes.
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

/// Every value that differs, in the order of paths.
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
        (Some(Value::Array(old)), Some(Value::Array(new))) if all_named(old) && all_named(new) => {
            let names: BTreeSet<String> = old.iter().chain(new).filter_map(name_of).collect();
            for name in names {
                let find = |list: &'_ [Value]| -> Option<usize> {
                    list.iter()
                        .position(|one| name_of(one).as_ref() == Some(&name))
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

fn all_named(list: &[Value]) -> bool {
    list.iter().all(|one| name_of(one).is_some())
}

/// Name of a list's element: its `name`, or pool and zone of a group.
fn name_of(value: &Value) -> Option<String> {
    if let Some(name) = value.get("name").and_then(Value::as_str) {
        return Some(name.to_owned());
    }
    let pool = value.get("pool").and_then(Value::as_str)?;
    let zone = value.get("zone").and_then(Value::as_str)?;
    Some(format!("{pool}@{zone}"))
}
