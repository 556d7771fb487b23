//! `dalestand`: the product process.

use std::process::ExitCode;

use dalestand_cmd::dev;
use dalestand_cmd::exit::Exit;
use dalestand_config::{Deployment, LogFormat, NodeSettings};
use dalestand_node::Listeners;
use dalestand_telemetry::{LogOutput, logger};
use getopts::Options;

const USAGE: &str = "usage: dalestand node --settings FILE
       dalestand dev [--listen ADDRESS]
       dalestand check FILE";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let exit = match arguments.first().map(String::as_str) {
        Some("node") => run_node(&arguments[1..]),
        Some("dev") => dev::run(&arguments[1..]),
        Some("check") => check(&arguments[1..]),
        Some("--help" | "-h") => {
            println!("{USAGE}");
            Exit::Success
        }
        _ => {
            eprintln!("{USAGE}");
            Exit::Usage
        }
    };
    exit.into()
}

fn run_node(arguments: &[String]) -> Exit {
    let mut options = Options::new();
    options.reqopt("s", "settings", "settings file of the node", "FILE");
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return usage_error(&error.to_string()),
    };
    let path = matches.opt_str("settings").unwrap_or_default();
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(message) => return usage_error(&message),
    };
    let output = match settings.log_format {
        LogFormat::Json => LogOutput::Json,
        LogFormat::Terminal => LogOutput::Terminal,
    };
    let log = logger(output);
    actix_rt::System::new().block_on(async move {
        let listeners = match Listeners::open(&settings).await {
            Ok(listeners) => listeners,
            Err(report) => return failure(&format!("{report:?}")),
        };
        let addresses = listeners.addresses();
        println!(
            "ready callers={} operators={} peers={}",
            addresses.callers, addresses.operators, addresses.peers
        );
        match dalestand_node::run(settings, listeners, log).await {
            Ok(()) => Exit::Success,
            Err(report) => failure(&format!("{report:?}")),
        }
    })
}

fn read_settings(path: &str) -> Result<NodeSettings, String> {
    let text = std::fs::read_to_string(path).map_err(|error| format!("{path}: {error}"))?;
    NodeSettings::parse(&text).map_err(|faults| prefixed(path, &faults.to_string()))
}

fn check(arguments: &[String]) -> Exit {
    let [path] = arguments else {
        return usage_error("check takes one file");
    };
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return usage_error(&format!("{path}: {error}")),
    };
    match Deployment::parse(&text) {
        Ok(_) => {
            println!("{path}: no fault found");
            Exit::Success
        }
        Err(faults) => usage_error(&prefixed(path, &faults.to_string())),
    }
}

fn prefixed(path: &str, faults: &str) -> String {
    let lines: Vec<String> = faults
        .lines()
        .map(|line| format!("{path}: {line}"))
        .collect();
    lines.join("\n")
}

fn usage_error(message: &str) -> Exit {
    eprintln!("{message}");
    Exit::Usage
}

fn failure(message: &str) -> Exit {
    eprintln!("{message}");
    Exit::Failure
}
