//! Headers of the platform's kind that nothing here knows: it has begun to say something new.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Names that are told, each once: a sender that makes names up must not fill the log. Further ones are counted.
const MOST_NAMES: usize = 64;

/// Longest part of a name that is told, in bytes.
const LONGEST_NAME: usize = 64;

/// Who sent a header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum UnknownSender {
    /// An engine.
    Engine,
    /// The key-value service.
    KeyValue,
}

/// Senders.
pub const UNKNOWN_SENDERS: [UnknownSender; 2] = [UnknownSender::Engine, UnknownSender::KeyValue];

/// A header that was seen for the first time. Values are never kept.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnknownHeader {
    /// Who sent it.
    pub sender: UnknownSender,
    /// Its name, cut where it is long.
    pub name: String,
}

#[derive(Debug, Default)]
struct Noted {
    names: BTreeSet<UnknownHeader>,
    untold: Vec<UnknownHeader>,
    seen: [u64; UNKNOWN_SENDERS.len()],
}

/// Unknown headers of one process; clones share them.
#[derive(Clone, Debug, Default)]
pub struct UnknownHeaders(Rc<RefCell<Noted>>);

impl UnknownHeaders {
    /// Notes a header.
    pub fn record(&self, sender: UnknownSender, name: &str) {
        let noted = &mut *self.0.borrow_mut();
        noted.seen[sender as usize] += 1;
        if noted.names.len() >= MOST_NAMES {
            return;
        }
        let name: String = name.chars().take(LONGEST_NAME).collect();
        let header = UnknownHeader { sender, name };
        if noted.names.insert(header.clone()) {
            noted.untold.push(header);
        }
    }

    /// Those that were noted for the first time since this was last asked.
    pub fn take_new(&self) -> Vec<UnknownHeader> {
        std::mem::take(&mut self.0.borrow_mut().untold)
    }

    /// How often unknown headers of a sender were seen.
    pub fn count(&self, sender: UnknownSender) -> u64 {
        self.0.borrow().seen[sender as usize]
    }
}
