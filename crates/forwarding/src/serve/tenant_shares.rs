//! Fair shares of tenants at this node: counts what they ask, works their shares out from the sums of all nodes, and
//! refuses what lies beyond a share.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use dalestand_routes::{Caller, RouteTable};
use dalestand_routing::overload::ShareStanding;
use dalestand_routing::overload::shares::{PoolShares, TenantShare};
use dalestand_routing::overload::shortage::{AttemptRates, CapacityUnit};
use dalestand_routing::overload::tenant_meters::TenantMeters;
use dalestand_routing::staged::EnginePool;
use dalestand_routing::{TenantCode, TenantFigures};
use dalestand_types::{MonotonicTime, PoolName, Revision};

use crate::fleet_sums::{ClassKey, FleetSums, TenantKey};

/// Shortest time between two times that shares are worked out because a request found no room. In a pool that turns
/// short tenants under their share are refused until then.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(50);

/// The tenants of one pool and one priority.
#[derive(Default)]
struct ClassTenants {
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
    classes: RefCell<HashMap<ClassKey, ClassTenants>>,
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
        (class, tenant): &TenantKey,
        tokens: u32,
        sums: &FleetSums,
    ) -> ShareAccount {
        let mut classes = self.classes.borrow_mut();
        let tenants = of_class(&mut classes, class);
        tenants.meters.record_request(now, *tenant, tokens);
        let share = tenants.shares.share(now, *tenant);
        let totals = sums.tenants.borrow();
        let age = totals.active_sources(now).map(|(_, age)| age).min();
        ShareAccount {
            standing: tenants.shares.classify(now, *tenant, rand::random()),
            share,
            age,
        }
    }

    /// The share of a tenant, where shares decide anything.
    pub(crate) fn share(
        &self,
        now: MonotonicTime,
        (class, tenant): &TenantKey,
    ) -> Option<TenantShare> {
        let classes = self.classes.borrow();
        classes.get(class)?.shares.share(now, *tenant)
    }

    /// Counts a request that an engine began.
    pub(crate) fn begun(&self, now: MonotonicTime, (class, tenant): &TenantKey, tokens: u32) {
        let mut classes = self.classes.borrow_mut();
        of_class(&mut classes, class)
            .meters
            .record_started(now, *tenant, tokens);
    }

    /// Notes for how long a request that was answered held a slot.
    pub(crate) fn held_slot(&self, (class, tenant): &TenantKey, held: Duration) {
        let mut classes = self.classes.borrow_mut();
        let meters = &mut of_class(&mut classes, class).meters;
        meters.record_slot_time(*tenant, held.as_secs_f64());
    }

    /// This node's rows.
    pub(crate) fn figures(&self, now: MonotonicTime) -> Vec<(TenantKey, TenantFigures)> {
        let mut classes = self.classes.borrow_mut();
        let rows = classes.iter_mut().flat_map(|(class, tenants)| {
            let rows = tenants.meters.figures(now).into_iter();
            rows.map(|(code, figures)| ((class.clone(), code), figures))
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
        let mut classes = self.classes.borrow_mut();
        classes.retain(|(pool, _), _| table.has_tenants() && table.pool(pool).is_some());
        self.read_weights(table);
        let weights = &self.weights.borrow().weights;
        for (class, tenants) in classes.iter_mut() {
            let engines = engines(&class.0);
            let slots: f64 = engines.iter().map(|engine| f64::from(engine.slots)).sum();
            let busy_slots = busy_slots(sums, &class.0);
            let serves_prompts = engines.serves_prompts();
            let unit = CapacityUnit::of_pool(serves_prompts, busy_slots, slots);
            let tries = AttemptRates {
                has_idle_slots: CapacityUnit::has_idle_slots(serves_prompts, busy_slots, slots),
                ..tries(sums, class)
            };
            let totals = sums.tenants.borrow();
            let totals = totals.totals().iter().filter(|((of, _), _)| of == class);
            let figures = totals.map(|((_, code), figures)| (*code, *figures));
            let weight = |code| weights.get(&code).copied().unwrap_or(1.0);
            let figures = figures.collect();
            tenants.shares.refresh(now, unit, tries, &figures, weight);
        }
    }

    /// Whether shares decide nothing yet and are not just worked out.
    pub(crate) fn needs_refresh(&self, now: MonotonicTime) -> bool {
        let classes = self.classes.borrow();
        now.since(self.refreshed_at.get()) >= SHORTEST_INTERVAL
            && !classes
                .values()
                .any(|tenants| tenants.shares.is_enforced(now))
    }

    /// Tenants that are over their share, by pool: each once a priority, and all small ones as one.
    pub(crate) fn tenants_over_share(&self, now: MonotonicTime) -> BTreeMap<PoolName, usize> {
        let classes = self.classes.borrow();
        let mut cut = BTreeMap::new();
        for ((pool, _), tenants) in classes.iter() {
            *cut.entry(pool.clone()).or_default() += tenants.shares.limited_tenants(now);
        }
        cut
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

fn of_class<'c>(
    classes: &'c mut HashMap<ClassKey, ClassTenants>,
    class: &ClassKey,
) -> &'c mut ClassTenants {
    if !classes.contains_key(class) {
        classes.insert(class.clone(), ClassTenants::default());
    }
    classes.get_mut(class).expect("just put there")
}

/// Slots of a pool that requests of all priorities take up.
fn busy_slots(sums: &FleetSums, pool: &PoolName) -> f64 {
    let classes = sums.classes.borrow();
    let of_pool = classes.totals().iter().filter(|((of, _), _)| of == pool);
    let busy = of_pool.map(|(_, figures)| f64::from(figures.busy_slots));
    busy.sum()
}

/// How requests of a class fare. Those that are refused for being over a share don't count: a class would stay short by
/// itself.
fn tries(sums: &FleetSums, class: &ClassKey) -> AttemptRates {
    let classes = sums.classes.borrow();
    let figures = classes.total(class).copied().unwrap_or_default();
    let refused = f64::from(figures.refused_per_s) - f64::from(figures.over_share_per_s);
    AttemptRates {
        begun_per_s: f64::from(figures.begun_per_s),
        failed_per_s: refused.max(0.0),
        has_idle_slots: false,
    }
}
