//! The holder of the authority changes the stages of engines as the demand shifts.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_edge::routed::{StageOrder, StageOrderOutcome};
use dalestand_planner::{
    PendingChanges, StageBalancer, StageBalancerConfig, StageChange, StageCounts, StageDemand,
    StageQueueTimes, StageUtilization,
};
use dalestand_routing::staged::{EngineKey, EnginePool, Stage, StagedEngine};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{MonotonicTime, PoolName, Role};
use futures_util::stream::{self, StreamExt as _};

use crate::context::Context;
use crate::roles::authority::{Authority, while_held};
use crate::serve::engine_call::call_engine;

/// How often the demand is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// An engine whose order got no answer may still carry it out; it is given no other order for this
/// long. One that took its order is avoided for as long, unless its entry shows the change before.
const IN_DOUBT: Duration = Duration::from_secs(14);

/// An engine whose order got no answer is avoided for this long; if it still changes later, its
/// refusals say so.
const UNANSWERED: Duration = Duration::from_millis(1_000);

/// Orders under way at a time. An order is two calls to its engine, a few milliseconds together: so many
/// at once are given to a hundred engines in a tenth of a second.
const ORDERS_AT_ONCE: usize = 16;

/// Changes stages for as long as it is polled.
pub(crate) async fn control_roles(context: Rc<Context>, authority: Authority) {
    let mut pools: HashMap<PoolName, StageBalancer> = HashMap::new();
    let mut left_alone: HashMap<EngineKey, MonotonicTime> = HashMap::new();
    let mut under_way = PendingChanges::default();
    loop {
        actix_rt::time::sleep(LOOK_INTERVAL).await;
        let now = context.now();
        under_way.remove_expired(now);
        left_alone.retain(|_, until| now < *until);
        if authority.mandate(now).is_none() {
            pools.clear();
            under_way.clear();
            continue;
        }
        for pool in prompt_pools(&context) {
            let balance = pools
                .entry(pool.clone())
                .or_insert_with(|| StageBalancer::new(StageBalancerConfig::default()));
            let Some((change, engines)) = due(&context, balance, &pool, &left_alone, &under_way)
            else {
                continue;
            };
            balance.record_order(now, change);
            for engine in &engines {
                left_alone.insert(engine.key, now + IN_DOUBT);
                under_way.record_order(now, engine.key, change);
            }
            let refused = order_all(&context, &authority, &pool, engines, change).await;
            for engine in refused {
                under_way.remove(engine);
            }
        }
    }
}

/// Gives an order to each of `engines`, some at a time; yields those that have not taken it.
async fn order_all(
    context: &Rc<Context>,
    authority: &Authority,
    pool: &PoolName,
    engines: Vec<StagedEngine>,
    change: StageChange,
) -> Vec<EngineKey> {
    let orders = engines.into_iter().map(|engine| async move {
        let is_taken = order(context, authority, pool, &engine, change).await;
        (!is_taken).then_some(engine.key)
    });
    let outcomes = stream::iter(orders).buffer_unordered(ORDERS_AT_ONCE);
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

/// The change that is due in a pool, with the engines that have the least to end first.
fn due(
    context: &Context,
    balance: &mut StageBalancer,
    pool: &PoolName,
    left_alone: &HashMap<EngineKey, MonotonicTime>,
    under_way: &PendingChanges<EngineKey>,
) -> Option<(StageChange, Vec<StagedEngine>)> {
    let now = context.now();
    let fleet = context.fleet();
    let engines = fleet.pool(pool);
    let stage = |engine: &StagedEngine| match under_way.get(now, engine.key) {
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
    let queues = queues(context, engines, stage);
    let in_use = stage_use(context, engines, counts, &demand);
    let shift = balance.decide(now, &demand, counts, queues, in_use)?;
    let change = shift.change;
    let from = match change {
        StageChange::ToPrefill => Stage::Decode,
        StageChange::ToDecode => Stage::Prefill,
    };
    let router = context.router.borrow();
    let may_change = engines
        .iter()
        .filter(|engine| engine.stage == from && !left_alone.contains_key(&engine.key));
    let mut may_change: Vec<&StagedEngine> = may_change.collect();
    may_change.sort_by_cached_key(|engine| {
        let work = router.work.total(engine.key);
        (work.unread_tokens, work.requests, engine.key)
    });
    may_change.truncate(shift.engines);
    let first = may_change.first()?;
    log_event!(context.logger, Event::RoleDecided, "pool" => %pool, "engine" => &*first.run,
        "engines" => may_change.len(), "change" => ?change, "prefill" => counts.prefill, "decode" => counts.decode,
        "prefill_queue_ms" => (queues.prefill_s * 1_000.0) as u64,
        "decode_queue_ms" => (queues.decode_s * 1_000.0) as u64,
        "disaggregated_tokens_per_s" => demand.disaggregated_tokens_per_s as u64,
        "colocated_tokens_per_s" => demand.colocated_tokens_per_s as u64);
    Some((change, may_change.into_iter().cloned().collect()))
}

/// How far the engines of each stage are in use.
fn stage_use(
    context: &Context,
    engines: &EnginePool,
    counts: StageCounts,
    demand: &StageDemand,
) -> StageUtilization {
    let router = context.router.borrow();
    let token_s = |stage| {
        let speeds = &router.prefill_speeds;
        speeds.usual_s(stage, 1.0) - speeds.usual_s(stage, 0.0)
    };
    let decode = || {
        let engines = engines.iter();
        engines.filter(|engine| engine.stage == Stage::Decode)
    };
    let requests = decode().map(|engine| f64::from(router.work.total(engine.key).requests));
    let slots = decode().map(|engine| f64::from(engine.slots));
    let slots_taken = requests.sum::<f64>() / slots.sum::<f64>().max(1.0);
    let disaggregated = demand.disaggregated_tokens_per_s * token_s(Stage::Prefill);
    let colocated = demand.colocated_tokens_per_s * token_s(Stage::Decode);
    StageUtilization {
        prefill: disaggregated / counts.prefill.max(1) as f64,
        decode: slots_taken.max(colocated / counts.decode.max(1) as f64),
    }
}

/// Mean time of the queues at the engines of each stage.
fn queues(
    context: &Context,
    engines: &EnginePool,
    stage: impl Fn(&StagedEngine) -> Stage,
) -> StageQueueTimes {
    let router = context.router.borrow();
    let mean_s = |wanted| {
        let of_stage = engines.iter().filter(|engine| stage(engine) == wanted);
        let queued: Vec<f64> = of_stage
            .map(|engine| {
                let unread = router.work.total(engine.key).unread_tokens as f64;
                let prefill_s =
                    |tokens| router.prefill_speeds.expected_s(engine.key, wanted, tokens);
                prefill_s(unread) - prefill_s(0.0)
            })
            .collect();
        queued.iter().sum::<f64>() / queued.len().max(1) as f64
    };
    StageQueueTimes {
        prefill_s: mean_s(Stage::Prefill),
        decode_s: mean_s(Stage::Decode),
    }
}

/// Gives the order; whether the engine has taken it or may have.
async fn order(
    context: &Rc<Context>,
    authority: &Authority,
    pool: &PoolName,
    engine: &StagedEngine,
    change: StageChange,
) -> bool {
    let Some(sequence) = read_sequence(context, pool, engine).await else {
        log_event!(context.logger, Event::EngineUnresponsive, "engine" => &*engine.run);
        return false;
    };
    // Looked at again right before the order goes out.
    let Some(mandate) = authority.mandate(context.now()) else {
        return false;
    };
    let order = StageOrder {
        holder: context.settings.node.as_str(),
        token: mandate.token,
        sequence,
        run: &engine.run,
        role: match change {
            StageChange::ToPrefill => Role::Prefill,
            StageChange::ToDecode => Role::Decode,
        },
    };
    let (head, body) = context.dialect.stage_order(&order);
    let sent = call_engine(context, pool, engine, head, body);
    let answered = while_held(authority, mandate.token, || context.now(), sent).await;
    let answered = answered.flatten();
    // An order without an answer may come true at any later time, or never.
    let mut avoided = UNANSWERED;
    let outcome = answered.map(|(status, _)| context.dialect.read_stage_order(status));
    match outcome {
        Some(StageOrderOutcome::Refused(status)) => {
            log_event!(context.logger, Event::OrderRefused, "engine" => &*engine.run,
                "token" => mandate.token, "sequence" => sequence, "status" => status);
            return false;
        }
        Some(StageOrderOutcome::Taken) => {
            avoided = IN_DOUBT;
            log_event!(context.logger, Event::OrderSent, "engine" => &*engine.run,
                "token" => mandate.token, "sequence" => sequence, "role" => %order.role);
        }
        None => {
            log_event!(context.logger, Event::EngineUnresponsive, "engine" => &*engine.run,
                "token" => mandate.token, "sequence" => sequence);
        }
    }
    context.changes_role(engine.key, avoided);
    true
}

async fn read_sequence(
    context: &Rc<Context>,
    pool: &PoolName,
    engine: &StagedEngine,
) -> Option<u64> {
    let head = context.dialect.report_request();
    let (_, body) = call_engine(context, pool, engine, head, Bytes::new()).await?;
    context.dialect.read_report_sequence(&body)
}
