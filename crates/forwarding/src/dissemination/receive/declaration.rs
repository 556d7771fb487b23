//! Transfer of the declaration between nodes.

use std::net::SocketAddr;
use std::rc::Rc;

use dalestand_dissemination::{DeclarationPart, DeclarationRequest, Message, declaration_parts};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::datagram::{self, AnswerPart};
use crate::dissemination::transmit::{encode, send as send_message};
use crate::fleet::declaration;

/// Requests a relay's active declaration if it is newer than this node's.
pub(super) fn request_if_newer(
    context: &Context,
    socket: &UdpSocket,
    relay: SocketAddr,
    revision: u64,
) {
    let own = context.table().map_or(0, |table| table.revision().0);
    let now = context.now();
    let request = {
        let mut sync = context.dissemination.declaration_sync.borrow_mut();
        sync.next_request(now, context.dissemination.node, own, revision)
    };
    if let Some(request) = request {
        let message = Message::DeclarationRequest(request);
        let sent_bytes = send_message(context, socket, &[relay], &message);
        context.record_sent_bytes(sent_bytes);
    }
}

/// Sends the active declaration to a node, unless it is too long to be sent.
pub(super) fn send(context: &Context, requester: SocketAddr, request: &DeclarationRequest) {
    if context
        .dissemination
        .bulk
        .has_pending(requester, datagram::DECLARATION)
    {
        return;
    }
    let Some(in_force) = context.dissemination.declaration.borrow().clone() else {
        return;
    };
    for part in declaration_parts(in_force.revision, &in_force.text, request) {
        if let Some(datagram) = encode(context, &Message::Declaration(part)) {
            context
                .dissemination
                .bulk
                .push(requester, AnswerPart::Fixed(Rc::new(datagram)));
        }
    }
}

/// Adds a received part; applies the declaration once it is complete.
pub(super) fn handle(context: &Context, part: DeclarationPart) {
    let whole = context
        .dissemination
        .declaration_sync
        .borrow_mut()
        .add_part(part);
    if let Some(text) = whole {
        declaration::apply(context, &text);
    }
}
