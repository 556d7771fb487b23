//! The holder of the lease sets the number of engines of each zone.

pub(super) mod kept_losses;
pub(super) mod orders;
mod own_numbers;

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::duty_calls::{
    DutyAuthority, DutyCalls, DutyOutcome, EngineCountOrder, EngineTenure,
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

use self::kept_losses::KeptLosses;
use self::orders::{DueOrder, EngineOrders, OrderOutcome};
use self::own_numbers::{log_unkept, own_numbers};
use crate::context::Context;
use crate::duties::outcome_label;
use crate::node::settings::ScalingMode;
use crate::roles::authority::Authority;
use crate::roles::authority::while_held;

/// How often the engines are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Engines that may come or go in a second, and at once: what relays' tables carry of changed entries
/// (16 a table, each three times, ten tables a second), so that nodes hear of engines that leave within
/// the drain bound. Where 3,000 were replaced at once, members heard of some after 4.7 s.
const CHANGES_PER_S: f64 = 53.0;

/// What a holder keeps of one pool.
struct HeldPool {
    own: BTreeMap<ZoneName, u32>,
    orders: EngineOrders,
    kept_losses: Option<KeptLosses>,
    /// A loss is not written yet.
    has_new_loss: bool,
}

/// What a relay knows of one pool.
#[derive(Default)]
struct ScaledPool {
    demand: Autoscaler,
    /// While this node may order.
    held: Option<HeldPool>,
}

/// The number on the way from `from` to `wanted` that changes `most` engines at most.
pub(super) fn step(from: u32, wanted: u32, most: u32) -> u32 {
    wanted.clamp(from.saturating_sub(most), from.saturating_add(most))
}

struct Scaler {
    context: Rc<Context>,
    store: Rc<dyn KeyValue>,
    calls: Rc<dyn DutyCalls>,
    authority: Authority,
    pools: HashMap<PoolName, ScaledPool>,
    /// Engines that may come or go now.
    allowance: f64,
}

/// Sets numbers of engines while this node holds the lease, for as long as it is polled. While it is a relay, and so
/// may take the lease, it follows the demand: a successor knows what its predecessor knew.
pub(crate) async fn scale_engines(
    context: Rc<Context>,
    store: Rc<dyn KeyValue>,
    calls: Rc<dyn DutyCalls>,
    authority: Authority,
) {
    let mut scaler = Scaler {
        context,
        store,
        calls,
        authority,
        pools: HashMap::new(),
        allowance: CHANGES_PER_S,
    };
    loop {
        actix_rt::time::sleep(LOOK_INTERVAL).await;
        let refilled = scaler.allowance + CHANGES_PER_S * LOOK_INTERVAL.as_secs_f64();
        scaler.allowance = refilled.min(CHANGES_PER_S);
        scaler.look().await;
    }
}

fn scaled_pools(context: &Context) -> Vec<(PoolName, ScalingConfig)> {
    let table = context.table();
    let pools = table.iter().flat_map(|table| table.pools());
    let scaled = pools.filter_map(|pool| Some((pool.name.clone(), pool.scaling.clone()?)));
    scaled.collect()
}

/// What the engines of a pool do and are asked to do, over all nodes; `None` if no figure is known.
fn pool_work(context: &Context, pool: &PoolName) -> Option<PoolWorkload> {
    let mut classes = BTreeMap::new();
    for ((of, priority), figures) in context.sums.classes.borrow().totals() {
        if of == pool {
            classes.insert(*priority, class_work(figures));
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

fn class_work(figures: &ClassFigures) -> ClassWorkload {
    ClassWorkload {
        asked_per_s: f64::from(figures.asked_per_s),
        begun_per_s: f64::from(figures.begun_per_s),
        busy_slots: f64::from(figures.busy_slots),
        prefill_tokens_per_s: f64::from(figures.prefill_tokens_per_s),
    }
}

/// Time in which an engine of usual speed prefills what fills its memory; none for engines without prompts.
fn warm_up(context: &Context, pool: &PoolName) -> Duration {
    let table = context.table();
    let terms = table.as_ref().and_then(|table| table.pool(pool));
    let prompts = terms.and_then(|terms| terms.prompt_engine);
    let tokens = prompts.map_or(0.0, |engine| engine.memory_tokens as f64);
    // A time that is none is taken for no time.
    Duration::try_from_secs_f64(tokens * prefill_token_s(context)).unwrap_or_default()
}

/// Time to prefill one token, as learnt, in seconds.
fn prefill_token_s(context: &Context) -> f64 {
    let speeds = &context.router.borrow().prefill_speeds;
    speeds.usual_s(Stage::Prefill, 1.0) - speeds.usual_s(Stage::Prefill, 0.0)
}

fn boot(terms: &ScalingConfig) -> Duration {
    // A time that is none is taken for no time: orders are looked at again after the margin.
    Duration::try_from_secs_f64(terms.boot_s).unwrap_or_default()
}

fn bounds(terms: &ScalingConfig) -> ScalingBounds {
    ScalingBounds {
        min: terms.min,
        max: terms.max,
        spot_price: terms.spot_price,
    }
}

fn order_outcome(answered: &Result<DutyOutcome, Report<PlatformError>>) -> OrderOutcome {
    match answered {
        Ok(DutyOutcome::Taken) => OrderOutcome::Taken,
        Ok(DutyOutcome::Refused) => OrderOutcome::Refused,
        Err(error) if error.current_context().is_in_doubt() => OrderOutcome::InDoubt,
        Err(_) => OrderOutcome::NotSent,
    }
}

impl Scaler {
    async fn look(&mut self) {
        let now = self.context.now();
        let may_order = self.authority.mandate(now).is_some();
        if !may_order {
            self.pools.values_mut().for_each(|pool| pool.held = None);
            self.context.scaling_accounts.borrow_mut().clear();
        }
        if !may_order && !self.context.dissemination.role(now).is_relay {
            self.pools.clear();
            return;
        }
        for (pool, terms) in scaled_pools(&self.context) {
            self.follow_demand(&pool, &terms);
            if may_order {
                self.look_at(&pool, &terms).await;
            }
        }
    }

    /// A node that hears no others knows its own figures only: they are not the fleet's.
    fn follow_demand(&mut self, pool: &PoolName, terms: &ScalingConfig) {
        let now = self.context.now();
        let known = self.pools.entry(pool.clone()).or_default();
        if self.context.dissemination.is_isolated(now) {
            return;
        }
        if let Some(work) = pool_work(&self.context, pool) {
            known.demand.observe(now, work, boot(terms));
        }
    }

    async fn look_at(&mut self, pool: &PoolName, terms: &ScalingConfig) {
        let standing = self.context.zone_engines(pool);
        if self
            .pools
            .get(pool)
            .is_none_or(|known| known.held.is_none())
        {
            let Some(held) = self.take_over(pool, &standing).await else {
                return;
            };
            self.pools.entry(pool.clone()).or_default().held = Some(held);
        }
        self.follow_losses(pool, &standing);
        self.order(pool, terms, &standing).await;
        // Last: a store that does not answer holds up no order for what was lost.
        self.keep_losses(pool).await;
    }

    /// Gives the orders that are due.
    async fn order(
        &mut self,
        pool: &PoolName,
        terms: &ScalingConfig,
        standing: &BTreeMap<ZoneName, ZoneEngines>,
    ) {
        let Some(account) = self.decide(pool, terms, standing) else {
            return;
        };
        let orders = self.due(pool, &account);
        let accounts = &self.context.scaling_accounts;
        accounts.borrow_mut().insert(pool.clone(), account.clone());
        for order in orders {
            let count = step(order.from, order.count, self.allowance as u32);
            if count == order.from && order.count != order.from {
                // The rest of the allowance of this second is spent.
                return;
            }
            self.allowance -= f64::from(count.abs_diff(order.from));
            let order = DueOrder { count, ..order };
            if !self.give(pool, order, terms, &account).await {
                return;
            }
        }
    }

    /// What a new holder needs: the operator's own numbers, and the losses that former holders saw.
    async fn take_over(
        &mut self,
        pool: &PoolName,
        standing: &BTreeMap<ZoneName, ZoneEngines>,
    ) -> Option<HeldPool> {
        let logger = &self.context.logger;
        let own = own_numbers(logger, &*self.store, pool, standing).await?;
        let mut kept_losses = None;
        if self.context.settings.scaling_mode() == ScalingMode::Demand {
            match KeptLosses::read(&*self.store, pool).await {
                Ok((kept, record)) => {
                    kept_losses = Some(kept);
                    let known = self.pools.entry(pool.clone()).or_default();
                    known.demand.losses = SpotLossTracker::from_record(record);
                }
                Err(error) => log_unkept(logger, pool, "read losses", error.current_context()),
            }
        }
        Some(HeldPool {
            own,
            orders: EngineOrders::default(),
            kept_losses,
            has_new_loss: false,
        })
    }

    fn follow_losses(&mut self, pool: &PoolName, standing: &BTreeMap<ZoneName, ZoneEngines>) {
        let now = self.context.now();
        let leaving = self.context.leaving_spot_engines(pool);
        let Some(known) = self.pools.get_mut(pool) else {
            return;
        };
        let Some(held) = &mut known.held else {
            return;
        };
        let zones = standing.keys().chain(leaving.keys());
        let zones = zones.map(|zone| {
            let spot = ZoneSpotEngines {
                serving: standing.get(zone).map_or(0, |engines| engines.spot),
                leaving: leaving.get(zone).copied().unwrap_or_default(),
                ordered: held.orders.ordered(zone, EngineTenure::Spot),
            };
            (zone.clone(), spot)
        });
        if !known.demand.losses.observe(now, &zones.collect()) {
            return;
        }
        let record = *known.demand.losses.record();
        let logger = &self.context.logger;
        log_event!(logger, Event::SpotEnginesLost, "pool" => %pool, "losses" => record.losses,
            "zones_at_once" => record.zones_at_once, "leaving" => ?leaving);
        held.has_new_loss = true;
    }

    /// Writes losses that are new. What could not be written goes out with the next.
    async fn keep_losses(&mut self, pool: &PoolName) {
        let Some(known) = self.pools.get_mut(pool) else {
            return;
        };
        let Some(held) = &mut known.held else {
            return;
        };
        if !std::mem::take(&mut held.has_new_loss) {
            return;
        }
        if let Some(kept) = &mut held.kept_losses
            && let Err(error) = kept.write(&*self.store, known.demand.losses.record()).await
        {
            let logger = &self.context.logger;
            log_unkept(logger, pool, "write losses", error.current_context());
        }
    }

    fn decide(
        &self,
        pool: &PoolName,
        terms: &ScalingConfig,
        serving: &BTreeMap<ZoneName, ZoneEngines>,
    ) -> Option<ScalingDecision> {
        let known = self.pools.get(pool)?;
        let held = known.held.as_ref()?;
        let now = self.context.now();
        let inputs = ScalingInputs {
            now,
            baseline: &held.own,
            serving,
            spot_unavailable: &held.orders.without_spot(now),
            provisioned_on_demand: &held.orders.on_demand(&held.own, serving),
            bounds: bounds(terms),
            prices: &terms.zone_prices,
            policy: self.context.settings.scaling_policy(),
            boot: boot(terms),
            warm_up: warm_up(&self.context, pool),
        };
        Some(match self.context.settings.scaling_mode() {
            ScalingMode::Demand => known.demand.decide(&inputs),
            ScalingMode::Fixed => Autoscaler::default().decide(&inputs),
        })
    }

    fn due(&self, pool: &PoolName, account: &ScalingDecision) -> Vec<DueOrder> {
        let known = self.pools.get(pool).and_then(|known| known.held.as_ref());
        let (Some(held), Some(targets)) = (known, &account.targets) else {
            return Vec::new();
        };
        let now = self.context.now();
        held.orders.due(now, &account.standing, targets)
    }

    /// Gives an order; whether the lease still stands.
    async fn give(
        &mut self,
        pool: &PoolName,
        order: DueOrder,
        terms: &ScalingConfig,
        account: &ScalingDecision,
    ) -> bool {
        // Looked at again right before the call.
        let Some(mandate) = self.authority.mandate(self.context.now()) else {
            return false;
        };
        let authority = DutyAuthority {
            holder: self.context.settings.node.as_str(),
            token: mandate.token,
        };
        let call = EngineCountOrder {
            pool: pool.clone(),
            zone: order.key.zone.clone(),
            tenure: order.key.tenure,
            count: order.count,
        };
        let sent = self.calls.set_engine_count(authority, &call);
        let now = || self.context.now();
        let answered = while_held(&self.authority, mandate.token, now, sent).await;
        let Some(answered) = answered else {
            return false;
        };
        let metrics = &self.context.metrics;
        metrics.duty_call("scaling", outcome_label(&answered));
        self.log_order(&call, mandate.token, &answered, account);
        let now = self.context.now();
        let known = self.pools.get_mut(pool);
        if let Some(held) = known.and_then(|known| known.held.as_mut()) {
            let outcome = order_outcome(&answered);
            held.orders
                .answered(now, order.key, order.count, outcome, boot(terms));
        }
        true
    }

    fn log_order(
        &self,
        order: &EngineCountOrder,
        token: u64,
        answered: &Result<DutyOutcome, Report<PlatformError>>,
        account: &ScalingDecision,
    ) {
        let logger = &self.context.logger;
        match answered {
            Ok(outcome) => {
                let event = match outcome {
                    DutyOutcome::Taken => Event::EngineCountOrdered,
                    DutyOutcome::Refused => Event::DutyRefused,
                };
                log_event!(logger, event, "duty" => "scaling", "pool" => %order.pool,
                    "zone" => %order.zone, "tenure" => ?order.tenure, "count" => order.count,
                    "token" => token, "weighed" => %account);
            }
            Err(error) => {
                log_event!(logger, Event::EngineCountFailed, "pool" => %order.pool,
                    "zone" => %order.zone, "tenure" => ?order.tenure, "count" => order.count,
                    "step" => "send", "error" => %error.current_context(), "weighed" => %account);
            }
        }
    }
}
