//! `explain request` and `explain engine`: print decisions as a node recorded them.

use bytes::Bytes;
use dalestand_node::{EngineExplanation, RequestExplanation};

use super::client::{Client, ClientError, parse, print_json};
use crate::exit::{Exit, failure};

/// Prints how a request was routed.
pub(super) async fn request(client: &Client, id: &str, json: bool) -> Exit {
    let body = client.get(&format!("/explain/request/{id}")).await;
    print(body, json, |body| {
        Ok(parse::<RequestExplanation>(body)?.account)
    })
}

/// Prints how an engine's role was chosen.
pub(super) async fn engine(client: &Client, id: &str, json: bool) -> Exit {
    let body = client.get(&format!("/explain/engine/{id}")).await;
    print(body, json, |body| {
        Ok(parse::<EngineExplanation>(body)?.account)
    })
}

fn print(
    body: Result<Bytes, ClientError>,
    json: bool,
    explanation_text: impl Fn(&[u8]) -> Result<String, ClientError>,
) -> Exit {
    let body = match body {
        Ok(body) => body,
        Err(error) => return failure(error),
    };
    if json {
        print_json(&body);
        return Exit::Success;
    }
    match explanation_text(&body) {
        Ok(text) => {
            print!("{text}");
            Exit::Success
        }
        Err(error) => failure(error),
    }
}
