//! Flags of the load command.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use error_stack::Report;
use getopts::{Matches, Options};

use crate::LabError;

const USAGE: &str = "usage: dalestand-lab load [--engine ADDRESS] [--node ADDRESS] [flags]";

/// What a run is made against.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    /// An engine, straight.
    Engine,
    /// A node, as callers reach it.
    Node,
}

/// Checked flags.
#[derive(Clone, Debug)]
pub(super) struct LoadOptions {
    /// The engine to call straight.
    pub(super) engine: Option<SocketAddr>,
    /// The node to call.
    pub(super) node: Option<SocketAddr>,
    /// Process id of the node, to read its processor time and memory.
    pub(super) pid: Option<u32>,
    /// Numbers of streams, one run each.
    pub(super) streams: Vec<usize>,
    /// Output tokens of each request.
    pub(super) tokens: u32,
    /// Words of each prompt.
    pub(super) prompt_words: usize,
    /// How long new requests are begun, a run.
    pub(super) duration: Duration,
    /// Model asked for.
    pub(super) model: String,
    /// Threads that read streams.
    pub(super) threads: usize,
    /// Whether the report is JSON.
    pub(super) json: bool,
}

impl LoadOptions {
    /// Reads the flags; `None` if only help was asked for.
    pub(super) fn parse(arguments: &[String]) -> Result<Option<Self>, Report<LabError>> {
        let options = flags();
        let matches = options
            .parse(arguments)
            .map_err(|error| usage(error.to_string()))?;
        if matches.opt_present("help") {
            println!("{}", options.usage(USAGE));
            return Ok(None);
        }
        let parsed = Self {
            engine: value(&matches, "engine")?,
            node: value(&matches, "node")?,
            pid: value(&matches, "pid")?,
            streams: numbers(&matches)?,
            tokens: value(&matches, "tokens")?.unwrap_or(100),
            prompt_words: value(&matches, "prompt-words")?.unwrap_or(16),
            duration: Duration::from_secs(value(&matches, "seconds")?.unwrap_or(10)),
            model: matches.opt_str("model").unwrap_or_else(|| "m".to_owned()),
            threads: value(&matches, "threads")?.unwrap_or(4),
            json: matches.opt_present("json"),
        };
        if parsed.engine.is_none() && parsed.node.is_none() {
            return Err(usage("--engine or --node must be given".to_owned()));
        }
        if parsed.tokens == 0 || parsed.threads == 0 || parsed.streams.contains(&0) {
            let message = "--tokens, --threads and --streams must be above 0";
            return Err(usage(message.to_owned()));
        }
        Ok(Some(parsed))
    }

    /// The sides to measure.
    pub(super) fn sides(&self) -> Vec<Side> {
        let engine = self.engine.map(|_| Side::Engine);
        let node = self.node.map(|_| Side::Node);
        engine.into_iter().chain(node).collect()
    }
}

fn flags() -> Options {
    let mut options = Options::new();
    options.optopt("", "engine", "call this engine straight", "ADDRESS");
    options.optopt("", "node", "call this node as callers do", "ADDRESS");
    options.optopt("", "pid", "process id of the node", "NUMBER");
    options.optopt(
        "",
        "streams",
        "streams at once (default 1,100,1000)",
        "LIST",
    );
    options.optopt(
        "",
        "tokens",
        "output tokens a request (default 100)",
        "NUMBER",
    );
    options.optopt("", "prompt-words", "words a prompt (default 16)", "NUMBER");
    options.optopt("", "seconds", "length of a run (default 10)", "NUMBER");
    options.optopt("", "model", "model to ask for (default m)", "NAME");
    options.optopt("", "threads", "threads that read (default 4)", "NUMBER");
    options.optflag("", "json", "print the report as JSON");
    options.optflag("h", "help", "show this help");
    options
}

fn usage(message: String) -> Report<LabError> {
    Report::new(LabError::Usage(message))
}

fn value<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, Report<LabError>> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(usage(format!("--{name} {text}: not understood"))),
    }
}

fn numbers(matches: &Matches) -> Result<Vec<usize>, Report<LabError>> {
    let text = matches
        .opt_str("streams")
        .unwrap_or_else(|| "1,100,1000".to_owned());
    text.split(',')
        .map(|part| {
            part.parse()
                .map_err(|_| usage(format!("--streams {text}: not understood")))
        })
        .collect()
}
