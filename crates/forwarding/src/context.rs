//! What all requests of a node share. One thread serves a node, so plain cells do.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use dalestand_edge::routed::{Dialect, EngineEntry, FleetForm};
use dalestand_engine_link::{EngineLink, LinkLimits};
use dalestand_routes::{RouteTable, SplitPicker};
use dalestand_routing::SharedRetryBudget;
use dalestand_routing::staged::{EngineKey, LinkQueue, StagedRouter};
use dalestand_types::{MonotonicTime, PoolName};
use slog::Logger;
use tokio::sync::Notify;

use crate::counts::InFlight;
use crate::demand::DemandMeter;
use crate::fleet::Fleet;
use crate::metrics::ForwardingMetrics;
use crate::placements::Placements;
use crate::settings::ForwardingSettings;

/// A node has at least this many connections to each engine, however many nodes there are.
const MIN_CONNECTIONS: usize = 8;

/// State of one node.
pub(crate) struct Context {
    pub(crate) settings: ForwardingSettings,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) form: Rc<dyn FleetForm>,
    pub(crate) link: EngineLink,
    pub(crate) logger: Logger,
    pub(crate) in_flight: InFlight,
    pub(crate) router: RefCell<StagedRouter>,
    /// What this node's link has not yet carried.
    pub(crate) uplink: RefCell<LinkQueue>,
    pub(crate) budget: RefCell<SharedRetryBudget>,
    pub(crate) splits: RefCell<SplitPicker>,
    /// Rung when this node's work at an engine has changed.
    pub(crate) work_changed: Notify,
    /// Parts sent to engines that peers have not been told of.
    pub(crate) placements: RefCell<Placements>,
    /// Prompt tokens asked for.
    pub(crate) demand: RefCell<DemandMeter>,
    /// Engines to be avoided that peers have not been told of.
    pub(crate) avoided: RefCell<Vec<(EngineKey, Duration)>>,
    pub(crate) metrics: ForwardingMetrics,
    started: Instant,
    table: RefCell<Option<Rc<RouteTable>>>,
    entries: RefCell<HashMap<String, EngineEntry>>,
    fleet: RefCell<Rc<Fleet>>,
    stopping: Cell<bool>,
    asks_peers: Cell<bool>,
    nodes: Cell<usize>,
}

impl Context {
    pub(crate) fn new(
        settings: ForwardingSettings,
        dialect: Rc<dyn Dialect>,
        form: Rc<dyn FleetForm>,
        logger: Logger,
        metrics: ForwardingMetrics,
    ) -> Self {
        Self {
            metrics,
            dialect,
            form,
            link: EngineLink::new(LinkLimits::default()),
            logger,
            in_flight: InFlight::default(),
            router: RefCell::default(),
            uplink: RefCell::default(),
            budget: RefCell::new(retry_budget(&settings)),
            splits: RefCell::default(),
            work_changed: Notify::new(),
            placements: RefCell::default(),
            demand: RefCell::default(),
            avoided: RefCell::default(),
            started: Instant::now(),
            table: RefCell::default(),
            entries: RefCell::default(),
            fleet: RefCell::default(),
            stopping: Cell::new(false),
            asks_peers: Cell::new(false),
            nodes: Cell::new(1),
            settings,
        }
    }

    /// Time since the start.
    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started.elapsed().as_micros() as u64)
    }

    /// The routes in force.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Brings a declaration into force, unless a newer one is. Yields whether it is now in force.
    pub(crate) fn set_table(&self, table: RouteTable) -> bool {
        let known = self.table.borrow().as_ref().map(|table| table.revision());
        if known.is_some_and(|known| table.revision() <= known) {
            return false;
        }
        self.table.replace(Some(Rc::new(table)));
        self.rebuild_fleet();
        true
    }

    /// Tokens that an engine's memory holds; 0 if the engine is not known.
    pub(crate) fn memory_tokens(&self, engine: EngineKey) -> u64 {
        let fleet = self.fleet.borrow();
        fleet.memory_tokens(engine)
    }

    /// The engines that take new work.
    pub(crate) fn fleet(&self) -> Rc<Fleet> {
        Rc::clone(&self.fleet.borrow())
    }

    /// The entry of an engine that is known under `key`.
    pub(crate) fn entry(&self, key: &str) -> Option<EngineEntry> {
        self.entries.borrow().get(key).cloned()
    }

    /// Replaces all entries of engines.
    pub(crate) fn set_entries(&self, entries: HashMap<String, EngineEntry>) {
        self.entries.replace(entries);
        self.rebuild_fleet();
    }

    /// Notes one entry, or its end.
    pub(crate) fn set_entry(&self, key: String, entry: Option<EngineEntry>) {
        {
            let mut entries = self.entries.borrow_mut();
            match entry {
                Some(entry) => entries.insert(key, entry),
                None => entries.remove(&key),
            };
        }
        self.rebuild_fleet();
    }

    fn rebuild_fleet(&self) {
        let table = self.table();
        let entries = self.entries.borrow();
        let fleet = Fleet::new(entries.values(), table.as_deref());
        // What is known of an engine that drains may still be asked for.
        let listed = |key: EngineKey| {
            entries
                .values()
                .any(|entry| EngineKey::of(&entry.run) == key)
        };
        self.router.borrow_mut().retain(listed);
        self.fleet.replace(Rc::new(fleet));
    }

    /// Notes bytes that are written to this node's link.
    pub(crate) fn sent(&self, bytes: usize) {
        let time = self.settings.link_time(bytes);
        self.uplink.borrow_mut().sent(self.now(), time);
    }

    /// Avoids an engine for some time, here and at the peers.
    pub(crate) fn avoid(&self, engine: EngineKey, time: Duration) {
        let until = self.now() + time;
        self.router.borrow_mut().health.avoid_until(engine, until);
        self.avoided.borrow_mut().push((engine, time));
        self.work_changed.notify_one();
    }

    /// Has peers tell what they know of kept parts.
    pub(crate) fn ask_peers(&self) {
        self.asks_peers.set(true);
        self.work_changed.notify_one();
    }

    /// Whether peers are to be asked; the question is put once.
    pub(crate) fn take_question(&self) -> bool {
        self.asks_peers.replace(false)
    }

    /// Whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    /// Begins a planned stop.
    pub(crate) fn begin_stop(&self) {
        self.stopping.set(true);
    }

    /// Whether callers are to be sent here.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.table.borrow().is_some() && !self.fleet.borrow().is_empty()
    }

    /// Notes how many nodes there are, this one among them.
    pub(crate) fn set_nodes(&self, nodes: usize) {
        self.nodes.set(nodes.max(1));
        self.budget.borrow_mut().set_nodes(nodes);
    }

    /// Nodes known, this one among them.
    pub(crate) fn node_count(&self) -> usize {
        self.nodes.get()
    }

    /// Connections that this node may have to one engine of the pool.
    pub(crate) fn max_connections(&self, pool: &PoolName) -> usize {
        let table = self.table.borrow();
        let terms = table.as_ref().and_then(|table| table.pool(pool).cloned());
        let all = terms.map_or(MIN_CONNECTIONS, |terms| terms.max_connections as usize);
        (all / self.nodes.get()).max(MIN_CONNECTIONS)
    }
}

/// The budget of a node that starts now.
fn retry_budget(settings: &ForwardingSettings) -> SharedRetryBudget {
    let mut budget = SharedRetryBudget::new(settings.retry_terms());
    if settings.retries.former_life {
        budget.restarted(MonotonicTime::ZERO);
    }
    budget
}
