//! Takes in what other nodes send, one module a kind of message.

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
use crate::fleet::engine_entries;
use crate::permits::{grants, requester};
use crate::spread::datagram::kind_label;
use crate::spread::engine_notices;
use crate::spread::recent_changes::ChangeSource;
use crate::spread::sums;

/// Longest datagram there is: one that were cut would be unreadable, and a relay whose tables are
/// unreadable counts as lost.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Pause after the socket failed.
const FAILURE_PAUSE: Duration = Duration::from_millis(100);

/// Takes in messages for as long as it is polled.
pub(crate) async fn receive_state(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (length, sender) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log_event!(context.logger, Event::ListenFailed, "address" => "peers",
                    "error" => %error);
                actix_rt::time::sleep(FAILURE_PAUSE).await;
                continue;
            }
        };
        match rmp_serde::from_slice::<(u8, Message)>(&buffer[..length]) {
            Ok((MESSAGE_VERSION, message)) => {
                let kind = kind_label(&message);
                context.metrics.datagram(kind, "received", length);
                take(&context, &socket, sender, message);
            }
            // Of another version, damaged, or from a stranger.
            Ok(_) | Err(_) => context.metrics.datagram("unknown", "unreadable", length),
        }
    }
}

fn take(context: &Context, socket: &UdpSocket, sender: SocketAddr, message: Message) {
    match message {
        Message::Report(report) => report::take(context, sender, report),
        Message::Exchange(exchange) => exchange::take(context, socket, sender, exchange),
        Message::Table(table) => table::take(context, socket, sender, table),
        Message::News(batch) => news::pass_to_members(context, batch.news),
        Message::Loads(message) => loads::take_message(context, message),
        Message::Changes(records) => {
            engine_entries::take(context, records, ChangeSource::Relay);
        }
        Message::PartsRequest(_) => news::note_parts_request(context, sender),
        Message::EntriesRequest(request) => entries::send(context, sender, request),
        Message::Entries(page) => entries::take_page(context, page),
        Message::DeclarationRequest(request) => {
            declaration::send(context, sender, &request);
        }
        Message::Declaration(part) => declaration::take(context, part),
        Message::Engines(notices) => engine_notices::take(context, &notices),
        Message::Limits(limits) => engine_notices::take_limits(context, &limits),
        Message::PermitRequest(request) => grants::respond(context, socket, sender, &request),
        Message::PermitAnswer(answer) => requester::handle_answer(context, answer),
        Message::Sums(sums) => sums::take(context, sums),
        Message::Usage(report) => context.usage.take_report(report),
    }
}
