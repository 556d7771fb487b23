//! The open connections of a server, and which of them ends when one too many arrives.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Instant;

use crate::intake::Intake;

/// The connections of one accept loop. Clones share them.
#[derive(Clone, Default)]
pub(crate) struct OpenConnections(Rc<RefCell<Table>>);

#[derive(Default)]
struct Table {
    next: u64,
    connections: BTreeMap<u64, Intake>,
}

/// An open connection, until dropped.
pub(crate) struct OpenConnection {
    table: OpenConnections,
    number: u64,
}

impl OpenConnections {
    /// Adds a connection.
    pub(crate) fn add(&self, intake: Intake) -> OpenConnection {
        let mut table = self.0.borrow_mut();
        table.next += 1;
        let number = table.next;
        table.connections.insert(number, intake);
        OpenConnection {
            table: self.clone(),
            number,
        }
    }

    /// Ends the connection that is delayed most; returns whether there was one.
    pub(crate) fn displace_one(&self) -> bool {
        let now = Instant::now();
        let table = self.0.borrow();
        let delayed = table.connections.values();
        let delayed = delayed.filter_map(|intake| Some((intake.delay(now)?, intake)));
        let most = delayed.max_by_key(|(delay, _)| *delay);
        if let Some((_, intake)) = most {
            intake.displace();
        }
        most.is_some()
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut table = self.table.0.borrow_mut();
        table.connections.remove(&self.number);
    }
}
