//! Flags of the `load` command.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use error_stack::Report;
use getopts::{Matches, Options};

use crate::LabError;

const USAGE: &str = "usage: dalestand-lab load [--engine ADDRESS] [--node ADDRESS] [flags]";

/// Target of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Target {
    /// An engine, called directly.
    Engine,
    /// A node, called through its caller API.
    Node,
}

/// Parsed and checked flags.
#[derive(Clone, Debug)]
pub(super) struct LoadOptions {
    /// Address of the engine to call directly.
    pub(super) engine: Option<SocketAddr>,
    /// Address of the node to call.
    pub(super) node: Option<SocketAddr>,
    /// Process id of the node, for its processor time and memory.
    pub(super) pid: Option<u32>,
    /// Numbers of concurrent streams; one run each.
    pub(super) streams: Vec<usize>,
    /// Output tokens per request.
    pub(super) tokens: u32,
    /// Words per prompt.
    pub(super) prompt_words: usize,
    /// Time in which a run starts new requests.
    pub(super) duration: Duration,
    /// Requested model.
    pub(super) model: String,
    /// Number of threads that read streams.
    pub(super) threads: usize,
    /// Whether to print the report as JSON.
    pub(super) json: bool,
}

impl LoadOptions {
    /// Parses the flags; returns `None` after printing the help text.
    pub(super) fn parse(arguments: &[String]) -> Result<Option<Self>, Report<LabError>> {
        let options = flags();
        let matches = options
            .parse(arguments)
            .map_err(|error| usage_error(error.to_string()))?;
        if matches.opt_present("help") {
            println!("{}", options.usage(USAGE));
            return Ok(None);
        }
        let parsed = Self {
            engine: parse_option(&matches, "engine")?,
            node: parse_option(&matches, "node")?,
            pid: parse_option(&matches, "pid")?,
            streams: stream_counts(&matches)?,
            tokens: parse_option(&matches, "tokens")?.unwrap_or(100),
            prompt_words: parse_option(&matches, "prompt-words")?.unwrap_or(16),
            duration: Duration::from_secs(parse_option(&matches, "seconds")?.unwrap_or(10)),
            model: matches.opt_str("model").unwrap_or_else(|| "m".to_owned()),
            threads: parse_option(&matches, "threads")?.unwrap_or(4),
            json: matches.opt_present("json"),
        };
        if parsed.engine.is_none() && parsed.node.is_none() {
            return Err(usage_error("--engine or --node must be given".to_owned()));
        }
        if parsed.tokens == 0 || parsed.threads == 0 || parsed.streams.contains(&0) {
            let message = "--tokens, --threads and --streams must be above 0";
            return Err(usage_error(message.to_owned()));
        }
        Ok(Some(parsed))
    }

    /// The targets to measure.
    pub(super) fn targets(&self) -> Vec<Target> {
        let engine = self.engine.map(|_| Target::Engine);
        let node = self.node.map(|_| Target::Node);
        engine.into_iter().chain(node).collect()
    }
}

fn flags() -> Options {
    let mut options = Options::new();
    options.optopt("", "engine", "engine to call directly", "ADDRESS");
    options.optopt("", "node", "node to call through its caller API", "ADDRESS");
    options.optopt("", "pid", "process id of the node", "NUMBER");
    options.optopt(
        "",
        "streams",
        "numbers of concurrent streams, one run each (default 1,100,1000)",
        "LIST",
    );
    options.optopt(
        "",
        "tokens",
        "output tokens per request (default 100)",
        "NUMBER",
    );
    options.optopt(
        "",
        "prompt-words",
        "words per prompt (default 16)",
        "NUMBER",
    );
    options.optopt(
        "",
        "seconds",
        "duration of a run in seconds (default 10)",
        "NUMBER",
    );
    options.optopt("", "model", "model to request (default m)", "NAME");
    options.optopt(
        "",
        "threads",
        "threads that run the streams (default 4)",
        "NUMBER",
    );
    options.optflag("", "json", "print the report as JSON");
    options.optflag("h", "help", "show this help");
    options
}

fn usage_error(message: String) -> Report<LabError> {
    Report::new(LabError::Usage(message))
}

fn parse_option<T: FromStr>(matches: &Matches, name: &str) -> Result<Option<T>, Report<LabError>> {
    let Some(text) = matches.opt_str(name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(usage_error(format!("--{name}: invalid value {text}"))),
    }
}

fn stream_counts(matches: &Matches) -> Result<Vec<usize>, Report<LabError>> {
    let text = matches
        .opt_str("streams")
        .unwrap_or_else(|| "1,100,1000".to_owned());
    text.split(',')
        .map(|part| {
            part.parse()
                .map_err(|_| usage_error(format!("--streams: invalid list {text}")))
        })
        .collect()
}
