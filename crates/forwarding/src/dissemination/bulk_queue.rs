//! Queue of long answers to requesting nodes, sent at the pace of this node's link.
//!
//! After a start all members of a relay request all entries at once. Sending the answers faster than
//! the link carries them would lose datagrams, including the tables and changes sent meanwhile. Answers of different kinds
//! to one node do not wait for each other: the known prompt parts take seconds, and an engine that drains must be known
//! before.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;

use tokio::sync::Notify;

use crate::dissemination::datagram::AnswerPart;

/// Limit on queued datagrams: 9 MB, which takes 0.7 s at half the speed of a link of 200 Mbit/s.
/// Answers that were dropped are requested again.
const MAX_QUEUED_DATAGRAMS: usize = 8_192;

/// Queued datagrams of one kind for one node.
struct Answer {
    address: SocketAddr,
    /// Label of the datagrams.
    kind: &'static str,
    parts: VecDeque<AnswerPart>,
}

impl Answer {
    fn is(&self, address: SocketAddr, kind: &str) -> bool {
        self.address == address && self.kind == kind
    }
}

/// Queued datagrams, sent to the nodes in round-robin order, a turn for each kind: after a start the first page lets a
/// member serve requests, later ones matter less.
#[derive(Default)]
pub(crate) struct BulkQueue {
    answers: RefCell<VecDeque<Answer>>,
    pending: Cell<usize>,
    pub(super) added: Notify,
    dropped: Cell<u64>,
}

impl BulkQueue {
    /// Adds a datagram; drops and counts it if the queue is full.
    pub(super) fn push(&self, address: SocketAddr, part: AnswerPart) {
        if self.pending.get() >= MAX_QUEUED_DATAGRAMS {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        self.pending.set(self.pending.get() + 1);
        let mut answers = self.answers.borrow_mut();
        let kind = part.kind();
        match answers.iter_mut().find(|answer| answer.is(address, kind)) {
            Some(answer) => answer.parts.push_back(part),
            None => answers.push_back(Answer {
                address,
                kind,
                parts: VecDeque::from([part]),
            }),
        }
        self.added.notify_one();
    }

    /// Whether datagrams of a kind are queued for a node, so that a repeated request can be ignored.
    pub(super) fn has_pending(&self, address: SocketAddr, kind: &str) -> bool {
        let answers = self.answers.borrow();
        answers.iter().any(|answer| answer.is(address, kind))
    }

    /// The next part, with its recipient.
    pub(super) fn pop(&self) -> Option<(SocketAddr, AnswerPart)> {
        let mut answers = self.answers.borrow_mut();
        let mut answer = answers.pop_front()?;
        let next = answer.parts.pop_front()?;
        let address = answer.address;
        if !answer.parts.is_empty() {
            answers.push_back(answer);
        }
        self.pending.set(self.pending.get() - 1);
        Some((address, next))
    }

    /// Number of datagrams dropped since the last call.
    pub(super) fn take_dropped(&self) -> u64 {
        self.dropped.take()
    }
}
