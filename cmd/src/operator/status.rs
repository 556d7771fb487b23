//! `status` and `drain`.

use dalestand_node::StatusResponse;

use super::client::{Client, parse, print_json};
use crate::exit::{Exit, failure};

/// Prints what a node knows of the fleet.
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
            ", takes no new work"
        };
        println!(
            "engine {} {role}, {} running, {} waiting, known {} ms ago{work}",
            row.engine, row.running, row.waiting, row.age_ms
        );
    }
}

/// Begins a planned stop of the node.
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
