//! `dalestand forward`: runs a node that forwards opaque requests by routes on the users' platform.

use std::rc::Rc;

use dalestand_edge::duty_calls::DutyCalls;
use dalestand_forwarding::{ForwardingNode, ForwardingSettings};
use dalestand_routes::RouteTable;
use dalestand_telemetry::{LogOutput, logger};
use dalestand_users_platform::{
    PlatformDialect, PlatformDuties, PlatformStore, PlatformStoreFormat,
};
use getopts::Options;

use crate::exit::{Exit, failure, usage_error};
use crate::{files, flags};

/// Environment variable with the path of the settings file, used without `--settings`.
const SETTINGS_VARIABLE: &str = "DALESTAND_SETTINGS";

/// Runs a node until its planned stop has completed.
pub fn run(arguments: &[String]) -> Exit {
    let mut options = Options::new();
    options.optopt(
        "s",
        "settings",
        "settings file (default: the path in DALESTAND_SETTINGS)",
        "FILE",
    );
    options.optflag("h", "help", "show this help");
    let matches = match flags::parse(
        &options,
        "usage: dalestand forward [--settings FILE]",
        arguments,
    ) {
        Ok(matches) => matches,
        Err(exit) => return exit,
    };
    let path = matches
        .opt_str("settings")
        .or_else(|| std::env::var(SETTINGS_VARIABLE).ok());
    let Some(path) = path else {
        return usage_error("no settings file given; use --settings or set DALESTAND_SETTINGS");
    };
    match read_settings(&path) {
        Ok(settings) => actix_rt::System::new().block_on(run_node(settings, path)),
        Err(message) => usage_error(message),
    }
}

/// Reads and validates a settings file; the error lists every fault.
pub fn read_settings(path: &str) -> Result<ForwardingSettings, String> {
    let text = files::read(path).map_err(|error| error.to_string())?;
    ForwardingSettings::parse(&text).map_err(|faults| {
        let faults = faults.iter().map(|fault| format!("{path}: {fault}"));
        faults.collect::<Vec<_>>().join("\n")
    })
}

/// Prints every fault of a forwarding node's settings file, or of a route declaration if `routes` is set.
pub fn check(path: &str, routes: bool) -> Exit {
    let checked = if routes {
        check_routes(path)
    } else {
        read_settings(path).map(drop)
    };
    match checked {
        Ok(()) => {
            println!("{path}: no fault found");
            Exit::Success
        }
        Err(message) => usage_error(message),
    }
}

fn check_routes(path: &str) -> Result<(), String> {
    let text = files::read(path).map_err(|error| error.to_string())?;
    RouteTable::parse(&text).map(drop).map_err(|faults| {
        let faults = faults.iter().map(|fault| format!("{path}: {fault}"));
        faults.collect::<Vec<_>>().join("\n")
    })
}

async fn run_node(settings: ForwardingSettings, path: String) -> Exit {
    let store = PlatformStore::new(settings.key_value);
    let duties = settings.duties.as_ref();
    let duty_calls =
        duties.map(|duties| -> Rc<dyn DutyCalls> { Rc::new(PlatformDuties::new(duties.address)) });
    let node = ForwardingNode {
        unknown_headers: store.unknown_headers(),
        settings,
        read_settings: Box::new(move || read_settings(&path)),
        dialect: Rc::new(PlatformDialect),
        store_format: Rc::new(PlatformStoreFormat),
        store: Rc::new(store),
        duty_calls,
        logger: logger(LogOutput::JsonStdout),
    };
    match dalestand_forwarding::run(node).await {
        Ok(()) => Exit::Success,
        Err(report) => failure(format!("{report:?}")),
    }
}
