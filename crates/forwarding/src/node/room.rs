//! Puts the report of room and demand together. It answers operators while demand is over the room, so it costs
//! by the engines and tenants known and is bounded in size, however many there are.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_routing::staged::{LoadSource, Stage};
use dalestand_routing::{SlownessFigures, TenantCode, TenantFigures, WorkKind};
use dalestand_types::{MonotonicTime, PoolName, ZoneName};

use crate::context::Context;
use crate::dissemination::own_figures::update_own_figures;
use crate::fleet_sums::{FleetSums, SlownessKey};
use crate::node::room_report::{
    ClassDemand, EngineGroup, EngineScaling, EngineSpeed, FigureAges, PoolRoom, ReportSources,
    RoomReport, TenantDemand,
};

/// Tenants listed of one pool: what a screen shows.
const TENANTS_LISTED: usize = 16;

/// Engines listed of one pool, likewise.
const SPEEDS_LISTED: usize = 16;

/// Characters shown of names that others chose, which may be long.
const NAME_CHARACTERS: usize = 64;

/// Observations of a usual engine that count beside those of an engine: a few requests that took long do not make
/// it a slow one.
const USUAL_OBSERVATIONS: f32 = 4.0;

/// An engine is listed if it takes this much more of the usual time, or this much less: below that the times of
/// single requests differ as much.
const SPEED_DIFFERS: f64 = 1.1;

/// What this node knows at `now`.
pub(crate) fn room_report(context: &Context, now: MonotonicTime) -> RoomReport {
    // What lapsed while the process stood still must not be shown.
    update_own_figures(context, now);
    context.sums.refresh(now);
    let table = context.table();
    let mut names: Vec<PoolName> = table
        .iter()
        .flat_map(|table| table.pools())
        .map(|pool| pool.name.clone())
        .collect();
    names.sort();
    RoomReport {
        node: context.settings.node.clone(),
        zone: context.settings.zone.clone(),
        declaration: table.map(|table| table.revision()),
        nodes_known: context.node_count(),
        sources: sources(&context.sums, now),
        ages: figure_ages(&context.sums, now),
        pools: names
            .into_iter()
            .map(|pool| pool_room(context, pool))
            .collect(),
    }
}

fn sources(sums: &FleetSums, now: MonotonicTime) -> ReportSources {
    let mut sources = ReportSources::default();
    for (source, _) in sums.classes.borrow().active_sources(now) {
        match source {
            LoadSource::Member(_) => sources.members += 1,
            LoadSource::Relay(_) => sources.relays += 1,
            LoadSource::Fleet => sources.fleet = true,
        }
    }
    sources
}

/// Ages of the newest figures of other nodes.
pub(crate) fn figure_ages(sums: &FleetSums, now: MonotonicTime) -> FigureAges {
    let newest = |age: Option<Duration>| age.map(|age| age.as_millis() as u64);
    FigureAges {
        demand_ms: newest(
            sums.classes
                .borrow()
                .active_sources(now)
                .map(|(_, age)| age)
                .min(),
        ),
        tenants_ms: newest(
            sums.tenants
                .borrow()
                .active_sources(now)
                .map(|(_, age)| age)
                .min(),
        ),
        speeds_ms: newest(
            sums.slowness
                .borrow()
                .active_sources(now)
                .map(|(_, age)| age)
                .min(),
        ),
    }
}

fn pool_room(context: &Context, pool: PoolName) -> PoolRoom {
    let classes = class_demand(&context.sums, &pool);
    let (tenants, tenants_unlisted) = tenant_demand(context, &pool);
    let (speeds, speeds_unlisted) = engine_speeds(context, &pool);
    PoolRoom {
        engines: engine_groups(context, &pool),
        busy_slots: classes.iter().map(|class| class.figures.busy_slots).sum(),
        classes,
        tenants,
        tenants_unlisted,
        speeds,
        speeds_unlisted,
        scaling: engine_scaling(context, &pool),
        pool,
    }
}

/// The numbers of engines that this node last decided, if it orders them.
fn engine_scaling(context: &Context, pool: &PoolName) -> Option<EngineScaling> {
    let accounts = context.scaling_accounts.borrow();
    let account = accounts.get(pool)?;
    let wanted = account.wanted();
    Some(EngineScaling {
        on_demand: wanted.on_demand,
        spot: wanted.spot,
        weighed: account.to_string(),
    })
}

fn engine_groups(context: &Context, pool: &PoolName) -> Vec<EngineGroup> {
    let mut groups: BTreeMap<(ZoneName, WorkKind), EngineGroup> = BTreeMap::new();
    for engine in context.fleet().pool(pool).iter() {
        let work = match engine.stage {
            Stage::Prefill => WorkKind::Prefill,
            Stage::Decode => WorkKind::Decode,
            Stage::Opaque => WorkKind::Opaque,
        };
        let key = (engine.zone.clone(), work);
        let group = groups.entry(key).or_insert_with(|| EngineGroup {
            zone: engine.zone.clone(),
            work,
            engines: 0,
            slots: 0,
        });
        group.engines += 1;
        group.slots += u64::from(engine.slots);
    }
    groups.into_values().collect()
}

/// Demand of a pool by priority.
pub(crate) fn class_demand(sums: &FleetSums, pool: &PoolName) -> Vec<ClassDemand> {
    let classes = sums.classes.borrow();
    let of_pool = classes
        .totals()
        .iter()
        .filter(|((name, _), _)| name == pool);
    let classes = of_pool.map(|((_, priority), figures)| ClassDemand {
        priority: *priority,
        figures: *figures,
    });
    let mut classes: Vec<ClassDemand> = classes.collect();
    classes.sort_by_key(|class| class.priority);
    classes
}

/// The tenants with the most demand, and how many more there are.
fn tenant_demand(context: &Context, pool: &PoolName) -> (Vec<TenantDemand>, usize) {
    let tenants = context.sums.tenants.borrow();
    let mut by_code: BTreeMap<TenantCode, TenantFigures> = BTreeMap::new();
    for (((name, _), code), figures) in tenants.totals() {
        if name == pool {
            *by_code.entry(*code).or_default() += figures;
        }
    }
    let tenants = by_code.into_iter().map(|(code, figures)| TenantDemand {
        name: None,
        code,
        figures,
    });
    let mut tenants: Vec<TenantDemand> = tenants.collect();
    tenants.sort_by(|one, other| {
        let (one_asked, other_asked) = (one.figures.asked, other.figures.asked);
        let by_slots = other_asked.slots.total_cmp(&one_asked.slots);
        let by_tokens = other_asked
            .prompt_tokens_per_s
            .total_cmp(&one_asked.prompt_tokens_per_s);
        let by_demand = by_slots.then(by_tokens);
        by_demand.then_with(|| one.code.cmp(&other.code))
    });
    let unlisted = tenants.len().saturating_sub(TENANTS_LISTED);
    tenants.truncate(TENANTS_LISTED);
    for tenant in &mut tenants {
        tenant.name = tenant_name(context, tenant.code);
    }
    (tenants, unlisted)
}

/// The engines whose speed differs most from the usual, and how many more differ.
fn engine_speeds(context: &Context, pool: &PoolName) -> (Vec<EngineSpeed>, usize) {
    let slowness = context.sums.slowness.borrow();
    let speeds = slowness.totals().iter();
    let speeds = speeds.flat_map(|(key, figures)| speeds_of(context, pool, *key, *figures));
    let mut speeds: Vec<EngineSpeed> = speeds
        .filter(|speed| difference(speed) > SPEED_DIFFERS.ln())
        .collect();
    speeds.sort_by(|one, other| {
        let by_difference = difference(other).total_cmp(&difference(one));
        by_difference.then_with(|| one.engine.cmp(&other.engine))
    });
    let unlisted = speeds.len().saturating_sub(SPEEDS_LISTED);
    speeds.truncate(SPEEDS_LISTED);
    (speeds, unlisted)
}

/// The engines of a pool that a row of the sums is about: one, but for a rare collision of short numbers.
fn speeds_of(
    context: &Context,
    pool: &PoolName,
    (code, work): SlownessKey,
    figures: SlownessFigures,
) -> Vec<EngineSpeed> {
    let fleet = context.fleet();
    let engines = fleet.engines_of(code);
    let speeds = engines.filter_map(|key| {
        let engine = fleet.pool(pool).get(key)?;
        Some(EngineSpeed {
            engine: shortened(&engine.run),
            zone: engine.zone.clone(),
            work,
            slowness: figures.slowness(USUAL_OBSERVATIONS),
            observations: figures.weight,
        })
    });
    speeds.collect()
}

fn difference(speed: &EngineSpeed) -> f64 {
    speed.slowness.ln().abs()
}

/// The name of a tenant of the declaration in force, or what a number stands for that is no single tenant's.
fn tenant_name(context: &Context, code: TenantCode) -> Option<String> {
    match code {
        TenantCode::OTHERS => return Some("(all others)".to_owned()),
        TenantCode::ANONYMOUS => return Some("(no key)".to_owned()),
        TenantCode(_) => {}
    }
    let table = context.table()?;
    let mut tenants = table.tenants();
    let tenant = tenants.find(|tenant| TenantCode::of(&tenant.name) == code)?;
    Some(shortened(tenant.name.as_str()))
}

fn shortened(name: &str) -> String {
    name.chars().take(NAME_CHARACTERS).collect()
}
