//! Drives the group controllers: leases, orders, load reports and digests.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_cluster::{Cluster, Record, RecordKey, RecordVersion};
use dalestand_config::{Deployment, Group};
use dalestand_control::{
    Action, DesiredEngine, DesiredModel, EngineStatus, GroupController, LeaseGrant,
};
use dalestand_gateway::{ActiveConfiguration, Shared};
use dalestand_platform::{CasOutcome, Engine, KeyValue, LeaseId, WriteExpectation};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{
    EngineDigest, EngineId, EngineLoad, Epoch, GroupId, MonotonicTime, NodeId, Order, OrderOutcome,
    Sequence,
};
use rand::RngExt as _;
use serde::{Deserialize, Serialize};

use crate::digest_codec::CompactDigest;
use crate::drains::Drains;
use crate::engines::EngineClients;
use crate::fleet::Digests;
use crate::machines::Machines;

/// Time between two looks at the controllers.
const TICK: Duration = Duration::from_millis(50);

/// Wait before a lease that was not granted is asked for again.
const ACQUIRE_RETRY: Duration = Duration::from_millis(1_000);

/// Leases in which nothing is heard of a holder before a node of another zone steps in.
const OTHER_ZONE_LEASES: u32 = 3;

/// Who holds a group's lease; the value of its key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct HolderRecord {
    node: NodeId,
    writer: String,
}

struct LoadSample {
    load: EngineLoad,
    at: MonotonicTime,
}

#[derive(Default)]
struct State {
    controllers: BTreeMap<GroupId, GroupController>,
    configured: Option<Arc<ActiveConfiguration>>,
    loads: HashMap<EngineId, LoadSample>,
    sequences: HashMap<GroupId, Sequence>,
    polled_at: HashMap<GroupId, MonotonicTime>,
    clients: EngineClients,
    digests: Digests,
    machine_changes: u64,
}

/// The control half of a node.
pub(crate) struct ControlDriver {
    shared: Arc<Shared>,
    key_value: Rc<dyn KeyValue>,
    cluster: Rc<RefCell<Cluster>>,
    machines: Rc<RefCell<Machines>>,
    drains: Rc<Drains>,
    lease: Duration,
    load_poll: Duration,
    state: RefCell<State>,
}

impl ControlDriver {
    /// A driver that controls nothing yet.
    pub(crate) fn new(
        shared: Arc<Shared>,
        key_value: Rc<dyn KeyValue>,
        cluster: Rc<RefCell<Cluster>>,
        machines: Rc<RefCell<Machines>>,
        drains: Rc<Drains>,
        lease: Duration,
        load_poll: Duration,
    ) -> Rc<Self> {
        let state = RefCell::new(State::default());
        Rc::new(Self {
            shared,
            key_value,
            cluster,
            machines,
            drains,
            lease,
            load_poll,
            state,
        })
    }

    /// Runs until dropped.
    pub(crate) async fn run(self: Rc<Self>) {
        loop {
            actix_rt::time::sleep(TICK).await;
            self.tick();
        }
    }

    /// State of every engine whose group this node controls.
    pub(crate) fn statuses(&self) -> Vec<(GroupId, Epoch, EngineStatus)> {
        let now = self.shared.clock.now();
        let state = self.state.borrow();
        let held = state
            .controllers
            .values()
            .filter_map(|controller| controller.grant(now).map(|grant| (controller, grant.epoch)));
        held.flat_map(|(controller, epoch)| {
            let group = controller.group().clone();
            controller
                .statuses()
                .into_iter()
                .map(move |status| (group.clone(), epoch, status))
        })
        .collect()
    }

    /// Who holds each group's lease, as far as its last digest says.
    pub(crate) fn holders(&self) -> BTreeMap<GroupId, NodeId> {
        let state = self.state.borrow();
        let groups = state.controllers.keys();
        groups
            .filter_map(|group| {
                let holder = state.digests.holder(group)?.clone();
                Some((group.clone(), holder))
            })
            .collect()
    }

    /// Gives every lease up, so that another node can take over at once.
    pub(crate) async fn release_leases(&self) {
        let now = self.shared.clock.now();
        let leases: Vec<(GroupId, u64)> = {
            let state = self.state.borrow();
            let controllers = state.controllers.values();
            controllers
                .filter_map(|one| {
                    one.grant(now)
                        .map(|grant| (one.group().clone(), grant.lease))
                })
                .collect()
        };
        for (group, lease) in leases {
            if let Some(controller) = self.state.borrow_mut().controllers.get_mut(&group) {
                controller.lease_lost(now);
            }
            match self.key_value.revoke_lease(LeaseId(lease)).await {
                Ok(()) => {
                    log_event!(self.shared.logger, Event::LeaseReleased, "group" => %group);
                }
                Err(error) => {
                    log_event!(self.shared.logger, Event::KeyValueFailed, "error" => %error);
                }
            }
        }
    }

    fn tick(self: &Rc<Self>) {
        let now = self.shared.clock.now();
        self.configure(now);
        self.refresh_view(now);
        if self.shared.stopping() {
            return;
        }
        let actions: Vec<(GroupId, Action)> = {
            let mut state = self.state.borrow_mut();
            let controllers = state.controllers.iter_mut();
            controllers
                .flat_map(|(group, controller)| {
                    let actions = controller.tick(now).into_iter();
                    actions
                        .map(|action| (group.clone(), action))
                        .collect::<Vec<_>>()
                })
                .collect()
        };
        for (group, action) in actions {
            let driver = Rc::clone(self);
            actix_rt::spawn(async move { driver.carry_out(group, action).await });
        }
        self.poll_due_loads(now);
    }

    /// Brings the controllers in line with the configuration in force.
    fn configure(&self, now: MonotonicTime) {
        let Some(active) = self.shared.configuration.load_full() else {
            return;
        };
        let mut state = self.state.borrow_mut();
        let same = state
            .configured
            .as_ref()
            .is_some_and(|known| known.revision == active.revision);
        if same {
            return;
        }
        let deployment = &active.deployment;
        for group in &deployment.groups {
            let own_zone = group.zone == self.shared.zone;
            let wait = if own_zone {
                Duration::ZERO
            } else {
                self.lease * OTHER_ZONE_LEASES
            };
            let controller = state
                .controllers
                .entry(group.id())
                .or_insert_with(|| GroupController::new(group.id(), now + wait));
            let desired = desired_engines(deployment, group);
            let bound = deployment.roles.max_changes_at_once as usize;
            controller.set_desired(active.revision, desired, bound);
        }
        let groups: Vec<GroupId> = deployment.groups.iter().map(Group::id).collect();
        state.controllers.retain(|group, _| groups.contains(group));
        state.configured = Some(active);
    }

    fn refresh_view(&self, now: MonotonicTime) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.digests.refresh(now, &mut self.cluster.borrow_mut());
        let leases_held = state
            .controllers
            .values()
            .filter(|one| one.grant(now).is_some())
            .count();
        self.shared.metrics.leases.set(leases_held as i64);
        for (group, controller) in &mut state.controllers {
            if let Some(heard_at) = state.digests.heard_at(group) {
                controller.holder_heard(heard_at + self.lease);
            }
        }
        let machines = self.machines.borrow();
        if state.machine_changes != machines.changes() {
            state.machine_changes = machines.changes();
            state.clients.retain(|address| machines.uses(address));
        }
        if let Some(active) = &state.configured {
            let deployment = &active.deployment;
            let view = state
                .digests
                .view(now, active.revision, deployment, &machines);
            if let Some(view) = view {
                self.shared.fleet.store(Arc::new(view));
            }
        }
    }

    async fn carry_out(&self, group: GroupId, action: Action) {
        match action {
            Action::AcquireLease => self.acquire(&group).await,
            Action::RenewLease { lease } => self.renew(&group, lease).await,
            Action::RaiseEpoch { engine, epoch } => {
                let answer = match self.client(&engine) {
                    Some(client) => client.raise_epoch(epoch).await.ok(),
                    None => None,
                };
                self.engine_answered(&group, &engine, epoch, answer);
            }
            Action::ReadOrders { engine, epoch } => {
                let read = match self.client(&engine) {
                    Some(client) => client.orders().await.ok(),
                    None => None,
                };
                let now = self.shared.clock.now();
                self.with_controller(&group, |controller| match &read {
                    Some(state) => controller.engine_read(now, &engine, epoch, state),
                    None => controller.engine_failed(now, &engine, epoch),
                });
            }
            Action::SendOrder { engine, order } => self.send_order(&group, &engine, &order).await,
        }
    }

    async fn send_order(&self, group: &GroupId, engine: &EngineId, order: &Order) {
        let epoch = order.id.epoch;
        // The lease may have run out since the action was made. A pause after this check is closed
        // by the engine's own fence only.
        let valid = {
            let state = self.state.borrow();
            let controller = state.controllers.get(group);
            controller
                .and_then(|one| one.grant(self.shared.clock.now()))
                .is_some()
        };
        let client = self.client(engine).filter(|_| valid);
        let answer = match client {
            Some(client) => client.order(order).await.ok(),
            None => None,
        };
        match &answer {
            Some(OrderOutcome::Accepted { .. }) => {
                log_event!(self.shared.logger, Event::OrderGiven, "engine" => %engine,
                    "order" => %order.id, "command" => format!("{:?}", order.command));
            }
            Some(outcome) => {
                log_event!(self.shared.logger, Event::OrderRefused, "engine" => %engine,
                    "order" => %order.id, "outcome" => format!("{outcome:?}"));
            }
            None => {
                log_event!(self.shared.logger, Event::EngineSilent, "engine" => %engine,
                    "order" => %order.id);
            }
        }
        self.engine_answered(group, engine, epoch, answer);
    }

    fn engine_answered(
        &self,
        group: &GroupId,
        engine: &EngineId,
        epoch: Epoch,
        answer: Option<OrderOutcome>,
    ) {
        let now = self.shared.clock.now();
        self.with_controller(group, |controller| match &answer {
            Some(outcome) => controller.engine_answered(now, engine, epoch, outcome),
            None => controller.engine_failed(now, engine, epoch),
        });
    }

    async fn acquire(&self, group: &GroupId) {
        let sent_at = self.shared.clock.now();
        let granted = self.try_acquire(group, sent_at).await;
        let now = self.shared.clock.now();
        match granted {
            Some(grant) => {
                log_event!(self.shared.logger, Event::LeaseAcquired,
                    "group" => %group, "epoch" => grant.epoch.0);
                self.with_controller(group, |controller| controller.lease_acquired(grant));
                self.restore_drains(group).await;
            }
            None => {
                let jitter = rand::rng().random_range(0..ACQUIRE_RETRY.as_millis() as u64);
                let retry_at = now + ACQUIRE_RETRY + Duration::from_millis(jitter);
                self.with_controller(group, |one| one.lease_not_acquired(retry_at));
            }
        }
    }

    /// Spreads the drain marks of a group that was just taken over.
    async fn restore_drains(&self, group: &GroupId) {
        let engines: Vec<EngineId> = {
            let state = self.state.borrow();
            let controller = state.controllers.get(group);
            let statuses = controller
                .map(GroupController::statuses)
                .unwrap_or_default();
            statuses.into_iter().map(|status| status.engine).collect()
        };
        self.shared.metrics.key_value_calls.inc();
        if let Err(error) = self.drains.restore(&engines).await {
            log_event!(self.shared.logger, Event::DrainsUnread, "group" => %group,
                "error" => %error);
        }
    }

    /// Asks for the group's lease; the epoch is the revision of the write that took its key.
    async fn try_acquire(&self, group: &GroupId, sent_at: MonotonicTime) -> Option<LeaseGrant> {
        self.shared.metrics.key_value_calls.inc_by(2);
        let lease = match self.key_value.grant_lease(self.lease).await {
            Ok(lease) => lease,
            Err(error) => {
                log_event!(self.shared.logger, Event::KeyValueFailed, "error" => %error);
                return None;
            }
        };
        let key = holder_key(group);
        let writer = format!("{:032x}", rand::rng().random::<u128>());
        let record = HolderRecord {
            node: self.shared.node.clone(),
            writer,
        };
        let value = serde_json::to_string(&record).ok()?;
        let written = self
            .key_value
            .compare_and_swap(&key, WriteExpectation::Absent, Some(&value), Some(lease))
            .await;
        let epoch = match written {
            Ok(CasOutcome::Written { revision }) => Some(Epoch(revision.0)),
            Ok(CasOutcome::Conflict { .. }) => None,
            // The write may have taken effect: the record says whose it is.
            Err(_) => match self.key_value.get(&key).await {
                Ok(Some(entry)) if entry.value == value => Some(Epoch(entry.revision.0)),
                _ => None,
            },
        };
        if epoch.is_none() {
            // A lease that is not given up runs out by itself.
            let _ = self.key_value.revoke_lease(lease).await;
        }
        let time_to_live = self.lease;
        epoch.map(|epoch| LeaseGrant {
            lease: lease.0,
            epoch,
            sent_at,
            time_to_live,
        })
    }

    async fn renew(&self, group: &GroupId, lease: u64) {
        let sent_at = self.shared.clock.now();
        self.shared.metrics.key_value_calls.inc();
        let renewed = self.key_value.renew_lease(LeaseId(lease)).await;
        let now = self.shared.clock.now();
        self.with_controller(group, |controller| match &renewed {
            Ok(true) => controller.lease_renewed(lease, sent_at),
            Ok(false) => controller.lease_lost(now),
            Err(_) => controller.lease_renewal_failed(),
        });
        match renewed {
            Ok(true) => {}
            Ok(false) => {
                log_event!(self.shared.logger, Event::LeaseLost, "group" => %group);
            }
            Err(error) => {
                log_event!(self.shared.logger, Event::KeyValueFailed, "error" => %error);
            }
        }
    }

    fn poll_due_loads(self: &Rc<Self>, now: MonotonicTime) {
        let due: Vec<GroupId> = {
            let mut state = self.state.borrow_mut();
            let state = &mut *state;
            let held = state
                .controllers
                .values()
                .filter(|one| one.grant(now).is_some());
            let due: Vec<GroupId> = held
                .map(|controller| controller.group().clone())
                .filter(|group| {
                    let polled_at = state.polled_at.get(group);
                    polled_at.is_none_or(|at| now.since(*at) >= self.load_poll)
                })
                .collect();
            for group in &due {
                state.polled_at.insert(group.clone(), now);
            }
            due
        };
        for group in due {
            let driver = Rc::clone(self);
            actix_rt::spawn(async move { driver.poll_loads(&group).await });
        }
    }

    /// Asks the group's engines for load and publishes the digest.
    async fn poll_loads(&self, group: &GroupId) {
        let engines: Vec<EngineId> = {
            let state = self.state.borrow();
            let controller = state.controllers.get(group);
            controller
                .map(|one| {
                    one.statuses()
                        .into_iter()
                        .map(|status| status.engine)
                        .collect()
                })
                .unwrap_or_default()
        };
        let calls = engines.iter().map(|engine| self.read_load(engine));
        let reports = futures_util::future::join_all(calls).await;
        let now = self.shared.clock.now();
        let mut state = self.state.borrow_mut();
        for load in reports.into_iter().flatten() {
            state
                .loads
                .insert(load.engine.clone(), LoadSample { load, at: now });
        }
        drop(state);
        self.publish_digest(group, &engines, now);
    }

    async fn read_load(&self, engine: &EngineId) -> Option<EngineLoad> {
        let client = self.client(engine)?;
        client.load().await.ok()
    }

    fn publish_digest(&self, group: &GroupId, engines: &[EngineId], now: MonotonicTime) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        let Some(grant) = state.controllers.get(group).and_then(|one| one.grant(now)) else {
            return;
        };
        let sequence = state.sequences.entry(group.clone()).or_default();
        *sequence = sequence.next();
        let Some(active) = &state.configured else {
            return;
        };
        let groups = &mut active.deployment.groups.iter();
        let Some(configured) = groups.find(|one| one.id() == *group) else {
            return;
        };
        let reports = engines.iter().filter_map(|engine| state.loads.get(engine));
        let reports: Vec<EngineDigest> = reports.map(|sample| engine_digest(sample, now)).collect();
        let digest = CompactDigest::pack(self.shared.node.clone(), configured, &reports);
        let Ok(payload) = rmp_serde::to_vec(&digest) else {
            return;
        };
        let version = RecordVersion {
            major: grant.epoch.0,
            minor: sequence.0,
        };
        let record = Record {
            key: RecordKey::GroupDigest(group.clone()),
            version,
            payload: Bytes::from(payload),
        };
        let mut cluster = self.cluster.borrow_mut();
        if let Err(error) = cluster.publish_digest(record, &configured.zone) {
            log_event!(self.shared.logger, Event::DatagramUnreadable, "error" => %error);
        }
    }

    fn client(&self, engine: &EngineId) -> Option<Rc<dyn Engine>> {
        let address = self.machines.borrow().engine(engine)?.address;
        Some(self.state.borrow_mut().clients.get(address))
    }

    fn with_controller(&self, group: &GroupId, change: impl FnOnce(&mut GroupController)) {
        if let Some(controller) = self.state.borrow_mut().controllers.get_mut(group) {
            change(controller);
        }
    }
}

fn holder_key(group: &GroupId) -> String {
    format!("groups/{group}/holder")
}

fn engine_digest(sample: &LoadSample, now: MonotonicTime) -> EngineDigest {
    EngineDigest {
        load: sample.load.clone(),
        age_ms: now.since(sample.at).as_millis() as u64,
        accepting: true,
    }
}

fn desired_engines(deployment: &Deployment, group: &Group) -> BTreeMap<EngineId, DesiredEngine> {
    let Some(pool) = deployment.pool(&group.pool) else {
        return BTreeMap::new();
    };
    let models: Vec<DesiredModel> = pool
        .models
        .iter()
        .filter_map(|name| deployment.model(name))
        .map(|model| DesiredModel {
            model: model.name.clone(),
            version: model.version.clone(),
            adapters: model
                .adapters
                .iter()
                .map(|adapter| (adapter.name.clone(), adapter.version.clone()))
                .collect(),
        })
        .collect();
    let desired = |engine: &EngineId| DesiredEngine {
        role: *group.fixed_roles.get(engine).unwrap_or(&pool.initial_role),
        models: models.clone(),
    };
    let engines = group.engines.iter();
    engines
        .map(|engine| (engine.clone(), desired(engine)))
        .collect()
}
