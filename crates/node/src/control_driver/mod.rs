//! Runs the group controllers: leases, orders, load polling and digests.

mod leases;
mod loads;
mod orders;
mod roles;

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dalestand_cluster::Cluster;
use dalestand_config::Group;
use dalestand_control::{Action, EngineStatus, GroupController};
use dalestand_edge::Engine;
use dalestand_gateway::{ActiveConfiguration, SharedState};
use dalestand_types::{EngineId, EngineLoad, Epoch, GroupId, MonotonicTime, NodeId, Sequence};

use crate::desired::desired_engines;
use crate::drains::Drains;
use crate::engines::EngineClients;
use crate::fleet::DigestTable;
use crate::lease_service::LeaseService;
use crate::machines::Machines;
use crate::peer_calls::PeerClient;
use crate::role_planning::RolePlanning;
use crate::token_rates::TokenRates;

/// Time between two ticks of the controllers.
const TICK: Duration = Duration::from_millis(50);

/// Delay after the first configuration before leases are acquired, in which a starting node learns
/// of other nodes and of lease holders.
const START_GRACE: Duration = Duration::from_millis(1_000);

struct LoadSample {
    load: EngineLoad,
    received_at: MonotonicTime,
    rates: TokenRates,
}

#[derive(Default)]
struct State {
    controllers: BTreeMap<GroupId, GroupController>,
    configuration: Option<Arc<ActiveConfiguration>>,
    /// When the lease of each group's holder is assumed to have expired, unless a digest of the
    /// group is received before.
    holder_expires_at: BTreeMap<GroupId, MonotonicTime>,
    loads: HashMap<EngineId, LoadSample>,
    sequences: HashMap<GroupId, Sequence>,
    polled_at: HashMap<GroupId, MonotonicTime>,
    clients: EngineClients,
    planning: RolePlanning,
    machine_change_count: u64,
    digests: DigestTable,
}

/// Runs the controllers of all groups on one node.
pub(crate) struct ControlDriver {
    shared: Arc<SharedState>,
    leases: LeaseService,
    peers: PeerClient,
    cluster: Rc<RefCell<Cluster>>,
    machines: Rc<RefCell<Machines>>,
    drains: Rc<Drains>,
    load_poll_interval: Duration,
    state: RefCell<State>,
}

impl ControlDriver {
    /// A driver without any groups.
    pub(crate) fn new(
        shared: Arc<SharedState>,
        leases: LeaseService,
        peers: PeerClient,
        cluster: Rc<RefCell<Cluster>>,
        machines: Rc<RefCell<Machines>>,
        drains: Rc<Drains>,
        load_poll_interval: Duration,
    ) -> Rc<Self> {
        let state = RefCell::new(State::default());
        Rc::new(Self {
            shared,
            leases,
            peers,
            cluster,
            machines,
            drains,
            load_poll_interval,
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

    /// Group, lease epoch and state of every engine whose group's lease this node holds.
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

    /// Lease holder of each group according to its last digest.
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

    fn tick(self: &Rc<Self>) {
        let now = self.shared.clock.now();
        self.configure(now);
        self.refresh_view(now);
        self.postpone_acquires(now);
        if self.shared.stopping() {
            return;
        }
        self.plan_roles(now);
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
            actix_rt::spawn(async move { driver.run_action(group, action).await });
        }
        self.poll_due_loads(now);
    }

    /// Updates the controllers if the active configuration changed.
    fn configure(&self, now: MonotonicTime) {
        let Some(active) = self.shared.configuration.load_full() else {
            return;
        };
        let mut state = self.state.borrow_mut();
        let unchanged = state
            .configuration
            .as_ref()
            .is_some_and(|known| known.revision == active.revision);
        if unchanged {
            return;
        }
        let deployment = &active.deployment;
        let first_acquire_at = now + START_GRACE;
        let state = &mut *state;
        state.planning.configure(deployment);
        for group in &deployment.groups {
            state
                .holder_expires_at
                .entry(group.id())
                .or_insert(first_acquire_at);
            let controller = state
                .controllers
                .entry(group.id())
                .or_insert_with(|| GroupController::new(group.id(), first_acquire_at));
            let planned = state.planning.roles(&group.id());
            let desired = desired_engines(deployment, group, &planned);
            let max_changes = deployment.roles.max_changes_at_once as usize;
            controller.set_desired(now, active.revision, desired, max_changes);
        }
        let groups: Vec<GroupId> = deployment.groups.iter().map(Group::id).collect();
        state.controllers.retain(|group, _| groups.contains(group));
        state.configuration = Some(active);
    }

    fn refresh_view(&self, now: MonotonicTime) {
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.digests.refresh(now, &mut self.cluster.borrow_mut());
        let leases_held = state
            .controllers
            .values()
            .filter(|controller| controller.grant(now).is_some())
            .count();
        self.shared.metrics.leases.set(leases_held as i64);
        let machines = self.machines.borrow();
        if state.machine_change_count != machines.change_count() {
            state.machine_change_count = machines.change_count();
            state
                .clients
                .retain(|address| machines.uses_address(address));
        }
        if let Some(active) = &state.configuration {
            let deployment = &active.deployment;
            let view = state
                .digests
                .view(now, active.revision, deployment, &machines);
            if let Some(view) = view {
                self.shared.fleet.store(Arc::new(view));
            }
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
