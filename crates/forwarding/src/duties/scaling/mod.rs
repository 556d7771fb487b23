//! Sets the number of engines in each zone, at the lease holder.

mod baseline;
pub(super) mod orders;
pub(super) mod stored_losses;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::duty_calls::{
    DutyAuthority, DutyCalls, DutyOutcome, EngineCountOrder, ProvisioningModel,
};
use dalestand_edge::{KeyValue, PlatformError};
use dalestand_planner::{
    Autoscaler, ClassWorkload, PoolWorkload, ScalingBounds, ScalingDecision, ScalingInputs,
    SpotLossTracker, ZoneEngines, ZoneSpotEngines,
};
use dalestand_routes::ScalingConfig;
use dalestand_routing::ClassFigures;
use dalestand_routing::staged::Stage;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{PoolName, ZoneName};
use error_stack::Report;

use self::baseline::{load_or_store_baseline, log_store_failure};
use self::orders::{DueOrder, EngineOrders, OrderOutcome};
use self::stored_losses::StoredLosses;
use crate::context::Context;
use crate::duties::outcome_label;
use crate::node::settings::ScalingMode;
use crate::roles::fleet_lease::FleetLease;
use crate::roles::fleet_lease::while_held;

/// How often demand and engines are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Limit on engines added or removed per second, and burst size: the number of changed entries that the
/// relays' tables carry per second (ten tables of 16 entries, each entry sent three times), so that all
/// nodes learn of leaving engines within the drain time.
const MAX_CHANGES_PER_S: f64 = 53.0;

/// Scaling state of one pool at the lease holder.
struct HolderState {
    /// The operator's own engine counts.
    baseline: BTreeMap<ZoneName, u32>,
    orders: EngineOrders,
    stored_losses: Option<StoredLosses>,
    /// Whether a loss is not stored yet.
    has_unstored_loss: bool,
}

/// Scaling state of one pool at a relay.
#[derive(Default)]
struct ScaledPool {
    autoscaler: Autoscaler,
    /// Present while this node may send orders.
    holder: Option<HolderState>,
}

/// The count nearest to `wanted` that differs from `from` by at most `max_change` engines.
pub(super) fn limit_change(from: u32, wanted: u32, max_change: u32) -> u32 {
    wanted.clamp(
        from.saturating_sub(max_change),
        from.saturating_add(max_change),
    )
}

struct Scaler {
    context: Rc<Context>,
    store: Rc<dyn KeyValue>,
    calls: Rc<dyn DutyCalls>,
    fleet_lease: FleetLease,
    pools: HashMap<PoolName, ScaledPool>,
    /// Number of engines that may be added or removed now.
    allowance: f64,
}

/// Sets engine counts while this node holds the lease; never returns. Each relay observes demand all the
/// time, so that a new lease holder can decide at once.
pub(crate) async fn scale_engines(
    context: Rc<Context>,
    store: Rc<dyn KeyValue>,
    calls: Rc<dyn DutyCalls>,
    fleet_lease: FleetLease,
) {
    let mut scaler = Scaler {
        context,
        store,
        calls,
        fleet_lease,
        pools: HashMap::new(),
        allowance: MAX_CHANGES_PER_S,
    };
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let refilled = scaler.allowance + MAX_CHANGES_PER_S * CHECK_INTERVAL.as_secs_f64();
        scaler.allowance = refilled.min(MAX_CHANGES_PER_S);
        scaler.check_pools().await;
    }
}

fn scaled_pools(context: &Context) -> Vec<(PoolName, ScalingConfig)> {
    let table = context.table();
    let pools = table.iter().flat_map(|table| table.pools());
    let scaled = pools.filter_map(|pool| Some((pool.name.clone(), pool.scaling.clone()?)));
    scaled.collect()
}

/// Workload of a pool, summed over all nodes; `None` if there are no figures.
fn pool_workload(context: &Context, pool: &PoolName) -> Option<PoolWorkload> {
    let mut classes = BTreeMap::new();
    for ((name, priority), figures) in context.sums.classes.borrow().totals() {
        if name == pool {
            classes.insert(*priority, class_workload(figures));
        }
    }
    if classes.is_empty() {
        return None;
    }
    let fleet = context.fleet();
    let engines = fleet.pool(pool);
    Some(PoolWorkload {
        classes,
        prefill_token_s: prefill_token_s(context),
        slots: engines.iter().map(|engine| f64::from(engine.slots)).sum(),
        engines: engines.len() as f64,
    })
}

fn class_workload(figures: &ClassFigures) -> ClassWorkload {
    ClassWorkload {
        asked_per_s: f64::from(figures.asked_per_s),
        begun_per_s: f64::from(figures.begun_per_s),
        busy_slots: f64::from(figures.busy_slots),
        prefill_tokens_per_s: f64::from(figures.prefill_tokens_per_s),
    }
}

/// Time in which an engine of usual speed prefills as many tokens as its KV cache holds; zero for engines
/// without prompts.
fn warm_up_time(context: &Context, pool: &PoolName) -> Duration {
    let table = context.table();
    let pool_config = table.as_ref().and_then(|table| table.pool(pool));
    let prompts = pool_config.and_then(|pool_config| pool_config.prompt_engine);
    let tokens = prompts.map_or(0.0, |engine| engine.memory_tokens as f64);
    // Falls back to zero if the product is not a valid duration.
    Duration::try_from_secs_f64(tokens * prefill_token_s(context)).unwrap_or_default()
}

/// Learned time to prefill one token, in seconds.
fn prefill_token_s(context: &Context) -> f64 {
    let speeds = &context.router.borrow().prefill_speeds;
    speeds.usual_s(Stage::Prefill, 1.0) - speeds.usual_s(Stage::Prefill, 0.0)
}

fn boot_time(config: &ScalingConfig) -> Duration {
    // Falls back to zero if the setting is not a valid duration.
    Duration::try_from_secs_f64(config.boot_s).unwrap_or_default()
}

fn bounds(config: &ScalingConfig) -> ScalingBounds {
    ScalingBounds {
        min: config.min,
        max: config.max,
        spot_price: config.spot_price,
    }
}

fn order_outcome(answered: &Result<DutyOutcome, Report<PlatformError>>) -> OrderOutcome {
    match answered {
        Ok(DutyOutcome::Accepted) => OrderOutcome::Accepted,
        Ok(DutyOutcome::Refused) => OrderOutcome::Refused,
        Err(error) if error.current_context().is_in_doubt() => OrderOutcome::InDoubt,
        Err(_) => OrderOutcome::NoEffect,
    }
}

impl Scaler {
    async fn check_pools(&mut self) {
        let now = self.context.now();
        let may_order = self.fleet_lease.active(now).is_some();
        if !may_order {
            self.pools.values_mut().for_each(|pool| pool.holder = None);
            self.context.scaling_decisions.borrow_mut().clear();
        }
        if !may_order && !self.context.dissemination.role(now).is_relay {
            self.pools.clear();
            return;
        }
        for (pool, config) in scaled_pools(&self.context) {
            self.observe_demand(&pool, &config);
            if may_order {
                self.scale_pool(&pool, &config).await;
            }
        }
    }

    /// Records the current demand, unless this node is isolated and knows only its own.
    fn observe_demand(&mut self, pool: &PoolName, config: &ScalingConfig) {
        let now = self.context.now();
        let state = self.pools.entry(pool.clone()).or_default();
        if self.context.dissemination.is_isolated(now) {
            return;
        }
        if let Some(workload) = pool_workload(&self.context, pool) {
            state.autoscaler.observe(now, workload, boot_time(config));
        }
    }

    async fn scale_pool(&mut self, pool: &PoolName, config: &ScalingConfig) {
        let serving = self.context.zone_engines(pool);
        if self
            .pools
            .get(pool)
            .is_none_or(|state| state.holder.is_none())
        {
            let Some(holder) = self.take_over(pool, &serving).await else {
                return;
            };
            self.pools.entry(pool.clone()).or_default().holder = Some(holder);
        }
        self.observe_losses(pool, &serving);
        self.send_due_orders(pool, config, &serving).await;
        // Last, so that a slow key-value service does not delay the replacement orders.
        self.store_losses(pool).await;
    }

    /// Sends the orders that are due, within the change limit.
    async fn send_due_orders(
        &mut self,
        pool: &PoolName,
        config: &ScalingConfig,
        serving: &BTreeMap<ZoneName, ZoneEngines>,
    ) {
        let Some(decision) = self.decide(pool, config, serving) else {
            return;
        };
        let orders = self.due_orders(pool, &decision);
        let decisions = &self.context.scaling_decisions;
        decisions
            .borrow_mut()
            .insert(pool.clone(), decision.clone());
        for order in orders {
            let count = limit_change(order.from, order.count, self.allowance as u32);
            if count == order.from && order.count != order.from {
                // The change limit is reached.
                return;
            }
            self.allowance -= f64::from(count.abs_diff(order.from));
            let order = DueOrder { count, ..order };
            if !self.send_order(pool, order, config, &decision).await {
                return;
            }
        }
    }

    /// State of a new lease holder: the baseline counts, and the losses that earlier holders stored.
    async fn take_over(
        &mut self,
        pool: &PoolName,
        serving: &BTreeMap<ZoneName, ZoneEngines>,
    ) -> Option<HolderState> {
        let logger = &self.context.logger;
        let baseline = load_or_store_baseline(logger, &*self.store, pool, serving).await?;
        let mut stored_losses = None;
        if self.context.settings.scaling_mode() == ScalingMode::Demand {
            match StoredLosses::read(&*self.store, pool).await {
                Ok((stored, record)) => {
                    stored_losses = Some(stored);
                    let state = self.pools.entry(pool.clone()).or_default();
                    state.autoscaler.losses = SpotLossTracker::from_record(record);
                }
                Err(error) => {
                    log_store_failure(logger, pool, "read losses", error.current_context())
                }
            }
        }
        Some(HolderState {
            baseline,
            orders: EngineOrders::default(),
            stored_losses,
            has_unstored_loss: false,
        })
    }

    fn observe_losses(&mut self, pool: &PoolName, serving: &BTreeMap<ZoneName, ZoneEngines>) {
        let now = self.context.now();
        let leaving = self.context.leaving_spot_engines(pool);
        let Some(state) = self.pools.get_mut(pool) else {
            return;
        };
        let Some(holder) = &mut state.holder else {
            return;
        };
        let zones = serving.keys().chain(leaving.keys());
        let zones = zones.map(|zone| {
            let spot = ZoneSpotEngines {
                serving: serving.get(zone).map_or(0, |engines| engines.spot),
                leaving: leaving.get(zone).copied().unwrap_or_default(),
                ordered: holder.orders.ordered(zone, ProvisioningModel::Spot),
            };
            (zone.clone(), spot)
        });
        if !state.autoscaler.losses.observe(now, &zones.collect()) {
            return;
        }
        let record = *state.autoscaler.losses.record();
        let logger = &self.context.logger;
        log_event!(logger, Event::SpotEnginesLost, "pool" => %pool, "losses" => record.losses,
            "zones_at_once" => record.zones_at_once, "leaving" => ?leaving);
        holder.has_unstored_loss = true;
    }

    /// Stores new losses. After a failed write, they are stored with the next loss.
    async fn store_losses(&mut self, pool: &PoolName) {
        let Some(state) = self.pools.get_mut(pool) else {
            return;
        };
        let Some(holder) = &mut state.holder else {
            return;
        };
        if !std::mem::take(&mut holder.has_unstored_loss) {
            return;
        }
        if let Some(stored) = &mut holder.stored_losses
            && let Err(error) = stored
                .write(&*self.store, state.autoscaler.losses.record())
                .await
        {
            let logger = &self.context.logger;
            log_store_failure(logger, pool, "write losses", error.current_context());
        }
    }

    fn decide(
        &self,
        pool: &PoolName,
        config: &ScalingConfig,
        serving: &BTreeMap<ZoneName, ZoneEngines>,
    ) -> Option<ScalingDecision> {
        let state = self.pools.get(pool)?;
        let holder = state.holder.as_ref()?;
        let now = self.context.now();
        let inputs = ScalingInputs {
            now,
            baseline: &holder.baseline,
            serving,
            spot_unavailable: &holder.orders.spot_unavailable(now),
            provisioned_on_demand: &holder
                .orders
                .provisioned_on_demand(&holder.baseline, serving),
            bounds: bounds(config),
            prices: &config.zone_prices,
            policy: self.context.settings.scaling_policy(),
            boot: boot_time(config),
            warm_up: warm_up_time(&self.context, pool),
        };
        Some(match self.context.settings.scaling_mode() {
            ScalingMode::Demand => state.autoscaler.decide(&inputs),
            ScalingMode::Fixed => Autoscaler::default().decide(&inputs),
        })
    }

    fn due_orders(&self, pool: &PoolName, decision: &ScalingDecision) -> Vec<DueOrder> {
        let holder = self.pools.get(pool).and_then(|state| state.holder.as_ref());
        let (Some(holder), Some(targets)) = (holder, &decision.targets) else {
            return Vec::new();
        };
        let now = self.context.now();
        holder.orders.due(now, &decision.standing, targets)
    }

    /// Sends an order; returns whether this node still holds the lease.
    async fn send_order(
        &mut self,
        pool: &PoolName,
        order: DueOrder,
        config: &ScalingConfig,
        decision: &ScalingDecision,
    ) -> bool {
        // The lease may have ended during the previous call.
        let Some(held) = self.fleet_lease.active(self.context.now()) else {
            return false;
        };
        let authority = DutyAuthority {
            holder: self.context.settings.node.as_str(),
            token: held.token,
        };
        let call = EngineCountOrder {
            pool: pool.clone(),
            zone: order.key.zone.clone(),
            provisioning: order.key.provisioning,
            count: order.count,
        };
        let sent = self.calls.set_engine_count(authority, &call);
        let now = || self.context.now();
        let answered = while_held(&self.fleet_lease, held.token, now, sent).await;
        let Some(answered) = answered else {
            return false;
        };
        let metrics = &self.context.metrics;
        metrics.duty_call("scaling", outcome_label(&answered));
        self.log_order(&call, held.token, &answered, decision);
        let now = self.context.now();
        let state = self.pools.get_mut(pool);
        if let Some(holder) = state.and_then(|state| state.holder.as_mut()) {
            let outcome = order_outcome(&answered);
            holder
                .orders
                .record_outcome(now, order.key, order.count, outcome, boot_time(config));
        }
        true
    }

    fn log_order(
        &self,
        order: &EngineCountOrder,
        token: u64,
        answered: &Result<DutyOutcome, Report<PlatformError>>,
        decision: &ScalingDecision,
    ) {
        let logger = &self.context.logger;
        match answered {
            Ok(outcome) => {
                let event = match outcome {
                    DutyOutcome::Accepted => Event::EngineCountOrdered,
                    DutyOutcome::Refused => Event::DutyRefused,
                };
                log_event!(logger, event, "duty" => "scaling", "pool" => %order.pool,
                    "zone" => %order.zone, "tenure" => ?order.provisioning, "count" => order.count,
                    "token" => token, "weighed" => %decision);
            }
            Err(error) => {
                log_event!(logger, Event::EngineCountFailed, "pool" => %order.pool,
                    "zone" => %order.zone, "tenure" => ?order.provisioning, "count" => order.count,
                    "step" => "send", "error" => %error.current_context(), "weighed" => %decision);
            }
        }
    }
}
