//! Requests the software versions of engines that this node lacks from relays, and answers such requests.
//!
//! Relays read them from the key-value service. A member's entries come without them, and so do those of a relay
//! that the service refuses.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use dalestand_dissemination::{EnginesOfVersion, Message, SoftwareRequest, SoftwareVersions};
use dalestand_routing::staged::EngineKey;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::TABLE_INTERVAL;
use crate::dissemination::transmit::send;
use crate::fleet::engine_runs::is_withheld;

/// Engines per request; the request takes 4.6 KB. All of a fleet of 10,000 are asked for in 20 requests, which
/// take two seconds.
const MAX_ENGINES_PER_REQUEST: usize = 512;

/// Requests that go to the followed relay before one goes to another relay, which may know more.
const REQUESTS_PER_RELAY: usize = 3;

/// Time for which a relay that lacks versions waits for its own watch of the entries. Other relays lack them as well, if
/// they heard of the engines in the same message.
const WATCH_PATIENCE: Duration = Duration::from_millis(300);

/// Requests the versions that this node lacks, if a request is due.
pub(super) fn request_missing(context: &Context, socket: &UdpSocket) {
    let now = context.now();
    let dissemination = &context.dissemination;
    let engines: Vec<u64> = {
        let versions = context.engine_versions();
        let missing = versions
            .missing()
            .filter(|engine| !is_withheld(context, *engine))
            .take(MAX_ENGINES_PER_REQUEST);
        missing.map(|engine| engine.0).collect()
    };
    if engines.is_empty() {
        dissemination.software_requests.set(0);
        dissemination.software_missing_since.set(None);
        return;
    }
    let missing_since = dissemination.software_missing_since.get().unwrap_or(now);
    dissemination
        .software_missing_since
        .set(Some(missing_since));
    let is_relay = dissemination.role(now).is_relay;
    if is_relay && now.since(missing_since) < WATCH_PATIENCE {
        return;
    }
    if now.since(dissemination.software_requested_at.get()) < TABLE_INTERVAL {
        return;
    }
    let requests = dissemination.software_requests.get();
    let Some(address) = address_to_ask(context, requests) else {
        return;
    };
    dissemination.software_requests.set(requests + 1);
    dissemination.software_requested_at.set(now);
    let request = SoftwareRequest {
        node: dissemination.node,
        engines,
    };
    let message = Message::SoftwareRequest(request);
    let sent_bytes = send(context, socket, &[address], &message);
    context.record_sent_bytes(sent_bytes);
}

/// The followed relay, or another one after some requests that left versions missing. A relay asks those that it exchanges
/// with, which it knows even if it could not list them.
fn address_to_ask(context: &Context, requests: usize) -> Option<SocketAddr> {
    let dissemination = &context.dissemination;
    let now = context.now();
    if dissemination.role(now).is_relay {
        let relays = dissemination.exchange_addresses(now);
        let index = requests.checked_rem(relays.len())?;
        return relays.into_iter().nth(index);
    }
    let subscription = dissemination.subscription.borrow();
    let turn = requests / REQUESTS_PER_RELAY;
    match subscription.current().filter(|_| turn.is_multiple_of(2)) {
        Some(followed) => Some(followed.address),
        None => {
            let relays = subscription.relays();
            let relay = relays.get(requests.checked_rem(relays.len())?)?;
            Some(relay.address)
        }
    }
}

/// Answers a request with the versions that this node knows to be stored.
pub(super) fn answer(
    context: &Context,
    socket: &UdpSocket,
    sender: SocketAddr,
    request: &SoftwareRequest,
) {
    let mut by_version = BTreeMap::new();
    {
        let versions = context.engine_versions();
        for engine in request.engines.iter().take(MAX_ENGINES_PER_REQUEST) {
            if let Some(software) = versions.get(EngineKey(*engine)) {
                let engines: &mut Vec<u64> = by_version.entry(software.clone()).or_default();
                engines.push(*engine);
            }
        }
    }
    if by_version.is_empty() {
        return;
    }
    let versions = by_version.into_iter();
    let answer = SoftwareVersions {
        node: context.dissemination.node,
        versions: versions
            .map(|(software, engines)| EnginesOfVersion { software, engines })
            .collect(),
    };
    let message = Message::SoftwareVersions(answer);
    let sent_bytes = send(context, socket, &[sender], &message);
    context.record_sent_bytes(sent_bytes);
}

/// Applies the versions that this node lacks. What it read from the key-value service stays.
pub(super) fn handle(context: &Context, answer: SoftwareVersions) {
    for EnginesOfVersion { software, engines } in answer.versions {
        for engine in engines.into_iter().map(EngineKey) {
            let is_missing = context.engine_versions().get(engine).is_none();
            if is_missing {
                context.record_stored_software(engine, software.clone());
            }
        }
    }
}
