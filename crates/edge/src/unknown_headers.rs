//! Records platform headers that this version does not know, so that operators notice an extension
//! of the protocol.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Number of distinct names that are reported, each once. Further ones are only counted, so that a
/// sender that generates names cannot fill the log.
const MAX_NAMES: usize = 64;

/// Characters of a name that are kept; longer names are truncated.
const MAX_NAME_LENGTH: usize = 64;

/// Who sent a header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum HeaderSender {
    /// An engine.
    Engine,
    /// The key-value service.
    KeyValue,
}

/// All senders.
pub const HEADER_SENDERS: [HeaderSender; 2] = [HeaderSender::Engine, HeaderSender::KeyValue];

/// An unknown header. Its value is not kept.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnknownHeader {
    /// Who sent it.
    pub sender: HeaderSender,
    /// Its name, truncated if long.
    pub name: String,
}

#[derive(Debug, Default)]
struct Recorded {
    names: BTreeSet<UnknownHeader>,
    unreported: Vec<UnknownHeader>,
    counts: [u64; HEADER_SENDERS.len()],
}

/// The unknown headers that one process has received; clones share the record.
#[derive(Clone, Debug, Default)]
pub struct UnknownHeaders(Rc<RefCell<Recorded>>);

impl UnknownHeaders {
    /// Counts a header, and queues its name for [`Self::take_new`] if it is new.
    pub fn record(&self, sender: HeaderSender, name: &str) {
        let recorded = &mut *self.0.borrow_mut();
        recorded.counts[sender as usize] += 1;
        if recorded.names.len() >= MAX_NAMES {
            return;
        }
        let name: String = name.chars().take(MAX_NAME_LENGTH).collect();
        let header = UnknownHeader { sender, name };
        if recorded.names.insert(header.clone()) {
            recorded.unreported.push(header);
        }
    }

    /// Takes the headers recorded for the first time since the last call.
    pub fn take_new(&self) -> Vec<UnknownHeader> {
        std::mem::take(&mut self.0.borrow_mut().unreported)
    }

    /// Number of unknown headers received from `sender`.
    pub fn count(&self, sender: HeaderSender) -> u64 {
        self.0.borrow().counts[sender as usize]
    }
}
