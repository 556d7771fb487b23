//! `dalestandctl`: for operators.

use std::net::SocketAddr;
use std::process::ExitCode;

use dalestand_cmd::exit::Exit;
use dalestand_cmd::flags::optional;
use dalestand_node::{ApplyRequest, ApplyResponse, StatusResponse};
use getopts::{Matches, Options};

const USAGE: &str = "usage: dalestandctl --node ADDRESS COMMAND

commands:
  apply FILE             apply a deployment file as a whole
  status                 what a node knows of the fleet
  explain request ID     how a request was decided
  explain engine ID      how an engine's role was decided";

const DEFAULT_NODE: ([u8; 4], u16) = ([127, 0, 0, 1], 8081);

/// Largest answer read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let mut options = Options::new();
    options.optopt(
        "n",
        "node",
        "operators' address of a node (default 127.0.0.1:8081)",
        "ADDRESS",
    );
    options.optflag("", "json", "print JSON");
    options.optopt("", "author", "who applies", "NAME");
    options.optopt(
        "",
        "after",
        "apply only if this revision stands there",
        "REVISION",
    );
    options.optflag("h", "help", "show this help");
    let exit = match options.parse(&arguments) {
        Ok(matches) if matches.opt_present("help") => {
            println!("{}", options.usage(USAGE));
            Exit::Success
        }
        Ok(matches) => actix_rt::System::new().block_on(run(&matches)),
        Err(error) => usage_error(&error.to_string()),
    };
    exit.into()
}

async fn run(matches: &Matches) -> Exit {
    let node = match optional(matches, "node") {
        Ok(node) => node.unwrap_or_else(|| SocketAddr::from(DEFAULT_NODE)),
        Err(error) => return usage_error(&error.to_string()),
    };
    let words: Vec<&str> = matches.free.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["apply", path] => apply(node, matches, path).await,
        ["status"] => status(node, matches.opt_present("json")).await,
        ["explain", "request", id] => print_text(node, &format!("/explain/request/{id}")).await,
        ["explain", "engine", id] => print_text(node, &format!("/explain/engine/{id}")).await,
        _ => usage_error(USAGE),
    }
}

async fn apply(node: SocketAddr, matches: &Matches, path: &str) -> Exit {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return usage_error(&format!("{path}: {error}")),
    };
    let expected = match optional(matches, "after") {
        Ok(expected) => expected.map(dalestand_types::Revision),
        Err(error) => return usage_error(&error.to_string()),
    };
    let author = matches
        .opt_str("author")
        .unwrap_or_else(|| "operator".to_owned());
    let request = ApplyRequest {
        text,
        author,
        expected,
    };
    let sent = awc::Client::default()
        .post(format!("http://{node}/apply"))
        .send_json(&request);
    let mut response = match sent.await {
        Ok(response) => response,
        Err(error) => return failure(&error.to_string()),
    };
    let status = response.status();
    let answer: ApplyResponse = match response.json().limit(MAX_ANSWER_BYTES).await {
        Ok(answer) => answer,
        Err(error) => return failure(&error.to_string()),
    };
    if let Some(revision) = answer.revision {
        println!("accepted as revision {revision}");
        return Exit::Success;
    }
    eprintln!("{}", answer.error.unwrap_or_default());
    match status.as_u16() {
        409 => Exit::Conflict,
        422 => Exit::Usage,
        _ if answer.in_doubt => Exit::InDoubt,
        _ => Exit::Failure,
    }
}

async fn status(node: SocketAddr, json: bool) -> Exit {
    let body = match get(node, "/status").await {
        Ok(body) => body,
        Err(message) => return failure(&message),
    };
    if json {
        println!("{}", String::from_utf8_lossy(&body));
        return Exit::Success;
    }
    let status: StatusResponse = match serde_json::from_slice(&body) {
        Ok(status) => status,
        Err(error) => return failure(&error.to_string()),
    };
    let revision = status
        .revision
        .map_or("none".to_owned(), |revision| revision.to_string());
    println!(
        "zone {}, ready {}, configuration {revision}",
        status.zone, status.ready
    );
    for (group, holder) in &status.holders {
        println!("group {group} held by {holder}");
    }
    for row in &status.engines {
        let role = row
            .role
            .map_or("out of service".to_owned(), |role| role.to_string());
        println!(
            "engine {} {role}, {} running, {} waiting, known {} ms ago",
            row.engine, row.running, row.waiting, row.age_ms
        );
    }
    Exit::Success
}

async fn print_text(node: SocketAddr, path: &str) -> Exit {
    match get(node, path).await {
        Ok(body) => {
            print!("{}", String::from_utf8_lossy(&body));
            Exit::Success
        }
        Err(message) => failure(&message),
    }
}

async fn get(node: SocketAddr, path: &str) -> Result<bytes::Bytes, String> {
    let sent = awc::Client::default()
        .get(format!("http://{node}{path}"))
        .send();
    let mut response = sent.await.map_err(|error| error.to_string())?;
    let body = response
        .body()
        .limit(MAX_ANSWER_BYTES)
        .await
        .map_err(|error| error.to_string())?;
    if response.status().is_success() {
        return Ok(body);
    }
    Err(format!(
        "{}: {}",
        response.status(),
        String::from_utf8_lossy(&body)
    ))
}

fn usage_error(message: &str) -> Exit {
    eprintln!("{message}");
    Exit::Usage
}

fn failure(message: &str) -> Exit {
    eprintln!("{message}");
    Exit::Failure
}
