//! `explain request ID --logs FILE`: what the logs of several nodes tell of one request.
//!
//! Lines need not be whole: a line that is no JSON object (a log cut in the middle of one) is
//! counted and said. Text before the object, as a collector may put there, is passed over. Lines are
//! ordered by their wall time, which nodes' clocks may disagree on; that is said too.

use std::collections::BTreeSet;

use serde_json::{Map, Value};

use crate::exit::{Exit, failure};
use crate::files;

/// Beliefs about the request's engines are shown from this long before its last line.
const BELIEFS_BEFORE_S: i64 = 10;

/// Fields that stand at the beginning of a line or are of no use in an account.
const PASSED_OVER: [&str; 4] = ["msg", "ts", "level", "event"];

/// One line of a log.
#[derive(Clone, Debug)]
struct LogLine {
    file: String,
    time: jiff::Timestamp,
    fields: Map<String, Value>,
}

/// What logs tell of a request.
#[derive(Clone, Debug, Default)]
struct Account {
    lines: Vec<LogLine>,
    unreadable: usize,
}

/// Prints the account.
pub(super) fn request(id: &str, paths: &[String]) -> Exit {
    let mut account = Account::default();
    for path in paths {
        match files::read(path) {
            Ok(text) => account.take(path, &text),
            Err(error) => return failure(error),
        }
    }
    match account.of(id) {
        Some(text) => {
            print!("{text}");
            Exit::Success
        }
        None => failure(format!(
            "no line names request {id}; of requests that went well only a sample is logged"
        )),
    }
}

impl Account {
    fn take(&mut self, file: &str, text: &str) {
        for line in text.lines().filter(|line| line.contains('{')) {
            match read_line(file, line) {
                Some(line) => self.lines.push(line),
                None => self.unreadable += 1,
            }
        }
    }

    /// The account of a request, in order.
    fn of(&self, id: &str) -> Option<String> {
        let names = |line: &LogLine| line.text("request") == Some(id);
        let own: Vec<&LogLine> = self.lines.iter().filter(|line| names(line)).collect();
        let last = own.iter().map(|line| line.time).max()?;
        let engines: BTreeSet<&str> = own.iter().flat_map(|line| line.engines()).collect();
        let mut told = own.clone();
        let nodes: BTreeSet<&str> = own.iter().filter_map(|line| line.text("node")).collect();
        told.extend(self.lines.iter().filter(|line| {
            let seconds = last.as_second() - line.time.as_second();
            let is_of_node = line.text("node").is_none_or(|node| nodes.contains(node));
            let is_recent = (0..=BELIEFS_BEFORE_S).contains(&seconds);
            is_of_node && is_recent && line.is_belief_about(&engines)
        }));
        told.sort_by_key(|line| line.time);
        let mut text = format!("request {id}: {} lines\n", told.len());
        for line in told {
            text.push_str(&line.account());
        }
        if self.unreadable > 0 {
            text.push_str(&format!("{} lines could not be read\n", self.unreadable));
        }
        text.push_str("times are those of each node's own clock\n");
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

    /// Engines that the line's calls name: each call is `PURPOSE ENGINE OUTCOME`.
    fn engines(&self) -> Vec<&str> {
        let calls = self.text("calls").unwrap_or_default().split("; ");
        calls.filter_map(|call| call.split(' ').nth(1)).collect()
    }

    /// Whether the line says what a node came to believe of one of the engines.
    fn is_belief_about(&self, engines: &BTreeSet<&str>) -> bool {
        let named = self.text("engine").or_else(|| self.text("key"));
        let named = named.unwrap_or_default();
        self.text("request").is_none() && engines.iter().any(|engine| named.ends_with(engine))
    }

    fn account(&self) -> String {
        let event = self.fields.get("event").map(Value::to_string);
        let mut text = format!(
            "{} {} {} {}",
            self.time,
            self.file,
            event.unwrap_or_default(),
            self.text("msg").unwrap_or_default()
        );
        for (name, value) in &self.fields {
            if !PASSED_OVER.contains(&name.as_str()) {
                text.push_str(&format!(" {name}={value}"));
            }
        }
        text.push('\n');
        text
    }
}
