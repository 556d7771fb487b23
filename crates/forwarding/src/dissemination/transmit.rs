//! Encodes and sends datagrams.

use std::net::SocketAddr;

use dalestand_dissemination::{
    EntryRecord, LoadScope, LoadSlice, LoadsMessage, MESSAGE_VERSION, Message, News, NewsBatch,
};
use dalestand_telemetry::{Event, log_event};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::datagram::{Datagram, kind_label};

/// Size of the IP and UDP headers.
const DATAGRAM_HEADER_BYTES: usize = 28;

/// Sends a message to each address; returns the bytes sent.
pub(crate) fn send(
    context: &Context,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    message: &Message,
) -> usize {
    match encode(context, message) {
        Some(datagram) => send_encoded(context, socket, addresses, &datagram),
        None => 0,
    }
}

/// Encodes a message; logs a failure.
pub(super) fn encode(context: &Context, message: &Message) -> Option<Datagram> {
    let kind = kind_label(message);
    match rmp_serde::to_vec(&(MESSAGE_VERSION, message)) {
        Ok(bytes) => Some(Datagram { kind, bytes }),
        Err(error) => {
            log_event!(context.logger, Event::DatagramUnreadable, "message" => kind,
                "error" => %error);
            None
        }
    }
}

/// Sends a datagram to each address; returns the bytes sent.
pub(super) fn send_encoded(
    context: &Context,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    datagram: &Datagram,
) -> usize {
    let Datagram { kind, bytes } = datagram;
    for address in addresses {
        // Failures are only counted: the next message supersedes this one.
        let outcome = match socket.try_send_to(bytes, *address) {
            Ok(_) => "sent",
            Err(_) => "unsent",
        };
        context.metrics.datagram(kind, outcome, bytes.len());
    }
    (bytes.len() + DATAGRAM_HEADER_BYTES) * addresses.len()
}

/// Sends news that did not fit into the first message.
pub(super) fn send_news(
    context: &Context,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    batches: impl Iterator<Item = Vec<News>>,
) -> usize {
    let node = context.dissemination.node;
    let sent = batches.map(|news| {
        let batch = Message::News(NewsBatch { node, news });
        send(context, socket, addresses, &batch)
    });
    sent.sum()
}

/// Sends changed entries that did not fit into the first message.
pub(super) fn send_changes(
    context: &Context,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    messages: impl Iterator<Item = Vec<EntryRecord>>,
) -> usize {
    let sent = messages.map(|records| {
        let message = Message::Changes(records);
        send(context, socket, addresses, &message)
    });
    sent.sum()
}

/// Fields common to the slices of one load report.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadHeader {
    /// Which nodes the loads cover.
    pub(super) scope: LoadScope,
    /// Mean age of the work, in milliseconds.
    pub(super) age_ms: u32,
}

/// Sends loads that did not fit into the first message.
pub(super) fn send_loads(
    context: &Context,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    header: LoadHeader,
    slices: impl Iterator<Item = LoadSlice>,
) -> usize {
    let node = context.dissemination.node;
    let sent = slices.map(|work| {
        let loads = LoadsMessage {
            node,
            scope: header.scope,
            age_ms: header.age_ms,
            work,
        };
        send(context, socket, addresses, &Message::Loads(loads))
    });
    sent.sum()
}
