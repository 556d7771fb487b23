//! Reads a TOML document table by table and collects every fault instead of stopping at the first.
//!
//! A derived deserializer stops at the first error, so operators would have to correct a file one fault at a
//! time. Individual values are still deserialised by `serde`.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::Range;

use serde::de::{DeserializeOwned, IntoDeserializer as _};
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use crate::fault::{FaultCollector, Faults};

/// Minimum Jaro-Winkler similarity (1 is equal) of a known key to an unknown one for it to be suggested.
const SUGGESTION_SIMILARITY: f64 = 0.75;

/// Parses `text`, reads it with `read` and checks the result with `validate`; returns the value or every fault.
pub(crate) fn read_document<T>(
    text: &str,
    read: impl FnOnce(&TableReader<'_>) -> T,
    validate: impl FnOnce(&T, &mut FaultCollector),
) -> Result<T, Faults> {
    let lines = LineIndex::new(text);
    let collector = RefCell::new(FaultCollector::default());
    let (table, errors) = DeTable::parse_recoverable(text);
    for error in errors {
        let line = error.span().map_or(0, |span| lines.line_of(span.start));
        collector
            .borrow_mut()
            .add_at(line, String::new(), error.message().to_owned());
    }
    let root = TableReader {
        lines: &lines,
        collector: &collector,
        table: table.get_ref(),
        path: String::new(),
        known_keys: RefCell::default(),
    };
    let value = read(&root);
    root.report_unknown_keys();
    drop(root);
    let mut collector = collector.into_inner();
    validate(&value, &mut collector);
    collector.finish(value)
}

/// Offsets of line ends, for finding a byte's line by binary search.
struct LineIndex(Vec<usize>);

impl LineIndex {
    fn new(text: &str) -> Self {
        let ends = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        Self(ends.map(|(offset, _)| offset).collect())
    }

    /// Line, counted from 1, of the byte at `offset`.
    fn line_of(&self, offset: usize) -> usize {
        self.0.partition_point(|end| *end < offset) + 1
    }
}

/// Reads one table of the document and tracks which of its keys are known.
pub(crate) struct TableReader<'a> {
    lines: &'a LineIndex,
    collector: &'a RefCell<FaultCollector>,
    table: &'a DeTable<'a>,
    path: String,
    known_keys: RefCell<BTreeSet<&'static str>>,
}

impl<'a> TableReader<'a> {
    /// Reads an optional value. `expected` describes a valid value in the fault's message.
    pub(crate) fn optional<T: DeserializeOwned>(
        &self,
        key: &'static str,
        expected: &str,
    ) -> Option<T> {
        let value = self.value(key)?;
        match T::deserialize(value.clone().into_deserializer()) {
            Ok(parsed) => Some(parsed),
            Err(error) => {
                let message = format!("must be {expected} ({})", first_line(error.message()));
                self.fault(key, message);
                None
            }
        }
    }

    /// Reads an optional value that has a default.
    pub(crate) fn optional_or<T: DeserializeOwned>(
        &self,
        key: &'static str,
        expected: &str,
        default: T,
    ) -> T {
        self.optional(key, expected).unwrap_or(default)
    }

    /// Reads a required value. After a fault it returns `placeholder`, so that the rest of the file can be
    /// checked; a file with faults is never used.
    pub(crate) fn required<T: DeserializeOwned>(
        &self,
        key: &'static str,
        expected: &str,
        placeholder: T,
    ) -> T {
        if self.value(key).is_none() {
            self.table_fault(format!("{key} is missing; it must be {expected}"));
            return placeholder;
        }
        self.optional(key, expected).unwrap_or(placeholder)
    }

    /// Reads an optional table within this one.
    pub(crate) fn table<T>(
        &self,
        key: &'static str,
        read: impl FnOnce(&TableReader<'_>) -> T,
    ) -> Option<T> {
        let value = self.value(key)?;
        let Some(table) = value.get_ref().as_table() else {
            self.fault(key, format!("must be a table, written [{key}]"));
            return None;
        };
        Some(self.read_table(self.path_of(key), value.span(), table, read))
    }

    /// Reads an optional array of tables within this one.
    pub(crate) fn tables<T>(
        &self,
        key: &'static str,
        read: impl Fn(&TableReader<'_>) -> T,
    ) -> Vec<T> {
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.fault(
                key,
                format!("must be an array of tables, each written [[{key}]]"),
            );
            return Vec::new();
        };
        let mut read_tables = Vec::with_capacity(array.len());
        for (index, element) in array.iter().enumerate() {
            let path = format!("{}[{index}]", self.path_of(key));
            match element.get_ref().as_table() {
                Some(table) => {
                    read_tables.push(self.read_table(path, element.span(), table, &read));
                }
                None => self.collector.borrow_mut().add(path, "must be a table"),
            }
        }
        read_tables
    }

    fn read_table<T>(
        &self,
        path: String,
        span: Range<usize>,
        table: &DeTable<'_>,
        read: impl FnOnce(&TableReader<'_>) -> T,
    ) -> T {
        let line = self.lines.line_of(span.start);
        self.collector.borrow_mut().record_line(path.clone(), line);
        let reader = TableReader {
            lines: self.lines,
            collector: self.collector,
            table,
            path,
            known_keys: RefCell::default(),
        };
        let value = read(&reader);
        reader.report_unknown_keys();
        value
    }

    fn value(&self, key: &'static str) -> Option<&Spanned<DeValue<'a>>> {
        self.known_keys.borrow_mut().insert(key);
        let value = self.table.get(key)?;
        let line = self.lines.line_of(value.span().start);
        self.collector
            .borrow_mut()
            .record_line(self.path_of(key), line);
        Some(value)
    }

    fn path_of(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn fault(&self, key: &str, message: String) {
        self.collector.borrow_mut().add(self.path_of(key), message);
    }

    fn table_fault(&self, message: String) {
        self.collector.borrow_mut().add(self.path.clone(), message);
    }

    fn report_unknown_keys(&self) {
        let known = self.known_keys.borrow();
        for key in self.table.keys() {
            let name: &str = key.get_ref();
            if known.contains(name) {
                continue;
            }
            let message = match closest_key(name, &known) {
                Some(suggestion) => format!("unknown key; did you mean {suggestion}?"),
                None => format!("unknown key; known keys: {}", key_listing(&known)),
            };
            let line = self.lines.line_of(key.span().start);
            self.collector
                .borrow_mut()
                .add_at(line, self.path_of(name), message);
        }
    }
}

fn closest_key<'k>(name: &str, known: &BTreeSet<&'k str>) -> Option<&'k str> {
    let scored = known
        .iter()
        .map(|key| (*key, strsim::jaro_winkler(name, key)));
    scored
        .filter(|(_, similarity)| *similarity >= SUGGESTION_SIMILARITY)
        .max_by(|one, other| one.1.total_cmp(&other.1))
        .map(|(key, _)| key)
}

fn key_listing(known: &BTreeSet<&str>) -> String {
    known.iter().copied().collect::<Vec<_>>().join(", ")
}

fn first_line(message: &str) -> &str {
    message.lines().next().unwrap_or_default()
}
