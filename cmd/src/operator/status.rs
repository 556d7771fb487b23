//! `status`, `drain` and `undrain`: print a node's status, stop a node, and drain engines.

use dalestand_node::{DrainRequest, StatusResponse};
use dalestand_types::{EngineId, Revision};

use super::client::{Client, parse, print_json};
use crate::exit::{Exit, failure};

/// Prints the state of the fleet as known to a node.
pub(super) async fn status(client: &Client, json: bool) -> Exit {
    let body = match client.get("/status").await {
        Ok(body) => body,
        Err(error) => return failure(error),
    };
    if json {
        print_json(&body);
        return Exit::Success;
    }
    match parse::<StatusResponse>(&body) {
        Ok(status) => {
            print_status(&status);
            Exit::Success
        }
        Err(error) => failure(error),
    }
}

fn print_status(status: &StatusResponse) {
    let revision = status
        .revision
        .map_or("none".to_owned(), |revision| revision.to_string());
    let state = match (status.stopping, status.ready) {
        (true, _) => "stopping",
        (false, true) => "ready",
        (false, false) => "not ready",
    };
    println!("node {} in zone {}: {state}", status.node, status.zone);
    println!(
        "configuration {revision}, {} requests in flight",
        status.in_flight
    );
    for member in &status.members {
        println!(
            "member {} in zone {}, operators {}",
            member.node, member.zone, member.operators
        );
    }
    for (group, holder) in &status.holders {
        println!("group {group} held by {holder}");
    }
    for row in &status.engines {
        let role = row
            .role
            .map_or("out of service".to_owned(), |role| role.to_string());
        let work = if row.accepting {
            ""
        } else {
            ", accepts no new requests"
        };
        println!(
            "engine {} {role}, {} running, {} waiting, known {} ms ago{work}",
            row.engine, row.running, row.waiting, row.age_ms
        );
    }
}

/// Starts a planned stop of the node.
pub(super) async fn drain(client: &Client) -> Exit {
    match client.post("/stop", &()).await {
        Ok(answer) if answer.status.is_success() => {
            println!("planned stop begun");
            Exit::Success
        }
        Ok(answer) => failure(String::from_utf8_lossy(&answer.body)),
        Err(error) => failure(error),
    }
}

/// Sets or removes an engine's drain mark.
pub(super) async fn drain_engine(
    client: &Client,
    engine: &str,
    draining: bool,
    author: String,
) -> Exit {
    let request = DrainRequest {
        engine: EngineId::from(engine),
        draining,
        author,
    };
    let answer = match client.post("/drain", &request).await {
        Ok(answer) => answer,
        Err(error) => return failure(error),
    };
    if !answer.status.is_success() {
        let message = String::from_utf8_lossy(&answer.body).into_owned();
        return match answer.status.as_u16() {
            409 => conflict(message),
            504 => in_doubt(message),
            _ => failure(message),
        };
    }
    match parse::<Revision>(&answer.body) {
        Ok(revision) => {
            println!("in force from revision {revision}");
            Exit::Success
        }
        Err(error) => failure(error),
    }
}

fn conflict(message: String) -> Exit {
    eprintln!("{message}");
    Exit::Conflict
}

fn in_doubt(message: String) -> Exit {
    eprintln!("{message}");
    Exit::InDoubt
}
