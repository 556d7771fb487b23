//! Asks other nodes for the fleet's fingerprint key while this node has none, and answers such requests.
//!
//! Without the key a node recognizes neither requests nor prompt parts that crash engines. A node that the key-value
//! service refuses cannot read it there.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use dalestand_dissemination::{FingerprintKeyAnswer, FingerprintKeyRequest, Message};
use dalestand_quarantine::FingerprintKey;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::MonotonicTime;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::transmit::send;

/// Time in which the key usually is read from the key-value service.
const READ_TIME: Duration = Duration::from_millis(200);

/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// When this node last asked.
#[derive(Debug, Default)]
pub(crate) struct KeyRequests {
    last: Cell<MonotonicTime>,
}

/// Asks a relay if this node lacks the key and a request is due.
pub(super) fn request_if_missing(context: &Context, socket: &UdpSocket) {
    let now = context.now();
    let requests = &context.dissemination.key_requests;
    let is_due = now.since(MonotonicTime::ZERO) >= READ_TIME
        && now.since(requests.last.get()) >= REQUEST_INTERVAL;
    if context.quarantine.key().is_some() || !is_due {
        return;
    }
    requests.last.set(now);
    let turn = now.since(MonotonicTime::ZERO).as_millis() / REQUEST_INTERVAL.as_millis();
    let known = context.dissemination.known_relays(now);
    let Some(address) = known.get(turn as usize % known.len().max(1)) else {
        return;
    };
    let request = FingerprintKeyRequest {
        node: context.dissemination.node,
    };
    let message = Message::FingerprintKeyRequest(request);
    let sent_bytes = send(context, socket, &[*address], &message);
    context.record_sent_bytes(sent_bytes);
}

/// Answers with the key, if this node has it.
pub(super) fn answer(context: &Context, socket: &UdpSocket, sender: SocketAddr) {
    let Some(key) = context.quarantine.key() else {
        return;
    };
    let message = Message::FingerprintKeyAnswer(FingerprintKeyAnswer { key: key.to_text() });
    let sent_bytes = send(context, socket, &[sender], &message);
    context.record_sent_bytes(sent_bytes);
}

/// Uses the key that another node sent, unless this node has one.
pub(super) fn handle(context: &Context, answer: &FingerprintKeyAnswer) {
    match FingerprintKey::parse(&answer.key) {
        Ok(key) => context.quarantine.set_key(key),
        Err(error) => {
            log_event!(context.logger, Event::DatagramUnreadable,
                "message" => "fingerprint-key", "error" => %error);
        }
    }
}
