//! Builds the capacity report. Operators read it during overload, so its size is bounded and its cost is
//! linear in the number of known engines and tenants.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_routing::staged::{LoadSource, Stage};
use dalestand_routing::{SlownessFigures, TenantCode, TenantFigures, WorkKind};
use dalestand_types::{MonotonicTime, PoolName, ZoneName};

use crate::context::Context;
use crate::dissemination::own_figures::update_own_figures;
use crate::fleet_sums::{FleetSums, SlownessKey};
use crate::node::capacity_report::{
    CapacityReport, ClassDemand, EngineGroup, EngineScaling, EngineSpeed, FigureAges, PoolCapacity,
    ReportSources, TenantDemand,
};

/// Maximum number of tenants listed per pool: as many as fit on a screen.
const MAX_TENANTS_LISTED: usize = 16;

/// Maximum number of engine speeds listed per pool.
const MAX_SPEEDS_LISTED: usize = 16;

/// Maximum number of characters shown of tenant names and engine runs, which may be long.
const MAX_NAME_CHARACTERS: usize = 64;

/// Weight, in observations, of the usual speed in the estimate for one engine, so that a few long requests
/// don't make it a slow one.
const PRIOR_OBSERVATIONS: f32 = 4.0;

/// An engine is listed if its slowness is more than this factor above or below the usual; smaller differences
/// also occur between single requests.
const MIN_LISTED_SLOWNESS_FACTOR: f64 = 1.1;

/// The capacity report as this node knows it at `now`.
pub(crate) fn capacity_report(context: &Context, now: MonotonicTime) -> CapacityReport {
    // Figures that expired while the process was paused must not be shown.
    update_own_figures(context, now);
    context.sums.refresh(now);
    let table = context.table();
    let mut names: Vec<PoolName> = table
        .iter()
        .flat_map(|table| table.pools())
        .map(|pool| pool.name.clone())
        .collect();
    names.sort();
    CapacityReport {
        node: context.settings.node.clone(),
        zone: context.settings.zone.clone(),
        declaration: table.map(|table| table.revision()),
        nodes_known: context.node_count(),
        sources: sources(&context.sums, now),
        ages: figure_ages(&context.sums, now),
        pools: names
            .into_iter()
            .map(|pool| pool_capacity(context, pool))
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

/// Age of the newest figures of other nodes, by kind.
pub(crate) fn figure_ages(sums: &FleetSums, now: MonotonicTime) -> FigureAges {
    let to_ms = |age: Option<Duration>| age.map(|age| age.as_millis() as u64);
    FigureAges {
        demand_ms: to_ms(
            sums.classes
                .borrow()
                .active_sources(now)
                .map(|(_, age)| age)
                .min(),
        ),
        tenants_ms: to_ms(
            sums.tenants
                .borrow()
                .active_sources(now)
                .map(|(_, age)| age)
                .min(),
        ),
        speeds_ms: to_ms(
            sums.slowness
                .borrow()
                .active_sources(now)
                .map(|(_, age)| age)
                .min(),
        ),
    }
}

fn pool_capacity(context: &Context, pool: PoolName) -> PoolCapacity {
    let classes = class_demand(&context.sums, &pool);
    let (tenants, tenants_unlisted) = tenant_demand(context, &pool);
    let (speeds, speeds_unlisted) = engine_speeds(context, &pool);
    PoolCapacity {
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

/// The engine counts that this node last decided, if it orders engines.
fn engine_scaling(context: &Context, pool: &PoolName) -> Option<EngineScaling> {
    let decisions = context.scaling_decisions.borrow();
    let decision = decisions.get(pool)?;
    let wanted = decision.wanted();
    Some(EngineScaling {
        on_demand: wanted.on_demand,
        spot: wanted.spot,
        weighed: decision.to_string(),
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

/// Demand of a pool by priority, most urgent first.
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

/// The tenants with the most demand, and the number of tenants not listed.
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
    let unlisted = tenants.len().saturating_sub(MAX_TENANTS_LISTED);
    tenants.truncate(MAX_TENANTS_LISTED);
    for tenant in &mut tenants {
        tenant.name = tenant_name(context, tenant.code);
    }
    (tenants, unlisted)
}

/// The engines whose speed differs most from the usual, and the number of such engines not listed.
fn engine_speeds(context: &Context, pool: &PoolName) -> (Vec<EngineSpeed>, usize) {
    let slowness = context.sums.slowness.borrow();
    let speeds = slowness.totals().iter();
    let speeds = speeds.flat_map(|(key, figures)| speeds_of(context, pool, *key, *figures));
    let mut speeds: Vec<EngineSpeed> = speeds
        .filter(|speed| difference(speed) > MIN_LISTED_SLOWNESS_FACTOR.ln())
        .collect();
    speeds.sort_by(|one, other| {
        let by_difference = difference(other).total_cmp(&difference(one));
        by_difference.then_with(|| one.engine.cmp(&other.engine))
    });
    let unlisted = speeds.len().saturating_sub(MAX_SPEEDS_LISTED);
    speeds.truncate(MAX_SPEEDS_LISTED);
    (speeds, unlisted)
}

/// Speeds of the engines of a pool with this code: one engine, unless codes collide.
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
            slowness: figures.slowness(PRIOR_OBSERVATIONS),
            observations: figures.weight,
        })
    });
    speeds.collect()
}

/// Distance of the slowness from the usual, on a logarithmic scale.
fn difference(speed: &EngineSpeed) -> f64 {
    speed.slowness.ln().abs()
}

/// The name of a tenant in the current declaration, or a description of a code that is not a single
/// tenant's.
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
    name.chars().take(MAX_NAME_CHARACTERS).collect()
}
