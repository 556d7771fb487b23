//! Receives messages of other nodes; one module per kind of message.

mod declaration;
pub(crate) mod entries;
mod exchange;
mod loads;
pub(crate) mod news;
mod report;
mod table;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::{MESSAGE_VERSION, Message};
use dalestand_telemetry::{Event, log_event};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::datagram::kind_label;
use crate::dissemination::engine_notices;
use crate::dissemination::fingerprint_key;
use crate::dissemination::freshness;
use crate::dissemination::part_evidence;
use crate::dissemination::recent_changes::ChangeSource;
use crate::dissemination::software;
use crate::dissemination::sums;
use crate::fleet::engine_entries;
use crate::permits::{grants, requester};
use crate::streams;

/// Size of the longest datagram. A truncated one would be unreadable, and a relay whose tables are
/// unreadable counts as lost.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Pause after a socket error.
const SOCKET_ERROR_DELAY: Duration = Duration::from_millis(100);

/// Receives messages until dropped.
pub(crate) async fn receive_state(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log_event!(context.logger, Event::ListenFailed, "address" => "peers",
                    "error" => %error);
                actix_rt::time::sleep(SOCKET_ERROR_DELAY).await;
                continue;
            }
        };
        match rmp_serde::from_slice::<(u8, Message)>(&buffer[..length]) {
            Ok((MESSAGE_VERSION, message)) => {
                let kind = kind_label(&message);
                context.metrics.datagram(kind, "received", length);
                handle(&context, &socket, sender, message);
            }
            // Another version, damaged, or from an unrelated sender.
            Ok(_) | Err(_) => context.metrics.datagram("unknown", "unreadable", length),
        }
    }
}

fn handle(context: &Context, socket: &UdpSocket, sender: SocketAddr, message: Message) {
    match message {
        Message::Report(report) => report::handle(context, sender, report),
        Message::Exchange(exchange) => exchange::handle(context, socket, sender, exchange),
        Message::Table(table) => table::handle(context, socket, sender, table),
        Message::News(batch) => news::apply_and_forward(context, batch.news),
        Message::Loads(message) => loads::handle_message(context, message),
        Message::Changes(records) => {
            engine_entries::merge(context, records, ChangeSource::Relay);
        }
        Message::PartsRequest(_) => news::queue_parts_request(context, sender),
        Message::EntriesRequest(request) => entries::send(context, sender, request),
        Message::Entries(page) => entries::handle_page(context, page),
        Message::DeclarationRequest(request) => {
            declaration::send(context, sender, &request);
        }
        Message::Declaration(part) => declaration::handle(context, part),
        Message::Engines(notices) => engine_notices::handle(context, &notices),
        Message::EngineRuns(runs) => engine_notices::handle_runs(context, &runs),
        Message::Limits(limits) => engine_notices::handle_limits(context, &limits),
        Message::PermitRequest(request) => grants::respond(context, socket, sender, &request),
        Message::PermitAnswer(answer) => requester::handle_answer(context, answer),
        Message::Sums(sums) => sums::handle(context, sums),
        Message::Freshness(freshness) => freshness::handle(context, socket, sender, freshness),
        Message::SoftwareRequest(request) => software::answer(context, socket, sender, &request),
        Message::SoftwareVersions(versions) => software::handle(context, versions),
        Message::RecordedStreams(recorded) => streams::share::handle(context, recorded),
        Message::OriginRequest(request) => {
            streams::lookup::respond(context, socket, sender, &request);
        }
        Message::OriginAnswer(answer) => {
            streams::lookup::handle_answer(context, sender, answer);
        }
        Message::PartEvidence(evidence) => part_evidence::handle(context, evidence),
        Message::FingerprintKeyRequest(_) => fingerprint_key::answer(context, socket, sender),
        Message::FingerprintKeyAnswer(answer) => fingerprint_key::handle(context, &answer),
        Message::Usage(report) => context.usage.merge_report(report),
    }
}
