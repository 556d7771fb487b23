//! `dalestand-standin`: runs a stand-in for one of the external systems.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use dalestand_cmd::exit::{Exit, usage_error};
use dalestand_cmd::flags::{FlagError, optional, required};
use dalestand_standin::engine::{BatchSettings, EngineSettings, serve_engine};
use dalestand_standin::key_value::serve_key_value;
use dalestand_standin::machine_list::serve_machine_list;
use dalestand_types::{EngineId, Incarnation, Role};
use getopts::{Matches, Options};
use tokio::net::TcpListener;

const USAGE: &str = "usage: dalestand-standin kv|engine|machines [flags]";

/// Kinds of stand-ins: the key-value service, an engine and the machine list.
const KINDS: [&str; 3] = ["kv", "engine", "machines"];

/// Flags that print the usage.
const HELP_FLAGS: [&str; 2] = ["-h", "--help"];

/// Default duration of a role change of the engine, in milliseconds.
const DEFAULT_ROLE_CHANGE_MS: u64 = 2_000;

fn main() -> ExitCode {
    dalestand_cmd::report::show_messages_only();
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let exit = match arguments.split_first() {
        Some((kind, _)) if HELP_FLAGS.contains(&kind.as_str()) => {
            println!("{}", options().usage(USAGE));
            Exit::Success
        }
        Some((kind, _)) if !KINDS.contains(&kind.as_str()) => usage_error(USAGE),
        Some((kind, rest)) => run(kind, rest),
        None => usage_error(USAGE),
    };
    exit.into()
}

fn options() -> Options {
    let mut options = Options::new();
    options.optopt(
        "",
        "listen",
        "address to listen on (default 127.0.0.1:0)",
        "ADDRESS",
    );
    options.optopt("", "name", "engine: its name", "NAME");
    options.optopt(
        "",
        "incarnation",
        "engine: its incarnation, a number that increases with each start (default 1)",
        "NUMBER",
    );
    options.optopt(
        "",
        "load-ms",
        "engine: time to load a model or an adapter (default 0)",
        "MS",
    );
    options.optopt(
        "",
        "role-change-ms",
        "engine: duration of a role change (default 2000)",
        "MS",
    );
    options.optflag(
        "",
        "log-stdout",
        "engine: print its order and run logs, one JSON object per line",
    );
    options.optopt(
        "",
        "capacity",
        "engine: maximum number of running and waiting requests",
        "NUMBER",
    );
    options.optopt(
        "",
        "max-running",
        "engine: maximum number of running requests",
        "NUMBER",
    );
    options.optopt("", "step-ms", "engine: base duration of a batch step", "MS");
    options.optopt(
        "",
        "step-us-per-request",
        "engine: additional step duration per running request",
        "MICROSECONDS",
    );
    options.optopt(
        "",
        "prefill-us-per-token",
        "engine: prefill time per prompt token",
        "MICROSECONDS",
    );
    options.optflag("h", "help", "show this help");
    options
}

fn run(kind: &str, arguments: &[String]) -> Exit {
    let options = options();
    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => return usage_error(error),
    };
    if matches.opt_present("help") {
        println!("{}", options.usage(USAGE));
        return Exit::Success;
    }
    let kind = kind.to_owned();
    actix_rt::System::new().block_on(async move {
        match serve(&kind, &matches).await {
            Ok(()) => Exit::Success,
            Err(error) => usage_error(error),
        }
    })
}

async fn serve(kind: &str, matches: &Matches) -> Result<(), String> {
    let address: SocketAddr = optional(matches, "listen")
        .map_err(|error| error.to_string())?
        .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    let listener = TcpListener::bind(address)
        .await
        .map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let settings = match kind {
        "engine" => Some(engine_settings(matches).map_err(|error| error.to_string())?),
        _ => None,
    };
    println!("ready {address}");
    match (kind, settings) {
        ("kv", _) => serve_key_value(listener).await,
        ("machines", _) => serve_machine_list(listener).await,
        (_, Some(settings)) => serve_engine(listener, settings).await,
        _ => return Err(USAGE.to_owned()),
    }
    Ok(())
}

fn engine_settings(matches: &Matches) -> Result<EngineSettings, FlagError> {
    let name: String = required(matches, "name")?;
    let role_change_ms = optional(matches, "role-change-ms")?.unwrap_or(DEFAULT_ROLE_CHANGE_MS);
    Ok(EngineSettings {
        engine: EngineId::from(name),
        incarnation: Incarnation(optional(matches, "incarnation")?.unwrap_or(1)),
        role: Role::Mixed,
        batch: batch_settings(matches)?,
        role_change_time: Duration::from_millis(role_change_ms),
        load_time: Duration::from_millis(optional(matches, "load-ms")?.unwrap_or(0)),
        log_to_stdout: matches.opt_present("log-stdout"),
    })
}

fn batch_settings(matches: &Matches) -> Result<BatchSettings, FlagError> {
    let mut batch = BatchSettings::default();
    if let Some(capacity) = optional(matches, "capacity")? {
        batch.capacity = capacity;
    }
    if let Some(max_running) = optional(matches, "max-running")? {
        batch.max_running = max_running;
    }
    if let Some(milliseconds) = optional(matches, "step-ms")? {
        batch.step = Duration::from_millis(milliseconds);
    }
    if let Some(microseconds) = optional(matches, "step-us-per-request")? {
        batch.step_per_request = Duration::from_micros(microseconds);
    }
    if let Some(microseconds) = optional(matches, "prefill-us-per-token")? {
        batch.prefill_per_token = Duration::from_micros(microseconds);
    }
    Ok(batch)
}
