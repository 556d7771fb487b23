//! Kept connections of each engine, within a bound on all that are open.

use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;

use crate::connection::Connection;
use crate::link::LinkTarget;

/// For how long an idle connection is kept where the engine does not tell.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Connections of one engine.
#[derive(Default)]
struct EngineConnections {
    idle: Vec<Connection>,
    open: usize,
}

/// Connections of all engines.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    engines: RefCell<HashMap<LinkTarget, EngineConnections>>,
}

/// A place among the open connections of an engine, until dropped.
pub(crate) struct Place {
    pool: Rc<ConnectionPool>,
    target: LinkTarget,
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut engines = self.pool.engines.borrow_mut();
        if let Some(engine) = engines.get_mut(&self.target) {
            engine.open = engine.open.saturating_sub(1);
        }
    }
}

/// A connection in use.
pub(crate) struct PooledConnection {
    connection: Connection,
    place: Place,
}

impl Deref for PooledConnection {
    type Target = Connection;

    fn deref(&self) -> &Connection {
        &self.connection
    }
}

impl DerefMut for PooledConnection {
    fn deref_mut(&mut self) -> &mut Connection {
        &mut self.connection
    }
}

impl PooledConnection {
    pub(crate) fn new(connection: Connection, place: Place) -> Self {
        Self { connection, place }
    }

    /// Puts the connection back for the next exchange.
    pub(crate) fn keep(self) {
        let Self { connection, place } = self;
        let mut engines = place.pool.engines.borrow_mut();
        let engine = engines.entry(place.target.clone()).or_default();
        engine.idle.push(connection);
    }
}

impl ConnectionPool {
    /// The idle connection used last, if the engine is still there on it.
    pub(crate) fn take_idle(self: &Rc<Self>, target: &LinkTarget) -> Option<PooledConnection> {
        let now = BootInstant::now();
        let mut engines = self.engines.borrow_mut();
        let engine = engines.get_mut(target)?;
        while let Some(connection) = engine.idle.pop() {
            if is_kept(&connection, now) && connection.is_quiet() {
                engine.open += 1;
                drop(engines);
                let place = Place {
                    pool: Rc::clone(self),
                    target: target.clone(),
                };
                return Some(PooledConnection { connection, place });
            }
        }
        None
    }

    /// A place for a new connection; the number in use if it is `limit` or more.
    pub(crate) fn take_place(
        self: &Rc<Self>,
        target: &LinkTarget,
        limit: usize,
    ) -> Result<Place, usize> {
        let mut engines = self.engines.borrow_mut();
        let engine = engines.entry(target.clone()).or_default();
        if engine.open >= limit {
            return Err(engine.open);
        }
        engine.open += 1;
        Ok(Place {
            pool: Rc::clone(self),
            target: target.clone(),
        })
    }

    /// Closes what was idle for too long, and forgets engines that `keep` does not name.
    pub(crate) fn sweep(&self, keep: impl Fn(&LinkTarget) -> bool) {
        let now = BootInstant::now();
        let mut engines = self.engines.borrow_mut();
        for (target, engine) in engines.iter_mut() {
            let known = keep(target);
            engine
                .idle
                .retain(|connection| known && is_kept(connection, now));
        }
        engines.retain(|_, engine| engine.open > 0 || !engine.idle.is_empty());
    }
}

fn is_kept(connection: &Connection, now: BootInstant) -> bool {
    let limit = connection
        .kept_until
        .unwrap_or(connection.idle_since + IDLE_LIMIT);
    now < limit
}
