//! `explain request ID --logs FILE`: explains a request from the logs of several nodes.
//!
//! Lines whose JSON object is incomplete or has no timestamp, such as the last line of a truncated log, are
//! counted and reported. Text before the object, such as a log collector's prefix, is skipped, and so are lines
//! without an object. Lines are ordered by timestamp; the output notes that timestamps are from each node's own
//! clock.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

use crate::exit::{Exit, failure};
use crate::files;

/// State changes of the request's engines are included from this many seconds before the request's last line.
const ENGINE_HISTORY_S: i64 = 10;

/// Fields that are printed at the start of a line or left out.
const NOT_LISTED_FIELDS: [&str; 4] = ["msg", "ts", "level", "event"];

/// One line of a log.
#[derive(Clone, Debug)]
struct LogLine {
    file: String,
    time: jiff::Timestamp,
    fields: Map<String, Value>,
}

/// Lines of all logs, from which requests are explained.
#[derive(Clone, Debug, Default)]
struct RequestLogs {
    lines: Vec<LogLine>,
    unreadable: usize,
}

/// Prints the explanation of a request from the logs at `paths`.
pub(super) fn request(id: &str, paths: &[String]) -> Exit {
    let mut logs = RequestLogs::default();
    for path in paths {
        match files::read(path) {
            Ok(text) => logs.add(path, &text),
            Err(error) => return failure(error),
        }
    }
    match logs.explain(id) {
        Some(text) => {
            print!("{text}");
            Exit::Success
        }
        None => failure(format!(
            "no log line mentions request {id}; only a sample of successful requests is logged"
        )),
    }
}

impl RequestLogs {
    fn add(&mut self, file: &str, text: &str) {
        for line in text.lines().filter(|line| line.contains('{')) {
            match read_line(file, line) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
    }

    /// Lists the lines about a request and about the state of its engines, in order of time; `None` if no line
    /// mentions the request.
    fn explain(&self, id: &str) -> Option<String> {
        let is_own = |line: &LogLine| line.text("request") == Some(id);
        let own: Vec<&LogLine> = self.lines.iter().filter(|line| is_own(line)).collect();
        let last = own.iter().map(|line| line.time).max()?;
        let engines: BTreeSet<&str> = own.iter().flat_map(|line| line.engines()).collect();
        let mut selected = own.clone();
        let nodes: BTreeSet<&str> = own.iter().filter_map(|line| line.text("node")).collect();
        selected.extend(self.lines.iter().filter(|line| {
            let seconds = last.as_second() - line.time.as_second();
            let is_of_node = line.text("node").is_none_or(|node| nodes.contains(node));
            let is_recent = (0..=ENGINE_HISTORY_S).contains(&seconds);
            is_of_node && is_recent && line.is_about_engine_state(&engines)
        }));
        selected.sort_by_key(|line| line.time);
        let mut text = format!("request {id}: {} lines\n", selected.len());
        for line in selected {
            text.push_str(&line.formatted());
        }
        if self.unreadable > 0 {
            text.push_str(&format!("{} lines could not be read\n", self.unreadable));
        }
        text.push_str("times are from each node's own clock\n");
        Some(text)
    }
}

fn read_line(file: &str, line: &str) -> Option<LogLine> {
    let start = line.find('{')?;
    let fields: Map<String, Value> = serde_json::from_str(&line[start..]).ok()?;
    let time = fields.get("ts")?.as_str()?.parse().ok()?;
    Some(LogLine {
        file: file.to_owned(),
        time,
        fields,
    })
}

impl LogLine {
    fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Engines in the line's `calls` field, in which each call has the form `PURPOSE ENGINE OUTCOME`.
    fn engines(&self) -> Vec<&str> {
        let calls = self.text("calls").unwrap_or_default().split("; ");
        calls.filter_map(|call| call.split(' ').nth(1)).collect()
    }

    /// Whether the line is about the state of one of the engines and not about a request.
    fn is_about_engine_state(&self, engines: &BTreeSet<&str>) -> bool {
        let subject = self.text("engine").or_else(|| self.text("key"));
        let subject = subject.unwrap_or_default();
        self.text("request").is_none() && engines.iter().any(|engine| subject.ends_with(engine))
    }

    fn formatted(&self) -> String {
        let event = self.fields.get("event").map(Value::to_string);
        let mut text = format!(
            "{} {} {} {}",
            self.time,
            self.file,
            event.unwrap_or_default(),
            self.text("msg").unwrap_or_default()
        );
        for (name, value) in &self.fields {
            if !NOT_LISTED_FIELDS.contains(&name.as_str()) {
                text.push_str(&format!(" {name}={value}"));
            }
        }
        text.push('\n');
        text
    }
}
