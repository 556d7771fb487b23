//! Fair shares of tenants at this node: counts their requests, derives shares from the fleet-wide
//! sums, and classifies requests beyond a share.

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

/// Minimum interval between updates of the shares that are triggered by a refused request. Until
/// the first update, a pool that becomes short may refuse requests of tenants within their share.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// The tenants of one pool and priority.
#[derive(Default)]
struct ClassTenants {
    meters: TenantMeters,
    shares: PoolShares,
}

/// Declared tenant weights of one revision of the declaration.
#[derive(Default)]
struct TenantWeights {
    revision: Revision,
    weights: HashMap<TenantCode, f64>,
}

/// Request counts and shares of tenants at this node.
#[derive(Default)]
pub(crate) struct TenantShares {
    classes: RefCell<HashMap<ClassKey, ClassTenants>>,
    weights: RefCell<TenantWeights>,
    refreshed_at: Cell<MonotonicTime>,
}

/// Whether a request is within its tenant's share, and the figures used.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ShareStatus {
    pub(crate) standing: ShareStanding,
    /// The tenant's share, while shares are enforced.
    pub(crate) share: Option<TenantShare>,
    /// Age of the newest figures of other nodes; `None` if there are only this node's own.
    pub(crate) age: Option<Duration>,
}

/// The code under which a caller is counted; `None` if no tenants are declared.
pub(crate) fn tenant_code(caller: &Caller) -> Option<TenantCode> {
    match caller {
        Caller::Untenanted => None,
        Caller::Anonymous => Some(TenantCode::ANONYMOUS),
        Caller::Tenant(tenant) => Some(TenantCode::of(&tenant.name)),
    }
}

impl TenantShares {
    /// Counts a request with the prompt tokens that an engine would have to prefill, and classifies
    /// it against the tenant's share.
    pub(crate) fn count_request(
        &self,
        now: MonotonicTime,
        (class, tenant): &TenantKey,
        tokens: u32,
        sums: &FleetSums,
    ) -> ShareStatus {
        let mut classes = self.classes.borrow_mut();
        let tenants = class_entry(&mut classes, class);
        tenants.meters.record_request(now, *tenant, tokens);
        let share = tenants.shares.share(now, *tenant);
        let totals = sums.tenants.borrow();
        let age = totals.active_sources(now).map(|(_, age)| age).min();
        ShareStatus {
            standing: tenants.shares.classify(now, *tenant, rand::random()),
            share,
            age,
        }
    }

    /// The share of a tenant, while shares are enforced.
    pub(crate) fn share(
        &self,
        now: MonotonicTime,
        (class, tenant): &TenantKey,
    ) -> Option<TenantShare> {
        let classes = self.classes.borrow();
        classes.get(class)?.shares.share(now, *tenant)
    }

    /// Counts a request that an engine has started.
    pub(crate) fn count_started(
        &self,
        now: MonotonicTime,
        (class, tenant): &TenantKey,
        tokens: u32,
    ) {
        let mut classes = self.classes.borrow_mut();
        class_entry(&mut classes, class)
            .meters
            .record_started(now, *tenant, tokens);
    }

    /// Records how long an answered request occupied a slot.
    pub(crate) fn record_slot_time(&self, (class, tenant): &TenantKey, held: Duration) {
        let mut classes = self.classes.borrow_mut();
        let meters = &mut class_entry(&mut classes, class).meters;
        meters.record_slot_time(*tenant, held.as_secs_f64());
    }

    /// The figures of this node.
    pub(crate) fn figures(&self, now: MonotonicTime) -> Vec<(TenantKey, TenantFigures)> {
        let mut classes = self.classes.borrow_mut();
        let rows = classes.iter_mut().flat_map(|(class, tenants)| {
            let rows = tenants.meters.figures(now).into_iter();
            rows.map(|(code, figures)| ((class.clone(), code), figures))
        });
        rows.collect()
    }

    /// Recomputes all shares.
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
        self.refresh_weights(table);
        let weights = &self.weights.borrow().weights;
        for (class, tenants) in classes.iter_mut() {
            let engines = engines(&class.0);
            let slots: f64 = engines.iter().map(|engine| f64::from(engine.slots)).sum();
            let busy_slots = busy_slots(sums, &class.0);
            let serves_prompts = engines.serves_prompts();
            let unit = CapacityUnit::of_pool(serves_prompts, busy_slots, slots);
            let tries = AttemptRates {
                has_idle_slots: CapacityUnit::has_idle_slots(serves_prompts, busy_slots, slots),
                ..attempt_rates(sums, class)
            };
            let totals = sums.tenants.borrow();
            let totals = totals.totals().iter().filter(|((of, _), _)| of == class);
            let figures = totals.map(|((_, code), figures)| (*code, *figures));
            let weight = |code| weights.get(&code).copied().unwrap_or(1.0);
            let figures = figures.collect();
            tenants.shares.refresh(now, unit, tries, &figures, weight);
        }
    }

    /// Whether no share is enforced and the last update is not recent.
    pub(crate) fn needs_refresh(&self, now: MonotonicTime) -> bool {
        let classes = self.classes.borrow();
        now.since(self.refreshed_at.get()) >= MIN_REFRESH_INTERVAL
            && !classes
                .values()
                .any(|tenants| tenants.shares.is_enforced(now))
    }

    /// Number of tenants over their share by pool. A tenant counts once for each priority; all
    /// small tenants count as one.
    pub(crate) fn limited_tenants(&self, now: MonotonicTime) -> BTreeMap<PoolName, usize> {
        let classes = self.classes.borrow();
        let mut limited = BTreeMap::new();
        for ((pool, _), tenants) in classes.iter() {
            *limited.entry(pool.clone()).or_default() += tenants.shares.limited_tenants(now);
        }
        limited
    }

    fn refresh_weights(&self, table: &RouteTable) {
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

fn class_entry<'c>(
    classes: &'c mut HashMap<ClassKey, ClassTenants>,
    class: &ClassKey,
) -> &'c mut ClassTenants {
    if !classes.contains_key(class) {
        classes.insert(class.clone(), ClassTenants::default());
    }
    classes.get_mut(class).expect("just inserted")
}

/// Slots of a pool that are busy with requests of any priority.
fn busy_slots(sums: &FleetSums, pool: &PoolName) -> f64 {
    let classes = sums.classes.borrow();
    let of_pool = classes.totals().iter().filter(|((of, _), _)| of == pool);
    let busy = of_pool.map(|(_, figures)| f64::from(figures.busy_slots));
    busy.sum()
}

/// Start and failure rates of a class. Requests refused for being over a share are excluded, as
/// they would keep the class short.
fn attempt_rates(sums: &FleetSums, class: &ClassKey) -> AttemptRates {
    let classes = sums.classes.borrow();
    let figures = classes.total(class).copied().unwrap_or_default();
    let refused = f64::from(figures.refused_per_s) - f64::from(figures.over_share_per_s);
    AttemptRates {
        begun_per_s: f64::from(figures.begun_per_s),
        failed_per_s: refused.max(0.0),
        has_idle_slots: false,
    }
}
