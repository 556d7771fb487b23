//! The holder of the fleet lease moves engines between prefill and decode as demand shifts.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_edge::routed::{RoleChangeOrder, RoleChangeOutcome};
use dalestand_engine_link::AllowedPaths;
use dalestand_planner::{
    PendingChanges, StageBalancer, StageBalancerConfig, StageChange, StageCounts, StageDemand,
    StageQueueTimes, StageUtilization,
};
use dalestand_routing::staged::{EngineKey, EnginePool, Stage, StagedEngine};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{MonotonicTime, PoolName, Role};
use futures_util::stream::{self, StreamExt as _};

use crate::context::Context;
use crate::roles::fleet_lease::{FleetLease, while_held};
use crate::serve::engine_call::call_engine;

/// How often demand is compared with the engines of each stage.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// An order without an answer may still be executed within this time, so its engine gets no other order
/// until then. After an engine accepted an order, routing avoids it for the same time, or until its
/// entry shows the new role.
const MAX_EXECUTION_DELAY: Duration = Duration::from_secs(14);

/// Time for which routing avoids an engine after an order without an answer. If the engine changes its
/// role later, it rejects requests for the old one.
const UNANSWERED_AVOID_TIME: Duration = Duration::from_millis(1_000);

/// Maximum number of concurrent orders; each makes two short calls to its engine. They take a few
/// milliseconds together, so that a hundred engines get their orders within a tenth of a second.
const MAX_CONCURRENT_ORDERS: usize = 16;

/// Changes the stages of engines while this node holds the fleet lease; never returns.
pub(crate) async fn control_roles(context: Rc<Context>, fleet_lease: FleetLease) {
    let mut pools: HashMap<PoolName, StageBalancer> = HashMap::new();
    let mut excluded_until: HashMap<EngineKey, MonotonicTime> = HashMap::new();
    let mut pending = PendingChanges::default();
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let now = context.now();
        pending.remove_expired(now);
        excluded_until.retain(|_, until| now < *until);
        if fleet_lease.active(now).is_none() {
            pools.clear();
            pending.clear();
            continue;
        }
        for pool in prompt_pools(&context) {
            let balancer = pools
                .entry(pool.clone())
                .or_insert_with(|| StageBalancer::new(StageBalancerConfig::default()));
            let Some((change, engines)) =
                next_change(&context, balancer, &pool, &excluded_until, &pending)
            else {
                continue;
            };
            balancer.record_order(now, change);
            for engine in &engines {
                excluded_until.insert(engine.key, now + MAX_EXECUTION_DELAY);
                pending.record_order(now, engine.key, change);
            }
            let not_sent = send_orders(&context, &fleet_lease, &pool, engines, change).await;
            for engine in not_sent {
                pending.remove(engine);
            }
        }
    }
}

/// Sends an order to each of `engines`, concurrently; returns those for which the order has no effect.
async fn send_orders(
    context: &Rc<Context>,
    fleet_lease: &FleetLease,
    pool: &PoolName,
    engines: Vec<StagedEngine>,
    change: StageChange,
) -> Vec<EngineKey> {
    let orders = engines.into_iter().map(|engine| async move {
        let may_take_effect = send_order(context, fleet_lease, pool, &engine, change).await;
        (!may_take_effect).then_some(engine.key)
    });
    let outcomes = stream::iter(orders).buffer_unordered(MAX_CONCURRENT_ORDERS);
    outcomes
        .filter_map(std::future::ready)
        .collect::<Vec<_>>()
        .await
}

fn prompt_pools(context: &Context) -> Vec<PoolName> {
    let table = context.table();
    let pools = table.iter().flat_map(|table| table.pools());
    let prompt_pools = pools.filter(|pool| pool.prompt_engine.is_some());
    prompt_pools.map(|pool| pool.name.clone()).collect()
}

/// The change that a pool needs now and the engines to change, the least loaded first.
fn next_change(
    context: &Context,
    balancer: &mut StageBalancer,
    pool: &PoolName,
    excluded_until: &HashMap<EngineKey, MonotonicTime>,
    pending: &PendingChanges<EngineKey>,
) -> Option<(StageChange, Vec<StagedEngine>)> {
    let now = context.now();
    let fleet = context.fleet();
    let engines = fleet.pool(pool);
    let stage = |engine: &StagedEngine| match pending.get(now, engine.key) {
        Some(StageChange::ToPrefill) => Stage::Prefill,
        Some(StageChange::ToDecode) => Stage::Decode,
        None => engine.stage,
    };
    let count = |wanted| {
        let of_stage = engines.iter().filter(|engine| stage(engine) == wanted);
        of_stage.count()
    };
    let counts = StageCounts {
        prefill: count(Stage::Prefill),
        decode: count(Stage::Decode),
    };
    let demand = context.demand.borrow_mut().total(now, pool);
    let queues = queue_times(context, engines, stage);
    let utilization = stage_utilization(context, engines, counts, &demand);
    let shift = balancer.decide(now, &demand, counts, queues, utilization)?;
    let change = shift.change;
    let from = match change {
        StageChange::ToPrefill => Stage::Decode,
        StageChange::ToDecode => Stage::Prefill,
    };
    let router = context.router.borrow();
    let candidates = engines
        .iter()
        .filter(|engine| engine.stage == from && !excluded_until.contains_key(&engine.key));
    let mut candidates: Vec<&StagedEngine> = candidates.collect();
    candidates.sort_by_cached_key(|engine| {
        let work = router.work.total(engine.key);
        (work.unprefilled_tokens, work.requests, engine.key)
    });
    candidates.truncate(shift.engines);
    let first = candidates.first()?;
    log_event!(context.logger, Event::RoleDecided, "pool" => %pool, "engine" => &*first.run,
        "engines" => candidates.len(), "change" => ?change, "prefill" => counts.prefill, "decode" => counts.decode,
        "prefill_queue_ms" => (queues.prefill_s * 1_000.0) as u64,
        "decode_queue_ms" => (queues.decode_s * 1_000.0) as u64,
        "disaggregated_tokens_per_s" => demand.disaggregated_tokens_per_s as u64,
        "colocated_tokens_per_s" => demand.colocated_tokens_per_s as u64);
    Some((change, candidates.into_iter().cloned().collect()))
}

/// Utilization of the engines of each stage.
fn stage_utilization(
    context: &Context,
    engines: &EnginePool,
    counts: StageCounts,
    demand: &StageDemand,
) -> StageUtilization {
    let router = context.router.borrow();
    let prefill_token_s = |stage| {
        let speeds = &router.prefill_speeds;
        speeds.usual_s(stage, 1.0) - speeds.usual_s(stage, 0.0)
    };
    let decode = || {
        let engines = engines.iter();
        engines.filter(|engine| engine.stage == Stage::Decode)
    };
    let requests = decode().map(|engine| f64::from(router.work.total(engine.key).requests));
    let slots = decode().map(|engine| f64::from(engine.slots));
    let slot_utilization = requests.sum::<f64>() / slots.sum::<f64>().max(1.0);
    let disaggregated = demand.disaggregated_tokens_per_s * prefill_token_s(Stage::Prefill);
    let colocated = demand.colocated_tokens_per_s * prefill_token_s(Stage::Decode);
    StageUtilization {
        prefill: disaggregated / counts.prefill.max(1) as f64,
        decode: slot_utilization.max(colocated / counts.decode.max(1) as f64),
    }
}

/// Mean queueing time at the engines of each stage.
fn queue_times(
    context: &Context,
    engines: &EnginePool,
    stage: impl Fn(&StagedEngine) -> Stage,
) -> StageQueueTimes {
    let router = context.router.borrow();
    let mean_s = |wanted| {
        let of_stage = engines.iter().filter(|engine| stage(engine) == wanted);
        let queued: Vec<f64> = of_stage
            .map(|engine| {
                let unprefilled = router.work.total(engine.key).unprefilled_tokens as f64;
                let prefill_s =
                    |tokens| router.prefill_speeds.expected_s(engine.key, wanted, tokens);
                prefill_s(unprefilled) - prefill_s(0.0)
            })
            .collect();
        queued.iter().sum::<f64>() / queued.len().max(1) as f64
    };
    StageQueueTimes {
        prefill_s: mean_s(Stage::Prefill),
        decode_s: mean_s(Stage::Decode),
    }
}

/// Engines take orders of one node only, which they must not see come from the machine of another.
const ORDER_PATHS: AllowedPaths = AllowedPaths::DirectOnly;

/// Sends the order; returns whether the engine accepted it or may still execute it.
async fn send_order(
    context: &Rc<Context>,
    fleet_lease: &FleetLease,
    pool: &PoolName,
    engine: &StagedEngine,
    change: StageChange,
) -> bool {
    let Some(sequence) = read_accepted_orders(context, pool, engine).await else {
        log_event!(context.logger, Event::EngineUnresponsive, "engine" => &*engine.run);
        return false;
    };
    // The lease may have ended during the call above.
    let Some(held) = fleet_lease.active(context.now()) else {
        return false;
    };
    let order = RoleChangeOrder {
        holder: context.settings.node.as_str(),
        token: held.token,
        sequence,
        run: &engine.run,
        role: match change {
            StageChange::ToPrefill => Role::Prefill,
            StageChange::ToDecode => Role::Decode,
        },
    };
    let (head, body) = context.dialect.role_change_order(&order);
    let sent = call_engine(context, pool, engine, head, body, ORDER_PATHS);
    let answered = while_held(fleet_lease, held.token, || context.now(), sent).await;
    let answered = answered.flatten();
    // An order without an answer may be executed later, or never.
    let mut avoid_time = UNANSWERED_AVOID_TIME;
    let outcome = answered.map(|(status, _)| context.dialect.read_role_change_outcome(status));
    match outcome {
        Some(RoleChangeOutcome::Refused(status)) => {
            log_event!(context.logger, Event::OrderRefused, "engine" => &*engine.run,
                "token" => held.token, "sequence" => sequence, "status" => status);
            return false;
        }
        Some(RoleChangeOutcome::Accepted) => {
            avoid_time = MAX_EXECUTION_DELAY;
            log_event!(context.logger, Event::OrderSent, "engine" => &*engine.run,
                "token" => held.token, "sequence" => sequence, "role" => %order.role);
        }
        None => {
            log_event!(context.logger, Event::EngineUnresponsive, "engine" => &*engine.run,
                "token" => held.token, "sequence" => sequence);
        }
    }
    context.begin_role_change(engine.key, avoid_time);
    true
}

/// Number of orders that the engine has accepted, from its report; `None` if the report cannot be read.
async fn read_accepted_orders(
    context: &Rc<Context>,
    pool: &PoolName,
    engine: &StagedEngine,
) -> Option<u64> {
    let head = context.dialect.report_request();
    let (_, body) = call_engine(context, pool, engine, head, Bytes::new(), ORDER_PATHS).await?;
    context.dialect.read_report_sequence(&body)
}
