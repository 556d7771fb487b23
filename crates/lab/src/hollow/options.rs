//! Flags of `hollow`.

use std::fmt::Display;
use std::str::FromStr;
use std::time::Duration;

use error_stack::Report;
use getopts::Matches;

use crate::LabError;

/// Most threads of hollow nodes: the machine is shared.
const MAX_THREADS: usize = 3;

/// What to run.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Options {
    /// Hollow nodes.
    pub(super) nodes: usize,
    /// Engines.
    pub(super) engines: usize,
    /// Zones that both are spread over.
    pub(super) zones: usize,
    /// Tenants of the deployment.
    pub(super) tenants: usize,
    /// Length of the measured window.
    pub(super) window: Duration,
    /// Share of datagrams that are lost.
    pub(super) loss: f64,
    /// Configurations applied after the window.
    pub(super) applies: usize,
    /// Nodes killed, one after the other.
    pub(super) kills: usize,
    /// Nodes replaced, one after the other.
    pub(super) replaced: usize,
    /// Whether one zone is cut off and healed at the end.
    pub(super) cut_zone: bool,
    /// Threads of the nodes.
    pub(super) threads: usize,
    /// Whether the report is one JSON object.
    pub(super) json: bool,
}

impl Options {
    /// Reads the flags; `None` if only help was asked for.
    pub(super) fn parse(arguments: &[String]) -> Result<Option<Self>, Report<LabError>> {
        let flags = flags();
        let matches = flags
            .parse(arguments)
            .map_err(|error| usage(&error.to_string()))?;
        if matches.opt_present("help") {
            println!("{}", flags.usage("usage: dalestand-lab hollow [flags]"));
            return Ok(None);
        }
        let options = Self {
            nodes: value(&matches, "nodes", 48)?,
            engines: value(&matches, "engines", 88)?,
            zones: value(&matches, "zones", 7)?,
            tenants: value(&matches, "tenants", 0)?,
            window: Duration::from_secs(value(&matches, "seconds", 20)?),
            loss: value(&matches, "loss", 0.0)?,
            applies: value(&matches, "applies", 5)?,
            kills: value(&matches, "kill", 0)?,
            replaced: value(&matches, "replace", 0)?,
            cut_zone: matches.opt_present("cut-zone"),
            threads: value(&matches, "threads", 2)?,
            json: matches.opt_present("json"),
        };
        options.check()?;
        Ok(Some(options))
    }

    fn check(&self) -> Result<(), Report<LabError>> {
        if self.zones == 0 || self.nodes < self.zones || self.engines < self.zones {
            return Err(usage(
                "there must be a zone, and a node and an engine in each",
            ));
        }
        if !(0.0..1.0).contains(&self.loss) {
            return Err(usage("--loss must be at least 0 and below 1"));
        }
        if self.threads == 0 || self.threads > MAX_THREADS {
            return Err(usage(&format!(
                "--threads must lie between 1 and {MAX_THREADS}"
            )));
        }
        if self.kills + self.replaced >= self.nodes {
            return Err(usage("--kill and --replace must leave a node"));
        }
        Ok(())
    }
}

fn flags() -> getopts::Options {
    let mut flags = getopts::Options::new();
    flags.optopt("", "nodes", "hollow nodes (default 48)", "N");
    flags.optopt("", "engines", "engines (default 88)", "M");
    flags.optopt("", "zones", "zones (default 7)", "Z");
    flags.optopt("", "tenants", "tenants of the deployment (default 0)", "T");
    flags.optopt("", "seconds", "measured window (default 20)", "S");
    flags.optopt("", "loss", "share of datagrams lost (default 0)", "P");
    flags.optopt("", "applies", "configurations applied (default 5)", "K");
    flags.optopt("", "kill", "nodes killed, one by one (default 0)", "K");
    flags.optopt("", "replace", "nodes replaced, one by one (default 0)", "K");
    flags.optflag("", "cut-zone", "cut one zone off and heal it");
    flags.optopt("", "threads", "threads of the nodes (default 2)", "T");
    flags.optflag("", "json", "print one JSON object");
    flags.optflag("h", "help", "show this help");
    flags
}

fn value<T>(matches: &Matches, name: &str, default: T) -> Result<T, Report<LabError>>
where
    T: FromStr,
    T::Err: Display,
{
    let given = matches.opt_get(name);
    let given = given.map_err(|error| usage(&format!("--{name}: {error}")))?;
    Ok(given.unwrap_or(default))
}

fn usage(message: &str) -> Report<LabError> {
    Report::new(LabError::Usage(message.to_owned()))
}
