//! `apply` and `diff`: change the configuration, and compare a file with it.

use dalestand_config::{Deployment, differences};
use dalestand_node::{ApplyRequest, ApplyResponse, ConfigurationResponse};
use dalestand_types::Revision;
use getopts::Matches;

use super::client::{Client, ClientError, parse};
use crate::exit::{Exit, failure, usage_error};
use crate::files::{self, FileError};
use crate::flags::optional;

/// Validates a deployment file locally and applies it.
pub(super) async fn apply(client: &Client, matches: &Matches, path: &str) -> Exit {
    let text = match files::read(path) {
        Ok(text) => text,
        Err(error) => return usage_error(error),
    };
    if let Err(faults) = Deployment::parse(&text) {
        return usage_error(FileError::faulty(path, faults));
    }
    let expected = match optional(matches, "after") {
        Ok(expected) => expected.map(Revision),
        Err(error) => return usage_error(error),
    };
    let author = super::author(matches);
    let request = ApplyRequest {
        text,
        author,
        expected,
    };
    let answer = match client.post("/apply", &request).await {
        Ok(answer) => answer,
        Err(error) => return failure(error),
    };
    let response: ApplyResponse = match parse(&answer.body) {
        Ok(response) => response,
        Err(_) => return failure(String::from_utf8_lossy(&answer.body)),
    };
    report_outcome(
        answer.status.as_u16(),
        matches.opt_present("json"),
        &answer.body,
        response,
    )
}

fn report_outcome(status: u16, json: bool, body: &[u8], response: ApplyResponse) -> Exit {
    if json {
        super::client::print_json(body);
    }
    if let Some(revision) = response.revision {
        if !json {
            println!("accepted as revision {revision}");
        }
        return Exit::Success;
    }
    eprintln!("{}", response.error.unwrap_or_default());
    match status {
        409 => Exit::Conflict,
        422 => Exit::Usage,
        _ if response.in_doubt => Exit::InDoubt,
        _ => Exit::Failure,
    }
}

/// Prints what a deployment file would change.
pub(super) async fn diff(client: &Client, path: &str, json: bool) -> Exit {
    let text = match files::read(path) {
        Ok(text) => text,
        Err(error) => return usage_error(error),
    };
    let after = match Deployment::parse(&text) {
        Ok(deployment) => deployment,
        Err(faults) => return usage_error(FileError::faulty(path, faults)),
    };
    let (revision, before) = match current_deployment(client).await {
        Ok(before) => before,
        Err(error) => return failure(error),
    };
    let changes = differences(&before, &after);
    if json {
        println!("{}", serde_json::to_string(&changes).unwrap_or_default());
        return Exit::Success;
    }
    println!(
        "against revision {revision}: {} values differ",
        changes.len()
    );
    for change in changes {
        println!("{change}");
    }
    Exit::Success
}

async fn current_deployment(client: &Client) -> Result<(Revision, Deployment), ClientError> {
    let body = client.get("/configuration").await?;
    let current: ConfigurationResponse = parse(&body)?;
    let deployment = Deployment::parse(&current.text)
        .map_err(|faults| ClientError::Malformed(faults.to_string()))?;
    Ok((current.revision, deployment))
}
