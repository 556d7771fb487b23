//! Fair shares of tenants at this node: counts what they ask, works their shares out from the sums of all nodes, and
//! refuses what lies beyond a share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use dalestand_routes::{Caller, RouteTable};
use dalestand_routing::room::ShareStanding;
use dalestand_routing::room::shares::{PoolShares, TenantShare};
use dalestand_routing::room::shortage::{PoolTries, RoomUnit};
use dalestand_routing::room::tenant_meters::TenantMeters;
use dalestand_routing::staged::EnginePool;
use dalestand_routing::{ClassFigures, TenantCode, TenantFigures};
use dalestand_types::{MonotonicTime, PoolName, Revision};

use crate::fleet_sums::{FleetSums, TenantKey};

/// Shortest time between two times that shares are worked out because an engine refused a request. In a pool that turns
/// short tenants under their share are refused until then.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(50);

/// The tenants of one pool.
#[derive(Default)]
struct PoolTenants {
    meters: TenantMeters,
    shares: PoolShares,
}

/// Weights of the tenants that have one, under one declaration.
#[derive(Default)]
struct TenantWeights {
    revision: Revision,
    weights: HashMap<TenantCode, f64>,
}

/// This node's counts of tenants, and their shares.
#[derive(Default)]
pub(crate) struct TenantShares {
    pools: RefCell<HashMap<PoolName, PoolTenants>>,
    weights: RefCell<TenantWeights>,
    refreshed_at: Cell<MonotonicTime>,
}

/// What a request was told of its tenant's share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShareAccount {
    pub(crate) standing: ShareStanding,
    /// Where shares decide anything.
    pub(crate) share: Option<TenantShare>,
    /// Age of the newest figures of other nodes; `None` if this node knows its own only.
    pub(crate) age: Option<Duration>,
}

/// The number by which a caller is counted; `None` where no tenants are declared.
pub(crate) fn code_of(caller: &Caller) -> Option<TenantCode> {
    match caller {
        Caller::Untenanted => None,
        Caller::Anonymous => Some(TenantCode::ANONYMOUS),
        Caller::Tenant(tenant) => Some(TenantCode::of(&tenant.name)),
    }
}

impl TenantShares {
    /// Counts a request with the prompt tokens that an engine would have to prefill, and says how it stands.
    pub(crate) fn asked(
        &self,
        now: MonotonicTime,
        (pool, tenant): &TenantKey,
        tokens: u32,
        sums: &FleetSums,
    ) -> ShareAccount {
        let mut pools = self.pools.borrow_mut();
        let tenants = of_pool(&mut pools, pool);
        tenants.meters.asked(now, *tenant, tokens);
        let share = tenants.shares.share(now, *tenant);
        let totals = sums.tenants.borrow();
        let age = totals.heard(now).map(|(_, age)| age).min();
        ShareAccount {
            standing: tenants.shares.admit(now, *tenant, rand::random()),
            share,
            age,
        }
    }

    /// The share of a tenant, where shares decide anything.
    pub(crate) fn share(
        &self,
        now: MonotonicTime,
        (pool, tenant): &TenantKey,
    ) -> Option<TenantShare> {
        let pools = self.pools.borrow();
        pools.get(pool)?.shares.share(now, *tenant)
    }

    /// Counts a request that an engine began.
    pub(crate) fn begun(&self, now: MonotonicTime, (pool, tenant): &TenantKey, tokens: u32) {
        let mut pools = self.pools.borrow_mut();
        of_pool(&mut pools, pool).meters.begun(now, *tenant, tokens);
    }

    /// Notes for how long a request that was answered held a slot.
    pub(crate) fn held_slot(&self, (pool, tenant): &TenantKey, held: Duration) {
        let mut pools = self.pools.borrow_mut();
        let meters = &mut of_pool(&mut pools, pool).meters;
        meters.held_slot(*tenant, held.as_secs_f64());
    }

    /// This node's rows.
    pub(crate) fn figures(&self, now: MonotonicTime) -> Vec<(TenantKey, TenantFigures)> {
        let mut pools = self.pools.borrow_mut();
        let rows = pools.iter_mut().flat_map(|(pool, tenants)| {
            let rows = tenants.meters.figures(now).into_iter();
            rows.map(|(code, figures)| ((pool.clone(), code), figures))
        });
        rows.collect()
    }

    /// Works all shares out anew.
    pub(crate) fn refresh<'e>(
        &self,
        now: MonotonicTime,
        sums: &FleetSums,
        table: &RouteTable,
        engines: impl Fn(&PoolName) -> &'e EnginePool,
    ) {
        self.refreshed_at.set(now);
        let mut pools = self.pools.borrow_mut();
        pools.retain(|pool, _| table.has_tenants() && table.pool(pool).is_some());
        self.read_weights(table);
        let weights = &self.weights.borrow().weights;
        for (pool, tenants) in pools.iter_mut() {
            let all = all_classes(sums, pool);
            let engines = engines(pool);
            let slots: f64 = engines.iter().map(|engine| f64::from(engine.slots)).sum();
            let busy_slots = f64::from(all.busy_slots);
            let unit = RoomUnit::of_pool(engines.serves_prompts(), busy_slots, slots);
            let totals = sums.tenants.borrow();
            let totals = totals.totals().iter().filter(|((of, _), _)| of == pool);
            let figures = totals.map(|((_, code), figures)| (*code, *figures));
            let weight = |code| weights.get(&code).copied().unwrap_or(1.0);
            let figures = figures.collect();
            tenants
                .shares
                .refresh(now, unit, tries(&all), &figures, weight);
        }
    }

    /// Whether shares decide nothing yet and are not just worked out.
    pub(crate) fn wants_figures(&self, now: MonotonicTime) -> bool {
        let pools = self.pools.borrow();
        now.since(self.refreshed_at.get()) >= SHORTEST_INTERVAL
            && !pools.values().any(|tenants| tenants.shares.acts(now))
    }

    /// Tenants that are over their share, by pool, with all small ones for one.
    pub(crate) fn tenants_cut(&self, now: MonotonicTime) -> Vec<(PoolName, usize)> {
        let pools = self.pools.borrow();
        let cut = pools.iter();
        cut.map(|(pool, tenants)| (pool.clone(), tenants.shares.tenants_cut(now)))
            .collect()
    }

    fn read_weights(&self, table: &RouteTable) {
        let mut known = self.weights.borrow_mut();
        if known.revision == table.revision() {
            return;
        }
        let weights = table.tenants();
        let weights = weights.filter_map(|tenant| {
            let weight = tenant.weight?;
            Some((TenantCode::of(&tenant.name), weight))
        });
        *known = TenantWeights {
            revision: table.revision(),
            weights: weights.collect(),
        };
    }
}

fn of_pool<'p>(
    pools: &'p mut HashMap<PoolName, PoolTenants>,
    pool: &PoolName,
) -> &'p mut PoolTenants {
    if !pools.contains_key(pool) {
        pools.insert(pool.clone(), PoolTenants::default());
    }
    pools.get_mut(pool).expect("just put there")
}

/// The figures of a pool's requests of all priorities.
fn all_classes(sums: &FleetSums, pool: &PoolName) -> ClassFigures {
    let classes = sums.classes.borrow();
    let of_pool = classes.totals().iter().filter(|((of, _), _)| of == pool);
    of_pool.fold(ClassFigures::default(), |mut all, (_, figures)| {
        all += figures;
        all
    })
}

/// Refusals of engines and of nodes, but those for being over a share.
fn tries(all: &ClassFigures) -> PoolTries {
    let refused = f64::from(all.refused_per_s) - f64::from(all.over_share_per_s);
    PoolTries {
        begun_per_s: f64::from(all.begun_per_s),
        failed_per_s: f64::from(all.engine_refusals_per_s) + refused.max(0.0),
    }
}
