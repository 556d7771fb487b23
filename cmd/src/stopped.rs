//! `dalestand stopped`: lists requests that are refused because engines ended while running them, and releases
//! them.

use dalestand_forwarding::{release_request, stopped_requests};
use dalestand_quarantine::RequestFingerprint;
use dalestand_users_platform::PlatformStore;
use getopts::Options;

use crate::exit::{Exit, failure, usage_error};
use crate::flags;
use crate::forward::read_settings;

const USAGE: &str = "usage: dalestand stopped --settings FILE [--release FINGERPRINT]";

/// Lists stopped requests, or releases the request given by `--release`.
pub fn run(arguments: &[String]) -> Exit {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings of any node of the fleet", "FILE");
    options.optopt("", "release", "let this request run again", "FINGERPRINT");
    options.optflag("h", "help", "show this help");
    let matches = match flags::parse(&options, USAGE, arguments) {
        Ok(matches) => matches,
        Err(exit) => return exit,
    };
    let Some(path) = matches.opt_str("settings") else {
        return usage_error("--settings must be given");
    };
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(message) => return usage_error(message),
    };
    let release = matches.opt_str("release");
    let fingerprint = match release
        .as_deref()
        .map(RequestFingerprint::parse)
        .transpose()
    {
        Ok(fingerprint) => fingerprint,
        Err(error) => return usage_error(format!("--release: {error}")),
    };
    actix_rt::System::new().block_on(async move {
        let store = PlatformStore::new(settings.key_value);
        match fingerprint {
            Some(fingerprint) => release_one(&store, fingerprint).await,
            None => list(&store).await,
        }
    })
}

async fn list(store: &PlatformStore) -> Exit {
    let stopped = match stopped_requests(store).await {
        Ok(stopped) => stopped,
        Err(report) => return failure(format!("{report:?}")),
    };
    for (fingerprint, entry) in stopped {
        let state = if entry.is_released {
            "released"
        } else {
            "stopped"
        };
        println!(
            "{fingerprint} {state}: {} engines ended while running it, the last at {} ms since the Unix epoch",
            entry.engines.len(),
            entry.last_crash_unix_ms
        );
    }
    Exit::Success
}

async fn release_one(store: &PlatformStore, fingerprint: RequestFingerprint) -> Exit {
    match release_request(store, fingerprint).await {
        Ok(true) => {
            println!("{fingerprint} may run again");
            Exit::Success
        }
        Ok(false) => failure(format!("{fingerprint} is not stopped")),
        Err(report) if report.current_context().is_in_doubt() => {
            eprintln!("{report:?}");
            Exit::InDoubt
        }
        Err(report) => failure(format!("{report:?}")),
    }
}
