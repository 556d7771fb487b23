//! Idle connections by engine, with a limit on those in use.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::{Deref, DerefMut};
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;

use crate::carried_calls::CallKey;
use crate::connection::Connection;
use crate::link::LinkTarget;
use crate::paths::Path;
use crate::rejections::Rejections;

/// Time for which an idle connection may be reused if the engine sent no keep-alive timeout.
const DEFAULT_KEEP_ALIVE: Duration = Duration::from_secs(4);

/// Time for which an idle connection through another node may be reused: such nodes are to be free of connections soon after
/// they are no longer needed.
const DETOUR_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection through another node is not reused at a greater age, so that one that stops is rid of them within its grace
/// period.
const DETOUR_MAX_AGE: Duration = Duration::from_secs(3);

/// Time after which an idle connection beyond the node's share is closed. Longer than the pauses between requests at an engine
/// that the node uses all the time.
const EXCESS_IDLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Connections of one engine.
#[derive(Default)]
struct EngineConnections {
    idle: Vec<Connection>,
    in_use: usize,
    rejections: Rejections,
}

impl EngineConnections {
    /// Closes idle connections beyond `share`, which keep out those of other nodes.
    fn close_excess(&mut self, share: usize, now: BootInstant) {
        let mut excess = (self.in_use + self.idle.len()).saturating_sub(share);
        self.idle.retain(|connection| {
            let is_closed = excess > 0 && now >= connection.idle_since + EXCESS_IDLE_TIMEOUT;
            excess -= usize::from(is_closed);
            !is_closed
        });
    }
}

/// Connections of all engines.
#[derive(Default)]
pub(crate) struct ConnectionPool {
    engines: RefCell<HashMap<LinkTarget, EngineConnections>>,
}

/// Counts as one connection in use to a target until dropped.
pub(crate) struct ConnectionSlot {
    pool: Rc<ConnectionPool>,
    target: LinkTarget,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut engines = self.pool.engines.borrow_mut();
        if let Some(engine) = engines.get_mut(&self.target) {
            engine.in_use = engine.in_use.saturating_sub(1);
        }
    }
}

/// A connection in use.
pub(crate) struct PooledConnection {
    connection: Connection,
    slot: ConnectionSlot,
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
    pub(crate) fn new(connection: Connection, slot: ConnectionSlot) -> Self {
        Self { connection, slot }
    }

    /// Closes the connection, which broke, and the idle ones through the same node.
    pub(crate) fn discard(self) {
        if let Path::Detour(carrier) = self.connection.path {
            self.slot.pool.discard_detours(carrier);
        }
    }

    /// Makes the connection available for the next exchange, unless it has carried as many calls as it may.
    pub(crate) fn return_to_pool(self) {
        let Self { connection, slot } = self;
        if connection.carried.is_full() {
            return;
        }
        let mut engines = slot.pool.engines.borrow_mut();
        let engine = engines.entry(slot.target.clone()).or_default();
        engine.idle.push(connection);
    }
}

impl ConnectionPool {
    /// The most recently used idle connection by a path that `is_usable` that has neither expired nor received anything, nor
    /// carried another call with the same key.
    pub(crate) fn take_idle(
        self: &Rc<Self>,
        target: &LinkTarget,
        call: Option<CallKey>,
        is_usable: impl Fn(Path) -> bool,
    ) -> Option<PooledConnection> {
        let now = BootInstant::now();
        let mut engines = self.engines.borrow_mut();
        let engine = engines.get_mut(target)?;
        let usable = |connection: &Connection| {
            let is_repeated = call.is_some_and(|call| connection.carried.contains(call));
            is_usable(connection.path) && !is_repeated
        };
        while let Some(index) = engine.idle.iter().rposition(usable) {
            let connection = engine.idle.remove(index);
            if is_unexpired(&connection, now) && connection.has_no_input() {
                engine.in_use += 1;
                drop(engines);
                let slot = ConnectionSlot {
                    pool: Rc::clone(self),
                    target: target.clone(),
                };
                return Some(PooledConnection { connection, slot });
            }
        }
        None
    }

    /// Closes an idle connection that has carried another call with the same key, if one more than those open would exceed this
    /// node's `share`.
    pub(crate) fn make_room(&self, target: &LinkTarget, call: CallKey, share: usize) {
        let mut engines = self.engines.borrow_mut();
        let Some(engine) = engines.get_mut(target) else {
            return;
        };
        let idle = &mut engine.idle;
        if engine.in_use + idle.len() < share {
            return;
        }
        if let Some(index) = idle.iter().position(|one| one.carried.contains(call)) {
            idle.remove(index);
        }
    }

    /// Like [`reserve_slot`](Self::reserve_slot), but fails also while the engine resets new connections.
    pub(crate) fn reserve_accepted_slot(
        self: &Rc<Self>,
        target: &LinkTarget,
        limit: usize,
    ) -> Result<ConnectionSlot, usize> {
        let slot = self.reserve_slot(target, limit)?;
        let now = BootInstant::now();
        if self.rejections(target, |rejections| rejections.begin_open(now)) {
            return Ok(slot);
        }
        drop(slot);
        Err(self.in_use(target))
    }

    /// Number of connections in use to a target.
    pub(crate) fn in_use(&self, target: &LinkTarget) -> usize {
        let engines = self.engines.borrow();
        engines.get(target).map_or(0, |engine| engine.in_use)
    }

    /// Whether a connection to a target is in use, or idle and not ended.
    pub(crate) fn is_connected(&self, target: &LinkTarget) -> bool {
        let engines = self.engines.borrow();
        engines.get(target).is_some_and(|engine| {
            engine.in_use > 0 || engine.idle.iter().any(|one| one.has_no_input())
        })
    }

    /// Closes the idle connections to a target if it has ended the most recently used one before its keep-alive time;
    /// returns whether it has.
    pub(crate) fn close_ended(&self, target: &LinkTarget) -> bool {
        let now = BootInstant::now();
        let mut engines = self.engines.borrow_mut();
        let Some(engine) = engines.get_mut(target) else {
            return false;
        };
        let last = engine.idle.last();
        let has_ended = last.is_some_and(|last| is_unexpired(last, now) && !last.has_no_input());
        if has_ended {
            engine.idle.clear();
        }
        has_ended
    }

    /// Calls `access` with the resets of new connections by a target.
    pub(crate) fn rejections<T>(
        &self,
        target: &LinkTarget,
        access: impl FnOnce(&mut Rejections) -> T,
    ) -> T {
        let mut engines = self.engines.borrow_mut();
        let engine = engines.entry(target.clone()).or_default();
        access(&mut engine.rejections)
    }

    /// Reserves a slot for a new connection; fails with the number in use if that is `limit` or more.
    pub(crate) fn reserve_slot(
        self: &Rc<Self>,
        target: &LinkTarget,
        limit: usize,
    ) -> Result<ConnectionSlot, usize> {
        let mut engines = self.engines.borrow_mut();
        let engine = engines.entry(target.clone()).or_default();
        if engine.in_use >= limit {
            return Err(engine.in_use);
        }
        engine.in_use += 1;
        Ok(ConnectionSlot {
            pool: Rc::clone(self),
            target: target.clone(),
        })
    }

    /// Closes idle connections through the node at `carrier`: one of them broke, and the others may have too.
    pub(crate) fn discard_detours(&self, carrier: SocketAddr) {
        for engine in self.engines.borrow_mut().values_mut() {
            engine
                .idle
                .retain(|connection| connection.path != Path::Detour(carrier));
        }
    }

    /// Closes idle connections that have expired, those beyond this node's `share` of a target's connections that have been idle
    /// for a moment, and those to targets without a share.
    pub(crate) fn sweep(&self, share: impl Fn(&LinkTarget) -> Option<usize>) {
        let now = BootInstant::now();
        let mut engines = self.engines.borrow_mut();
        engines.retain(|target, engine| {
            let share = share(target);
            let is_wanted = share.is_some();
            engine
                .idle
                .retain(|connection| is_wanted && is_unexpired(connection, now));
            engine.close_excess(share.unwrap_or_default(), now);
            engine.in_use > 0
                || !engine.idle.is_empty()
                || (is_wanted && engine.rejections.is_contended(now))
        });
    }
}

fn is_unexpired(connection: &Connection, now: BootInstant) -> bool {
    if !connection.path.is_direct()
        && (now >= connection.opened_at + DETOUR_MAX_AGE
            || now >= connection.idle_since + DETOUR_IDLE_TIMEOUT)
    {
        return false;
    }
    let limit = connection
        .keep_alive_until
        .unwrap_or(connection.idle_since + DEFAULT_KEEP_ALIVE);
    now < limit
}
