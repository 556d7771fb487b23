//! Long answers to nodes that asked, sent at the pace of this node's link.
//!
//! After a start fifty members ask their relay for all entries at once. What is sent faster than the link
//! carries is lost, and with it the tables and changes that are sent meanwhile: in a storm of declarations,
//! members of a fleet of 986 nodes heard of engines that leave more than five seconds late.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::dissemination::datagram::Datagram;

/// Datagrams that wait at most: 9 MB, which a link of 200 Mbit/s carries at half its speed in 0.7 s. What is
/// beyond is asked for again.
const MOST_WAITING: usize = 8_192;

/// What waits for one node.
struct Answer {
    address: SocketAddr,
    datagrams: VecDeque<Rc<Datagram>>,
}

/// Datagrams that wait to be sent, to each node by turns: after a start the first page that a member gets
/// lets it serve, and the last makes little difference.
#[derive(Default)]
pub(crate) struct BulkQueue {
    answers: RefCell<VecDeque<Answer>>,
    waiting: Cell<usize>,
    pub(super) added: Notify,
    dropped: Cell<u64>,
}

impl BulkQueue {
    /// Adds a datagram; one for which there is no room is dropped and counted.
    pub(super) fn push(&self, address: SocketAddr, datagram: Rc<Datagram>) {
        if self.waiting.get() >= MOST_WAITING {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        self.waiting.set(self.waiting.get() + 1);
        let mut answers = self.answers.borrow_mut();
        match answers.iter_mut().find(|answer| answer.address == address) {
            Some(answer) => answer.datagrams.push_back(datagram),
            None => answers.push_back(Answer {
                address,
                datagrams: VecDeque::from([datagram]),
            }),
        }
        self.added.notify_one();
    }

    /// Whether anything waits for a node: what it asks for again is on its way.
    pub(super) fn has(&self, address: SocketAddr) -> bool {
        let answers = self.answers.borrow();
        answers.iter().any(|answer| answer.address == address)
    }

    /// The next datagram, with its node.
    pub(super) fn pop(&self) -> Option<(SocketAddr, Rc<Datagram>)> {
        let mut answers = self.answers.borrow_mut();
        let mut answer = answers.pop_front()?;
        let next = answer.datagrams.pop_front()?;
        let address = answer.address;
        if !answer.datagrams.is_empty() {
            answers.push_back(answer);
        }
        self.waiting.set(self.waiting.get() - 1);
        Some((address, next))
    }

    /// Number of datagrams that were dropped since this was last asked.
    pub(super) fn take_dropped(&self) -> u64 {
        self.dropped.take()
    }
}
