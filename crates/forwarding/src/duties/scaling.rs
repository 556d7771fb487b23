//! The holder of the lease sets the number of engines of each zone.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::duty_calls::{
    DutyAuthority, DutyCalls, DutyOutcome, EngineCountOrder, EngineTenure,
};
use dalestand_edge::{CasOutcome, KeyValue, WriteExpectation};
use dalestand_planner::{EngineTargets, ScalingBounds, ScalingPolicy, ZoneEngines, engine_targets};
use dalestand_routes::ScalingTerms;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{MonotonicTime, PoolName, ZoneName};

use crate::context::Context;
use crate::duties::outcome_label;
use crate::roles::authority::Authority;
use crate::roles::authority::while_held;

/// How often the engines are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// An order that was refused or not answered is given again after this time.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// An order whose engines are not there this long after they could have booted is given again.
const BOOT_MARGIN: Duration = Duration::from_secs(3);

/// Engines that may come or go in a second, and at once: what relays' tables carry of changed entries
/// (16 a table, each three times, ten tables a second), so that nodes hear of engines that leave within
/// the drain bound. Where 3,000 were replaced at once, members heard of some after 4.7 s.
const CHANGES_PER_S: f64 = 53.0;

/// Leading part of the keys under which the operator's own numbers stand, so that a later holder
/// does not take the ordered ones for them.
const OWN_NUMBERS_PREFIX: &str = "dalestand-engines/";

/// An order as it was last given.
#[derive(Clone, Copy, Debug)]
struct Given {
    count: u32,
    taken: bool,
    again_at: MonotonicTime,
}

/// What a holder knows of one pool.
#[derive(Debug, Default)]
struct PoolOrders {
    own: BTreeMap<ZoneName, u32>,
    given: HashMap<(ZoneName, EngineTenure), Given>,
}

/// The number on the way from `from` to `wanted` that changes `most` engines at most.
pub(super) fn step(from: u32, wanted: u32, most: u32) -> u32 {
    wanted.clamp(from.saturating_sub(most), from.saturating_add(most))
}

/// Whether an order for `count` engines is due where `standing` are there. One that was taken is given
/// again only if its engines did not come; one that was refused or not answered after a pause.
fn is_due(now: MonotonicTime, given: Option<&Given>, count: u32, standing: u32) -> bool {
    match given {
        None => count != standing,
        Some(given) if given.count != count => given.taken || now >= given.again_at,
        Some(given) => (!given.taken || standing < count) && now >= given.again_at,
    }
}

struct Scaler {
    context: Rc<Context>,
    store: Rc<dyn KeyValue>,
    calls: Rc<dyn DutyCalls>,
    authority: Authority,
    pools: HashMap<PoolName, PoolOrders>,
    /// Engines that may come or go now.
    allowance: f64,
}

/// Sets numbers of engines while this node holds the lease, for as long as it is polled.
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
        if scaler.authority.mandate(scaler.context.now()).is_none() {
            scaler.pools.clear();
            continue;
        }
        for (pool, terms) in scaled_pools(&scaler.context) {
            scaler.look_at(&pool, &terms).await;
        }
    }
}

fn scaled_pools(context: &Context) -> Vec<(PoolName, ScalingTerms)> {
    let table = context.table();
    let pools = table.iter().flat_map(|table| table.pools());
    let scaled = pools.filter_map(|pool| Some((pool.name.clone(), pool.scaling.clone()?)));
    scaled.collect()
}

impl Scaler {
    async fn look_at(&mut self, pool: &PoolName, terms: &ScalingTerms) {
        let present = self.context.zone_engines(pool);
        if !self.pools.contains_key(pool) {
            let Some(own) = self.own_numbers(pool, &present).await else {
                return;
            };
            let orders = PoolOrders {
                own,
                given: HashMap::new(),
            };
            self.pools.insert(pool.clone(), orders);
        }
        let bounds = ScalingBounds {
            min: terms.min,
            max: terms.max,
            spot_price: terms.spot_price,
        };
        let policy = self.context.settings.scaling_policy();
        let Some(targets) = self.targets(pool, &present, bounds, policy) else {
            return;
        };
        for (order, from) in self.due(pool, &present, &targets) {
            let count = step(from, order.count, self.allowance as u32);
            if count == from && order.count != from {
                // The rest of the allowance of this second is spent.
                return;
            }
            self.allowance -= f64::from(count.abs_diff(from));
            if !self.give(EngineCountOrder { count, ..order }, terms).await {
                return;
            }
        }
    }

    fn targets(
        &self,
        pool: &PoolName,
        present: &BTreeMap<ZoneName, ZoneEngines>,
        bounds: ScalingBounds,
        policy: ScalingPolicy,
    ) -> Option<EngineTargets> {
        let orders = self.pools.get(pool)?;
        engine_targets(&orders.own, present, bounds, policy)
    }

    /// The operator's own numbers: what stood when the first holder looked. They are written once.
    async fn own_numbers(
        &self,
        pool: &PoolName,
        present: &BTreeMap<ZoneName, ZoneEngines>,
    ) -> Option<BTreeMap<ZoneName, u32>> {
        if present.is_empty() {
            return None;
        }
        let own = present.iter().map(|(zone, engines)| {
            let count = engines.on_demand + engines.spot;
            (zone.clone(), count)
        });
        let own: BTreeMap<ZoneName, u32> = own.collect();
        let key = format!("{OWN_NUMBERS_PREFIX}{pool}");
        let text = match serde_json::to_string(&own) {
            Ok(text) => text,
            Err(error) => {
                self.log_unkept(pool, "encode", &error);
                return None;
            }
        };
        let written = self
            .store
            .compare_and_swap(&key, WriteExpectation::Absent, Some(&text), None)
            .await;
        match written {
            Ok(CasOutcome::Written { .. }) => Some(own),
            Ok(CasOutcome::Conflict { current }) => {
                let current = current?;
                match serde_json::from_str(&current.value) {
                    Ok(own) => Some(own),
                    Err(error) => {
                        self.log_unkept(pool, "read", &error);
                        None
                    }
                }
            }
            Err(error) => {
                self.log_unkept(pool, "write", error.current_context());
                None
            }
        }
    }

    fn log_unkept(&self, pool: &PoolName, step: &str, error: &dyn std::fmt::Display) {
        log_event!(self.context.logger, Event::EngineCountFailed, "pool" => %pool,
            "step" => step, "error" => %error);
    }

    /// Orders that are due, each with the number that stands or was ordered last: those that differ
    /// from it, and those whose engines did not come.
    fn due(
        &self,
        pool: &PoolName,
        present: &BTreeMap<ZoneName, ZoneEngines>,
        targets: &EngineTargets,
    ) -> Vec<(EngineCountOrder, u32)> {
        let now = self.context.now();
        let Some(orders) = self.pools.get(pool) else {
            return Vec::new();
        };
        let mut due = Vec::new();
        for (zone, target) in targets {
            let standing = present.get(zone).copied().unwrap_or_default();
            let kinds = [
                (EngineTenure::Spot, target.spot, standing.spot),
                (EngineTenure::OnDemand, target.on_demand, standing.on_demand),
            ];
            for (tenure, count, standing) in kinds {
                let given = orders.given.get(&(zone.clone(), tenure));
                if is_due(now, given, count, standing) {
                    let order = EngineCountOrder {
                        pool: pool.clone(),
                        zone: zone.clone(),
                        tenure,
                        count,
                    };
                    let from = given.map_or(standing, |given| given.count);
                    due.push((order, from));
                }
            }
        }
        due
    }

    /// Gives an order; whether the lease still stands.
    async fn give(&mut self, order: EngineCountOrder, terms: &ScalingTerms) -> bool {
        // Looked at again right before the call.
        let Some(mandate) = self.authority.mandate(self.context.now()) else {
            return false;
        };
        let authority = DutyAuthority {
            holder: self.context.settings.node.as_str(),
            token: mandate.token,
        };
        let sent = self.calls.set_engine_count(authority, &order);
        let now = || self.context.now();
        let answered = while_held(&self.authority, mandate.token, now, sent).await;
        let Some(answered) = answered else {
            return false;
        };
        let metrics = &self.context.metrics;
        metrics.duty_call("scaling", outcome_label(&answered));
        let taken = matches!(answered, Ok(DutyOutcome::Taken));
        let logger = &self.context.logger;
        match &answered {
            Ok(outcome) => {
                let event = match outcome {
                    DutyOutcome::Taken => Event::EngineCountOrdered,
                    DutyOutcome::Refused => Event::DutyRefused,
                };
                log_event!(logger, event, "duty" => "scaling", "pool" => %order.pool,
                    "zone" => %order.zone, "tenure" => ?order.tenure, "count" => order.count,
                    "token" => mandate.token);
            }
            Err(error) => {
                log_event!(logger, Event::EngineCountFailed, "pool" => %order.pool,
                    "zone" => %order.zone, "tenure" => ?order.tenure, "count" => order.count,
                    "step" => "send", "error" => %error.current_context());
            }
        }
        let wait = if taken {
            Duration::try_from_secs_f64(terms.boot_s).unwrap_or_default() + BOOT_MARGIN
        } else {
            REFUSED_PAUSE
        };
        let given = Given {
            count: order.count,
            taken,
            again_at: self.context.now() + wait,
        };
        if let Some(orders) = self.pools.get_mut(&order.pool) {
            orders.given.insert((order.zone, order.tenure), given);
        }
        true
    }
}
