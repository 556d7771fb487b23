//! What all requests of a node share. One thread serves a node, so plain cells do.

use std::cell::{Cell, Ref, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_dissemination::NodeNumber;
use dalestand_edge::duty_calls::EngineTenure;
use dalestand_edge::routed::{Dialect, EngineEntry, FleetForm};
use dalestand_edge::unknown_headers::UnknownHeaders;
use dalestand_engine_link::{EngineLink, LinkLimits};
use dalestand_planner::{ScalingDecision, ZoneEngines};
use dalestand_routes::{RouteTable, WeightedRoundRobin};
use dalestand_routing::staged::{EngineKey, LinkQueue, StagedRouter};
use dalestand_routing::{NodeCount, SharedRetryBudget};
use dalestand_types::{MonotonicTime, PoolName, ZoneName};
use rand::RngExt as _;
use slog::Logger;
use tokio::sync::{Notify, watch};

use crate::dissemination::Dissemination;
use crate::duties::usage_counts::UsageCounts;
use crate::fleet::engines::Fleet;
use crate::fleet::placements::Placements;
use crate::fleet_sums::FleetSums;
use crate::node::counts::InFlight;
use crate::node::metrics::ForwardingMetrics;
use crate::node::settings::ForwardingSettings;
use crate::permits::state::PermitState;
use crate::quarantine::state::QuarantineState;
use crate::roles::authority::Authority;
use crate::roles::demand::DemandMeter;
use crate::serve::class_counts::ClassCounts;
use crate::serve::held_bytes::HeldBytes;
use crate::serve::pool_admissions::PoolAdmissions;
use crate::serve::tenant_shares::TenantShares;

/// A node has at least this many connections to each engine, however many nodes there are.
const MIN_CONNECTIONS: usize = 8;

/// What a node is made of beside its settings.
pub(crate) struct ContextParts {
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) form: Rc<dyn FleetForm>,
    pub(crate) unknown_headers: UnknownHeaders,
    pub(crate) logger: Logger,
    pub(crate) metrics: ForwardingMetrics,
}

/// State of one node.
pub(crate) struct Context {
    pub(crate) settings: ForwardingSettings,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) form: Rc<dyn FleetForm>,
    /// Headers that nothing here knows.
    pub(crate) unknown_headers: UnknownHeaders,
    pub(crate) link: EngineLink,
    pub(crate) logger: Logger,
    pub(crate) in_flight: InFlight,
    /// Whole answers that callers have not read yet.
    pub(crate) held_bytes: HeldBytes,
    pub(crate) router: RefCell<StagedRouter>,
    /// What this node's link has not yet carried.
    pub(crate) uplink: RefCell<LinkQueue>,
    pub(crate) budget: RefCell<SharedRetryBudget>,
    pub(crate) splits: RefCell<WeightedRoundRobin>,
    /// Rung when this node's work at an engine has changed.
    pub(crate) work_changed: Notify,
    /// Fleet-wide state that nodes pass on to each other.
    pub(crate) dissemination: Dissemination,
    /// Parts sent to engines that other nodes have not heard of.
    pub(crate) placements: RefCell<Placements>,
    /// Leave to send requests to engines that take only so many.
    pub(crate) permits: PermitState,
    /// Whether this node acts for all.
    pub(crate) authority: Authority,
    /// Requests by tenant.
    pub(crate) usage: UsageCounts,
    /// Prompt tokens asked for.
    pub(crate) demand: RefCell<DemandMeter>,
    /// Engines that change their roles of which other nodes have not heard.
    pub(crate) role_changes: RefCell<Vec<(EngineKey, Duration)>>,
    /// Requests of this node by pool and priority.
    pub(crate) classes: Rc<ClassCounts>,
    /// Requests of this node by tenant, and the shares of tenants.
    pub(crate) tenant_shares: Rc<TenantShares>,
    /// Who waits for a place in a pool that is short.
    pub(crate) admissions: PoolAdmissions,
    /// Figures that add up over all nodes.
    pub(crate) sums: FleetSums,
    /// What was weighed when engines were last ordered, by pool; empty unless this node orders them.
    pub(crate) scaling_accounts: RefCell<BTreeMap<PoolName, ScalingDecision>>,
    /// Requests that end engines.
    pub(crate) quarantine: QuarantineState,
    pub(crate) metrics: ForwardingMetrics,
    /// The era of the key-value service; changes when it was restored.
    pub(crate) store_era: watch::Sender<u64>,
    started: BootInstant,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// When the declaration was last known to stand.
    declaration_confirmed_at: Cell<BootInstant>,
    entries: RefCell<HashMap<String, EngineEntry>>,
    fleet: RefCell<Fleet>,
    stopping: Cell<bool>,
    asks_for_parts: Cell<bool>,
    nodes: RefCell<NodeCount>,
}

impl Context {
    pub(crate) fn new(settings: ForwardingSettings, parts: ContextParts) -> Self {
        let ContextParts {
            dialect,
            form,
            unknown_headers,
            logger,
            metrics,
        } = parts;
        Self {
            metrics,
            dialect,
            form,
            unknown_headers,
            link: EngineLink::new(LinkLimits::default()),
            logger,
            in_flight: InFlight::default(),
            held_bytes: HeldBytes::default(),
            router: RefCell::new(StagedRouter::seeded(rand::rng().random())),
            uplink: RefCell::default(),
            budget: RefCell::new(retry_budget(&settings)),
            splits: RefCell::default(),
            work_changed: Notify::new(),
            dissemination: Dissemination::new(&settings),
            permits: PermitState::default(),
            authority: Authority::default(),
            usage: UsageCounts::new(NodeNumber::of(settings.node.as_str()), settings.usage()),
            placements: RefCell::default(),
            demand: RefCell::default(),
            role_changes: RefCell::default(),
            classes: Rc::default(),
            tenant_shares: Rc::default(),
            admissions: PoolAdmissions::default(),
            sums: FleetSums::default(),
            scaling_accounts: RefCell::default(),
            quarantine: QuarantineState::default(),
            store_era: watch::Sender::new(0),
            started: BootInstant::now(),
            table: RefCell::default(),
            declaration_confirmed_at: Cell::new(BootInstant::now()),
            entries: RefCell::default(),
            fleet: RefCell::default(),
            stopping: Cell::new(false),
            asks_for_parts: Cell::new(false),
            nodes: RefCell::default(),
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

    /// Notes that the declaration in force stood at a time.
    pub(crate) fn declaration_confirmed(&self, at: BootInstant) {
        self.declaration_confirmed_at.set(at);
    }

    /// Whether keys may be judged by the declaration in force. Where the settings ask for it, a node
    /// that cannot confirm the declaration refuses keys: one of them may have been taken away.
    pub(crate) fn keys_hold(&self) -> bool {
        let unconfirmed = self.declaration_confirmed_at.get().elapsed();
        let holds = self.settings.declaration_holds();
        holds.is_none_or(|holds| unconfirmed <= holds)
    }

    /// Brings a declaration into force, unless a newer one is. Yields whether it is now in force.
    pub(crate) fn set_table(&self, table: RouteTable) -> bool {
        let known = self.table.borrow().as_ref().map(|table| table.revision());
        if known.is_some_and(|known| table.revision() <= known) {
            return false;
        }
        let former = self.table.replace(Some(Rc::new(table)));
        let terms_changed = former.is_none_or(|former| {
            let table = self.table.borrow();
            !table
                .as_ref()
                .is_some_and(|table| table.has_same_pools(&former))
        });
        // Most declarations change routes only.
        if terms_changed {
            self.rebuild_fleet();
        }
        true
    }

    /// The engines that take new work. Not to be held while anything is awaited: they change.
    pub(crate) fn fleet(&self) -> Ref<'_, Fleet> {
        self.fleet.borrow()
    }

    /// The entry of an engine that is known under `key`. What the engine said in an answer counts.
    pub(crate) fn entry(&self, key: &str) -> Option<EngineEntry> {
        let mut entry = self.entries.borrow().get(key).cloned()?;
        entry.accepting &= !self.drains(EngineKey::of(&entry.run));
        Some(entry)
    }

    /// Whether the engine's run has said in an answer that it drains.
    fn drains(&self, engine: EngineKey) -> bool {
        self.router.borrow().signals.is_draining(engine)
    }

    /// When the engine started, as its entry or another node told.
    fn born(&self, engine: EngineKey) -> Option<u64> {
        let born = self.router.borrow().signals.started_at_ms(engine);
        Some(born).filter(|born| *born > 0)
    }

    /// Takes an engine out that has said that it drains; whether that is news here.
    pub(crate) fn engine_drains(&self, engine: EngineKey) -> bool {
        let is_news = self.router.borrow_mut().signals.record_draining(engine);
        is_news && self.fleet.borrow_mut().drain(engine)
    }

    /// Forgets all that was known of an engine but where it is: it has started again.
    pub(crate) fn engine_restarted(&self, engine: EngineKey) {
        self.router.borrow_mut().forget_engine(engine);
        let born = self.born(engine);
        self.fleet.borrow_mut().set_started_at_ms(engine, born);
        if !self.fleet().draining().any(|draining| draining == engine) {
            return;
        }
        let entries = self.entries.borrow();
        let mut known = entries.values();
        if let Some(entry) = known.find(|entry| EngineKey::of(&entry.run) == engine) {
            let table = self.table();
            let entry = EngineEntry {
                born,
                ..entry.clone()
            };
            let mut fleet = self.fleet.borrow_mut();
            fleet.set(&entry, table.as_deref(), |engine| self.drains(engine));
        }
    }

    /// Notes entries of engines by their keys, or that they are gone.
    pub(crate) fn change_entries(&self, changes: Vec<(String, Option<EngineEntry>)>) {
        let table = self.table();
        let mut fleet = self.fleet.borrow_mut();
        let mut entries = self.entries.borrow_mut();
        let mut gone = HashSet::new();
        for (key, entry) in changes {
            let former = entries.remove(&key);
            if let (Some(former), Some(entry)) = (&former, &entry)
                && former.role != entry.role
            {
                let engine = EngineKey::of(&entry.run);
                self.router.borrow_mut().health.end_role_change(engine);
            }
            if let Some(former) = &former {
                fleet.remove(former);
                gone.insert(EngineKey::of(&former.run));
            }
            if let Some(mut entry) = entry {
                entry.born = self.born(EngineKey::of(&entry.run));
                fleet.set(&entry, table.as_deref(), |engine| self.drains(engine));
                gone.remove(&EngineKey::of(&entry.run));
                entries.insert(key, entry);
            }
        }
        let mut router = self.router.borrow_mut();
        for engine in gone {
            router.forget_engine(engine);
        }
    }

    /// Engines of a pool that take new work, by zone.
    pub(crate) fn zone_engines(&self, pool: &PoolName) -> BTreeMap<ZoneName, ZoneEngines> {
        let mut zones: BTreeMap<ZoneName, ZoneEngines> = BTreeMap::new();
        let entries = self.entries.borrow();
        let accepting = entries.values().filter(|entry| {
            entry.pool == *pool && entry.accepting && !self.drains(EngineKey::of(&entry.run))
        });
        for entry in accepting {
            let engines = zones.entry(entry.zone.clone()).or_default();
            match entry.tenure {
                EngineTenure::OnDemand => engines.on_demand += 1,
                EngineTenure::Spot => engines.spot += 1,
            }
        }
        zones
    }

    /// Spot engines of a pool that say that they leave, by zone.
    pub(crate) fn leaving_spot_engines(&self, pool: &PoolName) -> BTreeMap<ZoneName, u32> {
        let mut zones: BTreeMap<ZoneName, u32> = BTreeMap::new();
        let entries = self.entries.borrow();
        let leaving = entries.values().filter(|entry| {
            let is_spot = entry.tenure == EngineTenure::Spot;
            let leaves = !entry.accepting || self.drains(EngineKey::of(&entry.run));
            entry.pool == *pool && is_spot && leaves
        });
        for entry in leaving {
            *zones.entry(entry.zone.clone()).or_default() += 1;
        }
        zones
    }

    /// Builds the fleet anew, under other terms.
    fn rebuild_fleet(&self) {
        let table = self.table();
        let entries = self.entries.borrow();
        let drains = |engine| self.drains(engine);
        let fleet = Fleet::new(entries.values(), table.as_deref(), drains);
        self.fleet.replace(fleet);
    }

    /// Notes that the key-value service was restored from an older copy: leases are gone with what was written
    /// since, whatever their time.
    pub(crate) fn era_has_risen(&self, era: u64) {
        self.authority.drop_mandate();
        self.quarantine.rewrite_stored();
        self.store_era.send_replace(era);
    }

    /// Notes bytes that are written to this node's link.
    pub(crate) fn sent(&self, bytes: usize) {
        let time = self.settings.link_time(bytes);
        self.uplink.borrow_mut().push(self.now(), time);
    }

    /// Notes that an engine was ordered to change its role: it is avoided, here and at the other
    /// nodes, until its entry shows the change, for `at_most` this time.
    pub(crate) fn changes_role(&self, engine: EngineKey, at_most: Duration) {
        let until = self.now() + at_most;
        self.router
            .borrow_mut()
            .health
            .begin_role_change(engine, until);
        self.role_changes.borrow_mut().push((engine, at_most));
        self.work_changed.notify_one();
    }

    /// Has relays say what they know of kept parts.
    pub(crate) fn ask_for_parts(&self) {
        self.asks_for_parts.set(true);
        self.work_changed.notify_one();
    }

    /// Whether relays are to be asked for kept parts; they are asked once.
    pub(crate) fn asks_for_parts(&self) -> bool {
        self.asks_for_parts.replace(false)
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
        let now = self.now();
        self.nodes.borrow_mut().set(now, nodes);
        self.budget.borrow_mut().set_nodes(now, nodes);
        self.router.borrow_mut().unreported.set_node_count(nodes);
    }

    /// Nodes known, this one among them.
    pub(crate) fn node_count(&self) -> usize {
        self.nodes.borrow().newest().unwrap_or(1)
    }

    /// Connections that this node may have to one engine of the pool.
    pub(crate) fn max_connections(&self, pool: &PoolName) -> usize {
        let table = self.table.borrow();
        let terms = table.as_ref().and_then(|table| table.pool(pool).cloned());
        let all = terms.map_or(MIN_CONNECTIONS, |terms| terms.max_connections as usize);
        let nodes = self.nodes.borrow_mut().get(self.now()).unwrap_or(1);
        (all / nodes).max(MIN_CONNECTIONS)
    }
}

/// The budget of a node that starts now.
fn retry_budget(settings: &ForwardingSettings) -> SharedRetryBudget {
    let mut budget = SharedRetryBudget::new(settings.retry_terms());
    if settings.retries.former_life {
        budget.note_restart(MonotonicTime::ZERO);
    }
    budget
}
