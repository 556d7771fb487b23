//! State shared by all tasks of a node. A node runs on one thread, so it needs no locks.

use std::cell::{Cell, OnceCell, Ref, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::mem::Discriminant;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_dissemination::NodeNumber;
use dalestand_edge::duty_calls::ProvisioningModel;
use dalestand_edge::routed::{Dialect, EngineEntry, StoreFormat};
use dalestand_edge::unknown_headers::UnknownHeaders;
use dalestand_engine_link::{EngineLink, LinkLimits};
use dalestand_http_server::Connections;
use dalestand_http_server::MemoryAccount;
use dalestand_planner::{ScalingDecision, ZoneEngines};
use dalestand_routes::{CallerLimits, RouteTable, WeightedRoundRobin};
use dalestand_routing::staged::{EngineKey, LinkQueue, StagedRouter};
use dalestand_routing::{NodeCount, SharedRetryBudget};
use dalestand_stream_origins::{EngineVersions, StoredVersions};
use dalestand_types::{MonotonicTime, PoolName, SoftwareVersion, ZoneName};
use rand::RngExt as _;
use slog::Logger;
use tokio::sync::{Notify, watch};

use crate::detour::DetourState;
use crate::dissemination::Dissemination;
use crate::duties::usage_counts::UsageCounts;
use crate::fleet::engine_runs::{EngineRuns, is_withheld, known_start};
use crate::fleet::engines::Fleet;
use crate::fleet::entries_proof::EntriesProof;
use crate::fleet::placements::Placements;
use crate::fleet_sums::FleetSums;
use crate::node::in_flight::InFlight;
use crate::node::metrics::ForwardingMetrics;
use crate::node::settings::ForwardingSettings;
use crate::node::shutdown::Shutdown;
use crate::permits::state::PermitState;
use crate::quarantine::state::QuarantineState;
use crate::roles::demand::DemandMeter;
use crate::roles::fleet_lease::FleetLease;
use crate::serve::answer::Failure;
use crate::serve::class_counts::ClassCounts;
use crate::serve::held_bytes::HeldBytes;
use crate::serve::line_limit::LineLimit;
use crate::serve::pool_admissions::PoolAdmissions;
use crate::serve::tenant_shares::TenantShares;
use crate::streams::share::update_sharing;
use crate::streams::state::StreamState;

/// Longer than evidence counts.
const EVIDENCE_ORIGIN_BEFORE_START: Duration = Duration::from_secs(2 * 24 * 3_600);

/// Lower bound on the connections of a node to each engine, whatever the number of nodes, if the engine accepts so many:
/// most nodes don't use their share at the same time, and a reset of a new connection does no harm.
const MIN_CONNECTIONS: usize = 8;

/// An engine that accepts this many connections has room for one more of each node, however many nodes there are: not all of
/// them use it at the same time.
const MANY_CONNECTIONS: usize = 64;

/// Parts of the context besides the settings.
pub(crate) struct ContextParts {
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) store_format: Rc<dyn StoreFormat>,
    pub(crate) unknown_headers: UnknownHeaders,
    pub(crate) logger: Logger,
    pub(crate) metrics: ForwardingMetrics,
}

/// State of one node.
pub(crate) struct Context {
    pub(crate) settings: ForwardingSettings,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) store_format: Rc<dyn StoreFormat>,
    /// Headers in answers that this build does not know.
    pub(crate) unknown_headers: UnknownHeaders,
    pub(crate) link: EngineLink,
    pub(crate) logger: Logger,
    pub(crate) in_flight: InFlight,
    /// Limits the log lines on requests that are rejected for their bodies.
    pub(crate) body_refusals: LineLimit<Discriminant<Failure>>,
    /// Memory of request bodies.
    pub(crate) bodies: MemoryAccount,
    /// Maximum size of the head of a request, by the declaration.
    pub(crate) max_head_bytes: Rc<Cell<usize>>,
    /// Size of buffered answers that callers have not read yet.
    pub(crate) held_bytes: HeldBytes,
    pub(crate) router: RefCell<StagedRouter>,
    /// Transmission time queued on this node's network link.
    pub(crate) uplink: RefCell<LinkQueue>,
    /// Retry budget, shared with the other nodes.
    pub(crate) budget: RefCell<SharedRetryBudget>,
    /// Picks the pools of requests on routes that are split between pools.
    pub(crate) splits: RefCell<WeightedRoundRobin>,
    /// Notified when this node's work at an engine has changed.
    pub(crate) work_changed: Notify,
    /// Fleet-wide state that nodes send each other.
    pub(crate) dissemination: Dissemination,
    /// Which starts of engines are known to go on, and which have ended.
    pub(crate) engine_runs: EngineRuns,
    /// How current the known engine entries are.
    pub(crate) entries_proof: EntriesProof,
    /// Prompt parts sent to engines that were not yet announced to other nodes.
    pub(crate) placements: RefCell<Placements>,
    /// Permits to send requests to engines with a rate limit.
    pub(crate) permits: PermitState,
    /// The lease under which one node acts for the whole fleet.
    pub(crate) fleet_lease: FleetLease,
    /// Started requests by tenant, for usage reports.
    pub(crate) usage: UsageCounts,
    /// Demand for prompt prefill.
    pub(crate) demand: RefCell<DemandMeter>,
    /// Engines that change roles, and for how long at most to avoid them; not yet announced to other nodes.
    pub(crate) role_changes: RefCell<Vec<(EngineKey, Duration)>>,
    /// Requests of this node by pool and priority.
    pub(crate) classes: Rc<ClassCounts>,
    /// Requests of this node by tenant, and tenant shares.
    pub(crate) tenant_shares: Rc<TenantShares>,
    /// Requests that wait for admission to an overloaded pool.
    pub(crate) admissions: PoolAdmissions,
    /// Figures summed over all nodes.
    pub(crate) sums: FleetSums,
    /// Last scaling decision by pool; empty unless this node orders engines.
    pub(crate) scaling_decisions: RefCell<BTreeMap<PoolName, ScalingDecision>>,
    /// Requests that crash engines.
    pub(crate) quarantine: QuarantineState,
    /// Connections of callers; set once at startup.
    pub(crate) caller_connections: OnceCell<Connections>,
    /// Origins of streams.
    pub(crate) streams: StreamState,
    /// Connections to engines through other nodes.
    pub(crate) detours: DetourState,
    pub(crate) metrics: ForwardingMetrics,
    /// Era of the key-value service; changes when the service is restored from a backup.
    pub(crate) store_era: watch::Sender<u64>,
    started: BootInstant,
    table: RefCell<Option<Rc<RouteTable>>>,
    /// When the current declaration was last confirmed.
    declaration_confirmed_at: Cell<BootInstant>,
    entries: RefCell<HashMap<String, EngineEntry>>,
    /// Software versions of engines. Entries as sent between nodes lack them.
    engine_versions: RefCell<EngineVersions>,
    fleet: RefCell<Fleet>,
    pub(crate) shutdown: Shutdown,
    parts_requested: Cell<bool>,
    nodes: RefCell<NodeCount>,
}

impl Context {
    pub(crate) fn new(settings: ForwardingSettings, parts: ContextParts) -> Self {
        let ContextParts {
            dialect,
            store_format,
            unknown_headers,
            logger,
            metrics,
        } = parts;
        Self {
            metrics,
            dialect,
            store_format,
            unknown_headers,
            link: EngineLink::new(LinkLimits {
                source: settings.engine_source_ip,
                ..LinkLimits::default()
            }),
            logger,
            in_flight: InFlight::default(),
            body_refusals: LineLimit::default(),
            bodies: MemoryAccount::new(settings.body_memory_bytes()),
            max_head_bytes: Rc::new(Cell::new(CallerLimits::default().max_head_bytes)),
            held_bytes: HeldBytes::new(settings.answer_memory_bytes()),
            router: RefCell::new(StagedRouter::seeded(rand::rng().random())),
            uplink: RefCell::default(),
            budget: RefCell::new(SharedRetryBudget::new(settings.retry_limits())),
            splits: RefCell::default(),
            work_changed: Notify::new(),
            dissemination: Dissemination::new(&settings),
            permits: PermitState::default(),
            fleet_lease: FleetLease::default(),
            usage: UsageCounts::new(NodeNumber::of(settings.node.as_str()), settings.usage()),
            engine_runs: EngineRuns::default(),
            entries_proof: EntriesProof::default(),
            placements: RefCell::default(),
            demand: RefCell::default(),
            role_changes: RefCell::default(),
            classes: Rc::default(),
            tenant_shares: Rc::default(),
            admissions: PoolAdmissions::default(),
            sums: FleetSums::default(),
            scaling_decisions: RefCell::default(),
            quarantine: QuarantineState::default(),
            caller_connections: OnceCell::new(),
            streams: StreamState::default(),
            detours: DetourState::default(),
            store_era: watch::Sender::new(0),
            started: BootInstant::now(),
            table: RefCell::default(),
            declaration_confirmed_at: Cell::new(BootInstant::now()),
            entries: RefCell::default(),
            engine_versions: RefCell::default(),
            fleet: RefCell::default(),
            shutdown: Shutdown::default(),
            parts_requested: Cell::new(false),
            nodes: RefCell::default(),
            settings,
        }
    }

    /// Time since the node started.
    pub(crate) fn now(&self) -> MonotonicTime {
        MonotonicTime(self.started.elapsed().as_micros() as u64)
    }

    /// Time for evidence against requests and prompt parts. Its origin is well before the node's start, as evidence of other
    /// nodes and of the key-value service may be older than the node.
    pub(crate) fn evidence_time(&self) -> MonotonicTime {
        self.now() + EVIDENCE_ORIGIN_BEFORE_START
    }

    /// Routes of the current declaration.
    pub(crate) fn table(&self) -> Option<Rc<RouteTable>> {
        self.table.borrow().clone()
    }

    /// Records that the current declaration was confirmed at `at`.
    pub(crate) fn confirm_declaration(&self, at: BootInstant) {
        self.declaration_confirmed_at.set(at);
    }

    /// Whether keys may be checked against the current declaration. If the settings say so, a node that
    /// cannot confirm the declaration refuses all keys, because one may have been revoked.
    pub(crate) fn keys_are_current(&self) -> bool {
        let unconfirmed_for = self.declaration_confirmed_at.get().elapsed();
        let validity = self.settings.declaration_validity();
        validity.is_none_or(|validity| unconfirmed_for <= validity)
    }

    /// Applies a declaration, unless one at least as new is current. Returns whether it was applied.
    pub(crate) fn set_table(&self, table: RouteTable) -> bool {
        let current = self.table.borrow().as_ref().map(|table| table.revision());
        if current.is_some_and(|current| table.revision() <= current) {
            return false;
        }
        self.max_head_bytes.set(table.callers().max_head_bytes);
        let previous = self.table.replace(Some(Rc::new(table)));
        let pools_changed = previous.is_none_or(|previous| {
            let table = self.table.borrow();
            !table
                .as_ref()
                .is_some_and(|table| table.has_same_pools(&previous))
        });
        // Most declarations change only routes.
        if pools_changed {
            self.rebuild_fleet();
        }
        true
    }

    /// Engines that accept new work. Don't hold the reference across an await: the engines change.
    pub(crate) fn fleet(&self) -> Ref<'_, Fleet> {
        self.fleet.borrow()
    }

    /// The engine entry under `key`. It does not accept work if the engine announced in an answer that it
    /// drains.
    pub(crate) fn entry(&self, key: &str) -> Option<EngineEntry> {
        let mut entry = self.entries.borrow().get(key).cloned()?;
        entry.accepting &= !self.is_draining(EngineKey::of(&entry.run));
        Some(entry)
    }

    /// Whether the engine's run said, in an answer or by its entry, that it drains.
    pub(crate) fn is_draining(&self, engine: EngineKey) -> bool {
        self.router.borrow().signals.is_draining(engine)
    }

    /// Start time of the engine from its entry or another node, in Unix milliseconds.
    fn started_at_ms(&self, engine: EngineKey) -> Option<u64> {
        let started_at_ms = self.router.borrow().signals.started_at_ms(engine);
        Some(started_at_ms).filter(|started_at_ms| *started_at_ms > 0)
    }

    /// Stops sending new work to an engine that drains; returns whether this changed anything.
    pub(crate) fn drain_engine(&self, engine: EngineKey) -> bool {
        let is_new = self.router.borrow_mut().signals.record_draining(engine);
        is_new && self.fleet.borrow_mut().drain(engine)
    }

    /// Forgets the version of an engine's software.
    pub(crate) fn forget_software(&self, engine: EngineKey) {
        self.engine_versions.borrow_mut().forget(engine);
        self.fleet.borrow_mut().set_software(engine, None);
    }

    /// Resets the state of an engine that has restarted, except its entry.
    pub(crate) fn reset_engine(&self, engine: EngineKey) {
        self.router.borrow_mut().forget_engine(engine);
        let started_at_ms = self.started_at_ms(engine);
        self.engine_versions.borrow_mut().forget(engine);
        let mut fleet = self.fleet.borrow_mut();
        fleet.set_started_at_ms(engine, started_at_ms);
        fleet.set_software(engine, None);
        drop(fleet);
        if !self.fleet().draining().any(|draining| draining == engine) {
            return;
        }
        let entries = self.entries.borrow();
        let mut known = entries.values();
        if let Some(entry) = known.find(|entry| EngineKey::of(&entry.run) == engine) {
            let table = self.table();
            let entry = EngineEntry {
                started_at_ms,
                software: None,
                ..entry.clone()
            };
            let mut fleet = self.fleet.borrow_mut();
            fleet.set(&entry, table.as_deref(), |engine| self.is_draining(engine));
        }
    }

    /// Applies changed engine entries by key; `None` removes an entry.
    pub(crate) fn apply_entry_changes(&self, changes: Vec<(String, Option<EngineEntry>)>) {
        let table = self.table();
        let mut fleet = self.fleet.borrow_mut();
        let mut entries = self.entries.borrow_mut();
        let mut removed = HashSet::new();
        let mut changed_pools = HashSet::new();
        for (key, entry) in changes {
            let previous = entries.remove(&key);
            if let (Some(previous), Some(entry)) = (&previous, &entry)
                && previous.role != entry.role
            {
                let engine = EngineKey::of(&entry.run);
                self.router.borrow_mut().health.end_role_change(engine);
            }
            if let Some(previous) = &previous {
                fleet.remove(previous);
                removed.insert(EngineKey::of(&previous.run));
            }
            if let Some(mut entry) = entry {
                let engine = EngineKey::of(&entry.run);
                entry.started_at_ms = self.started_at_ms(engine);
                let mut versions = self.engine_versions.borrow_mut();
                versions.list(engine, &entry.pool);
                drop(versions);
                changed_pools.insert(entry.pool.clone());
                entry.software = self.software_of(engine);
                fleet.set(&entry, table.as_deref(), |engine| self.is_draining(engine));
                removed.remove(&engine);
                entries.insert(key, entry);
            }
        }
        if self.engine_versions().missing().len() > 0 {
            // Requests them, or stores them.
            self.work_changed.notify_one();
            self.streams.unstored.notify_one();
        }
        let mut router = self.router.borrow_mut();
        for engine in removed {
            router.forget_engine(engine);
            self.engine_runs.forget(engine);
            self.engine_versions.borrow_mut().unlist(engine);
        }
        drop((router, fleet, entries));
        for pool in changed_pools {
            update_sharing(self, &pool);
        }
    }

    /// Version of the engine's software, once it is stored for all nodes.
    pub(crate) fn software_of(&self, engine: EngineKey) -> Option<SoftwareVersion> {
        self.engine_versions.borrow().get(engine).cloned()
    }

    /// Software versions of the listed engines. Don't hold the reference across an await.
    pub(crate) fn engine_versions(&self) -> Ref<'_, EngineVersions> {
        self.engine_versions.borrow()
    }

    /// Records the version of an engine's software as its entry names it, unless it is withheld.
    pub(crate) fn record_software(&self, engine: EngineKey, software: SoftwareVersion) {
        let start = known_start(self, engine);
        if start.is_some_and(|start| self.engine_runs.keep_withheld(start, &software)) {
            return;
        }
        let former = self.software_of(engine);
        self.engine_versions.borrow_mut().record(engine, software);
        self.apply_software(engine, former.as_ref());
    }

    /// Records the version of an engine's software from another node, for which it is stored, unless it is withheld.
    pub(crate) fn record_stored_software(&self, engine: EngineKey, software: SoftwareVersion) {
        if is_withheld(self, engine) {
            return;
        }
        let former = self.software_of(engine);
        let mut versions = self.engine_versions.borrow_mut();
        versions.record_stored_elsewhere(engine, software);
        drop(versions);
        self.apply_software(engine, former.as_ref());
    }

    /// Makes a changed version count for requests.
    fn apply_software(&self, engine: EngineKey, former: Option<&SoftwareVersion>) {
        let software = self.software_of(engine);
        if software.as_ref() != former {
            self.fleet.borrow_mut().set_software(engine, software);
        }
        let pool = self.engine_versions().pool_of(engine).cloned();
        if let Some(pool) = pool {
            if !self.engine_versions().unstored(&pool).is_empty() {
                self.streams.unstored.notify_one();
            }
            update_sharing(self, &pool);
        }
    }

    /// Records what is stored of the software versions that may have begun streams of a pool.
    pub(crate) fn record_stored_versions(&self, pool: &PoolName, stored: Option<StoredVersions>) {
        let mut versions = self.engine_versions.borrow_mut();
        let changed = versions.set_stored(pool, stored);
        drop(versions);
        self.update_software(changed);
        update_sharing(self, pool);
    }

    fn update_software(&self, engines: Vec<EngineKey>) {
        let mut fleet = self.fleet.borrow_mut();
        for engine in engines {
            fleet.set_software(engine, self.software_of(engine));
        }
    }

    /// What to store of the versions of a pool after some have been without engines for long.
    pub(crate) fn expired_versions(&self, pool: &PoolName) -> Option<StoredVersions> {
        let mut versions = self.engine_versions.borrow_mut();
        versions.without_expired(self.now(), pool)
    }

    /// Forgets for how long versions have been without engines, as this node may have missed some.
    pub(crate) fn restart_version_watch(&self) {
        self.engine_versions.borrow_mut().restart_watch();
    }

    /// Number of engines of a pool that accept new work, by zone.
    pub(crate) fn zone_engines(&self, pool: &PoolName) -> BTreeMap<ZoneName, ZoneEngines> {
        let mut zones: BTreeMap<ZoneName, ZoneEngines> = BTreeMap::new();
        let entries = self.entries.borrow();
        let accepting = entries.values().filter(|entry| {
            entry.pool == *pool && entry.accepting && !self.is_draining(EngineKey::of(&entry.run))
        });
        for entry in accepting {
            let engines = zones.entry(entry.zone.clone()).or_default();
            match entry.provisioning {
                ProvisioningModel::OnDemand => engines.on_demand += 1,
                ProvisioningModel::Spot => engines.spot += 1,
            }
        }
        zones
    }

    /// Number of draining spot engines of a pool, by zone.
    pub(crate) fn leaving_spot_engines(&self, pool: &PoolName) -> BTreeMap<ZoneName, u32> {
        let mut zones: BTreeMap<ZoneName, u32> = BTreeMap::new();
        let entries = self.entries.borrow();
        let leaving = entries.values().filter(|entry| {
            let is_spot = entry.provisioning == ProvisioningModel::Spot;
            let is_leaving = !entry.accepting || self.is_draining(EngineKey::of(&entry.run));
            entry.pool == *pool && is_spot && is_leaving
        });
        for entry in leaving {
            *zones.entry(entry.zone.clone()).or_default() += 1;
        }
        zones
    }

    /// Rebuilds the fleet after the pools have changed.
    fn rebuild_fleet(&self) {
        let table = self.table();
        let entries = self.entries.borrow();
        let is_draining = |engine| self.is_draining(engine);
        let mut fleet = Fleet::new(entries.values(), table.as_deref(), is_draining);
        for (engine, software) in self.engine_versions().listed() {
            fleet.set_software(engine, software.cloned());
        }
        self.fleet.replace(fleet);
    }

    /// Handles a restore of the key-value service: leases and writes since the backup are lost, even leases
    /// that have not expired.
    pub(crate) fn begin_store_era(&self, era: u64) {
        self.fleet_lease.clear();
        self.quarantine.rewrite_stored();
        self.streams.begin_store_era(era);
        let no_longer_stored = self.engine_versions.borrow_mut().clear_stored();
        self.update_software(no_longer_stored);
        self.streams.unstored.notify_one();
        self.store_era.send_replace(era);
    }

    /// Records bytes written to this node's network link.
    pub(crate) fn record_sent_bytes(&self, bytes: usize) {
        let time = self.settings.link_time(bytes);
        self.uplink.borrow_mut().push(self.now(), time);
    }

    /// Makes all nodes avoid an engine that was ordered to change its role, until its entry shows the change
    /// or `at_most` has passed.
    pub(crate) fn begin_role_change(&self, engine: EngineKey, at_most: Duration) {
        let until = self.now() + at_most;
        self.router
            .borrow_mut()
            .health
            .begin_role_change(engine, until);
        self.role_changes.borrow_mut().push((engine, at_most));
        self.work_changed.notify_one();
    }

    /// Requests the known cached prompt parts from the relays with the next send.
    pub(crate) fn request_parts(&self) {
        self.parts_requested.set(true);
        self.work_changed.notify_one();
    }

    /// Whether to ask the relays for cached prompt parts; clears the request.
    pub(crate) fn take_parts_request(&self) -> bool {
        self.parts_requested.replace(false)
    }

    /// Whether graceful shutdown has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.shutdown.has_begun()
    }

    /// Whether the platform should send callers to this node.
    pub(crate) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.table.borrow().is_some() && !self.fleet.borrow().is_empty()
    }

    /// Sets the number of nodes, including this one.
    pub(crate) fn set_node_count(&self, nodes: usize) {
        let now = self.now();
        self.nodes.borrow_mut().set(now, nodes);
        self.budget.borrow_mut().set_nodes(now, nodes);
        self.router.borrow_mut().unreported.set_node_count(nodes);
    }

    /// Number of known nodes, including this one.
    pub(crate) fn node_count(&self) -> usize {
        self.nodes.borrow().newest().unwrap_or(1)
    }

    /// Maximum number of connections of this node to one engine of the pool.
    pub(crate) fn max_connections(&self, pool: &PoolName) -> usize {
        let share = self.connection_share(pool);
        share
            .max(MIN_CONNECTIONS)
            .min(self.accepted_connections(pool))
    }

    /// This node's share of the connections that one engine of the pool accepts; none while the number of nodes is unknown.
    pub(crate) fn connection_share(&self, pool: &PoolName) -> usize {
        let accepted = self.accepted_connections(pool);
        let nodes = self.nodes.borrow_mut().get(self.now());
        let share = nodes.map_or(0, |nodes| accepted / nodes);
        share.max(usize::from(accepted >= MANY_CONNECTIONS))
    }

    /// Whether engines of the pool accept so few connections that other nodes may use this node's share.
    pub(crate) fn has_scarce_connections(&self, pool: &PoolName) -> bool {
        self.accepted_connections(pool) < MANY_CONNECTIONS
    }

    /// Number of connections that one engine of the pool accepts from all nodes together.
    fn accepted_connections(&self, pool: &PoolName) -> usize {
        let table = self.table.borrow();
        let config = table.as_ref().and_then(|table| table.pool(pool));
        config.map_or(MIN_CONNECTIONS, |config| config.max_connections as usize)
    }
}
