//! `dalestand stopped`: lists requests and prompt parts that are refused because engines ended while running them, and
//! releases them.

use std::fmt;

use dalestand_forwarding::{held_parts, release_part, release_request, stopped_requests};
use dalestand_quarantine::{ParseFingerprintError, PartFingerprint, RequestFingerprint};
use dalestand_users_platform::PlatformStore;
use getopts::Options;

use crate::exit::{Exit, failure, usage_error};
use crate::flags;
use crate::forward::read_settings;

const USAGE: &str = "usage: dalestand stopped --settings FILE [--release FINGERPRINT]";

/// A stopped request or a held prompt part.
#[derive(Clone, Copy, Debug)]
enum Stopped {
    Request(RequestFingerprint),
    Part(PartFingerprint),
}

impl Stopped {
    /// Parses a fingerprint as listed; that of a part is shorter.
    fn parse(text: &str) -> Result<Self, ParseFingerprintError> {
        let part = PartFingerprint::parse(text).map(Self::Part);
        part.or_else(|_| RequestFingerprint::parse(text).map(Self::Request))
    }
}

impl fmt::Display for Stopped {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(fingerprint) => fingerprint.fmt(formatter),
            Self::Part(part) => part.fmt(formatter),
        }
    }
}

/// Lists stopped requests and held prompt parts, or releases the one given by `--release`.
pub fn run(arguments: &[String]) -> Exit {
    let mut options = Options::new();
    options.optopt("s", "settings", "settings of any node of the fleet", "FILE");
    options.optopt(
        "",
        "release",
        "let this request, or requests with this prompt part, run again",
        "FINGERPRINT",
    );
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
    let released = match release.as_deref().map(Stopped::parse).transpose() {
        Ok(released) => released,
        Err(error) => return usage_error(format!("--release: {error}")),
    };
    actix_rt::System::new().block_on(async move {
        let store = PlatformStore::new(settings.key_value);
        match released {
            Some(stopped) => release_one(&store, stopped).await,
            None => list(&store).await,
        }
    })
}

async fn list(store: &PlatformStore) -> Exit {
    let stopped = match stopped_requests(store).await {
        Ok(stopped) => stopped,
        Err(report) => return failure(format!("{report:?}")),
    };
    let held = match held_parts(store).await {
        Ok(held) => held,
        Err(report) => return failure(format!("{report:?}")),
    };
    for (fingerprint, entry) in stopped.entries {
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
    for (part, entry) in held.entries {
        let state = if entry.is_released {
            "released"
        } else {
            "held"
        };
        println!(
            "{part} {state}: a prompt part; engines ended {} times while running requests with it, the last at {} ms since the Unix epoch",
            entry.crashes.len(),
            entry.last_crash_unix_ms().unwrap_or_default()
        );
    }
    for key in stopped.unreadable_keys.iter().chain(&held.unreadable_keys) {
        eprintln!("{key} cannot be read and stops nothing");
    }
    Exit::Success
}

async fn release_one(store: &PlatformStore, stopped: Stopped) -> Exit {
    let released = match stopped {
        Stopped::Request(fingerprint) => release_request(store, fingerprint).await,
        Stopped::Part(part) => release_part(store, part).await,
    };
    match released {
        Ok(true) => {
            println!("{stopped} may run again");
            Exit::Success
        }
        Ok(false) => failure(format!("{stopped} is not stopped")),
        Err(report) if report.current_context().is_in_doubt() => {
            eprintln!("{report:?}");
            Exit::InDoubt
        }
        Err(report) => failure(format!("{report:?}")),
    }
}
