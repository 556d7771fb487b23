//! `dalestand node` and `dalestand check`: run a node, and validate files.

use dalestand_config::{Deployment, LogFormat, NodeSettings, PartialSettings};
use dalestand_node::Listeners;
use dalestand_telemetry::{LogOutput, logger};
use getopts::{Matches, Options};

use crate::exit::{Exit, failure, usage_error};
use crate::files::{self, FileError};
use crate::flags::{self, FlagError, optional, repeated};
use crate::forward;

fn node_options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "s",
        "settings",
        "settings file; other flags take precedence over it",
        "FILE",
    );
    options.optopt("", "node", "name of the node", "NAME");
    options.optopt("", "zone", "zone of the node", "ZONE");
    options.optopt(
        "",
        "caller-listen",
        "address to listen on for callers",
        "ADDRESS",
    );
    options.optopt(
        "",
        "operator-listen",
        "address to listen on for operators",
        "ADDRESS",
    );
    options.optopt(
        "",
        "peer-listen",
        "address to listen on for other nodes",
        "ADDRESS",
    );
    options.optopt(
        "",
        "key-value",
        "address of the key-value service",
        "ADDRESS",
    );
    options.optopt("", "machine-list", "address of the machine list", "ADDRESS");
    options.optmulti(
        "",
        "seed",
        "initial peer address for discovery; may be repeated",
        "ADDRESS",
    );
    options.optopt("", "log-format", "json or terminal", "FORMAT");
    options.optflag("h", "help", "show this help");
    options
}

/// Runs a node until its planned stop has completed.
pub fn run(arguments: &[String]) -> Exit {
    let options = node_options();
    let matches = match flags::parse(
        &options,
        "usage: dalestand node [--settings FILE] [flags]",
        arguments,
    ) {
        Ok(matches) => matches,
        Err(exit) => return exit,
    };
    match read_settings(&matches) {
        Ok(settings) => actix_rt::System::new().block_on(run_node(settings)),
        Err(message) => usage_error(message),
    }
}

async fn run_node(settings: NodeSettings) -> Exit {
    let log = logger(match settings.log_format {
        LogFormat::Json => LogOutput::JsonStderr,
        LogFormat::Terminal => LogOutput::Terminal,
    });
    let listeners = match Listeners::open(&settings).await {
        Ok(listeners) => listeners,
        Err(report) => return failure(format!("{report:?}")),
    };
    let addresses = listeners.addresses();
    println!(
        "ready callers={} operators={} peers={}",
        addresses.callers, addresses.operators, addresses.peers
    );
    match dalestand_node::run(settings, listeners, log).await {
        Ok(()) => Exit::Success,
        Err(report) => failure(format!("{report:?}")),
    }
}

fn read_settings(matches: &Matches) -> Result<NodeSettings, String> {
    let flags = settings_from_flags(matches).map_err(|error| error.to_string())?;
    let Some(path) = matches.opt_str("settings") else {
        return NodeSettings::parse_with("", flags).map_err(|faults| faults.to_string());
    };
    let text = files::read(&path).map_err(|error| error.to_string())?;
    NodeSettings::parse_with(&text, flags)
        .map_err(|faults| FileError::faulty(&path, faults).to_string())
}

fn settings_from_flags(matches: &Matches) -> Result<PartialSettings, FlagError> {
    let seeds = repeated(matches, "seed")?;
    Ok(PartialSettings {
        node: matches.opt_str("node").map(Into::into),
        zone: matches.opt_str("zone").map(Into::into),
        caller_listen: optional(matches, "caller-listen")?,
        operator_listen: optional(matches, "operator-listen")?,
        peer_listen: optional(matches, "peer-listen")?,
        key_value: optional(matches, "key-value")?,
        machine_list: optional(matches, "machine-list")?,
        seeds: (!seeds.is_empty()).then_some(seeds),
        log_format: log_format(matches)?,
        ..PartialSettings::default()
    })
}

fn log_format(matches: &Matches) -> Result<Option<LogFormat>, FlagError> {
    match matches.opt_str("log-format").as_deref() {
        None => Ok(None),
        Some("json") => Ok(Some(LogFormat::Json)),
        Some("terminal") => Ok(Some(LogFormat::Terminal)),
        Some(value) => Err(FlagError::Invalid {
            name: "log-format",
            value: value.to_owned(),
            message: "must be json or terminal".to_owned(),
        }),
    }
}

/// Prints every fault of a deployment file, or of another kind of file that a flag selects.
pub fn check(arguments: &[String]) -> Exit {
    let mut options = Options::new();
    options.optflag("s", "settings", "the file holds settings of a node");
    options.optflag(
        "",
        "forwarding",
        "the file holds settings of a forwarding node",
    );
    options.optflag("", "routes", "the file declares routes");
    options.optflag("h", "help", "show this help");
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return usage_error(error),
    };
    let usage = options.usage("usage: dalestand check [--settings|--forwarding|--routes] FILE");
    if matches.opt_present("help") {
        println!("{usage}");
        return Exit::Success;
    }
    let [path] = matches.free.as_slice() else {
        return usage_error(usage);
    };
    if matches.opt_present("forwarding") || matches.opt_present("routes") {
        return forward::check(path, matches.opt_present("routes"));
    }
    match check_file(path, matches.opt_present("settings")) {
        Ok(()) => {
            println!("{path}: no fault found");
            Exit::Success
        }
        Err(error) => usage_error(error),
    }
}

fn check_file(path: &str, settings: bool) -> Result<(), FileError> {
    let text = files::read(path)?;
    let checked = if settings {
        NodeSettings::parse(&text).map(drop)
    } else {
        Deployment::parse(&text).map(drop)
    };
    checked.map_err(|faults| FileError::faulty(path, faults))
}
