//! Decides which engine orders to send, from the outcomes of earlier ones.
//!
//! Handles orders that are refused, get no answer or are executed after a newer one, and engines that
//! never start.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use dalestand_edge::duty_calls::ProvisioningModel;
use dalestand_planner::{EngineTargets, ZoneEngines};
use dalestand_types::{MonotonicTime, ZoneName};

/// Delay before an order is sent again that was not accepted.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Time beyond the boot time after which an order is sent again if its engines don't serve yet.
const BOOT_MARGIN: Duration = Duration::from_secs(3);

/// An unanswered order of this or an earlier holder may still be executed within this time, after newer
/// orders. If it added engines, sending the last order again after this time removes them.
const MAX_EXECUTION_DELAY: Duration = Duration::from_secs(14);

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::duties) enum OrderOutcome {
    /// The platform accepted it.
    Accepted,
    /// The platform refused it.
    Refused,
    /// It had no effect: the platform was unreachable or did not process the call.
    NoEffect,
    /// Unknown: it may have been accepted, or may be executed later.
    InDoubt,
}

/// The engines whose count an order sets: those of one zone and provisioning model.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(in crate::duties) struct OrderKey {
    pub(in crate::duties) zone: ZoneName,
    pub(in crate::duties) provisioning: ProvisioningModel,
}

/// An order to send now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::duties) struct DueOrder {
    pub(in crate::duties) key: OrderKey,
    /// Target number of engines.
    pub(in crate::duties) count: u32,
    /// Number of engines ordered last, or serving if none were ordered.
    pub(in crate::duties) from: u32,
}

/// The last order sent for one zone and provisioning model.
#[derive(Clone, Copy, Debug)]
struct LastOrder {
    count: u32,
    outcome: OrderOutcome,
    sent_at: MonotonicTime,
    /// Expected time until the ordered engines serve.
    boot_time: Duration,
}

impl LastOrder {
    /// Whether an order that was not accepted may be sent again.
    fn retry_is_due(&self, now: MonotonicTime) -> bool {
        now.since(self.sent_at) >= RETRY_DELAY
    }
}

/// Engine orders that one lease holder sent for one pool.
#[derive(Debug, Default)]
pub(in crate::duties) struct EngineOrders {
    last_orders: HashMap<OrderKey, LastOrder>,
}

impl EngineOrders {
    /// Orders to send now, given the `serving` engines: targets that differ from the last order, and orders
    /// to send again.
    pub(in crate::duties) fn due(
        &self,
        now: MonotonicTime,
        serving: &BTreeMap<ZoneName, ZoneEngines>,
        targets: &EngineTargets,
    ) -> Vec<DueOrder> {
        let mut due = Vec::new();
        for (zone, target) in targets {
            let serving = serving.get(zone).copied().unwrap_or_default();
            let kinds = [
                (ProvisioningModel::Spot, target.spot, serving.spot),
                (
                    ProvisioningModel::OnDemand,
                    target.on_demand,
                    serving.on_demand,
                ),
            ];
            for (provisioning, count, serving) in kinds {
                let zone = zone.clone();
                let key = OrderKey { zone, provisioning };
                let last = self.last_orders.get(&key);
                if is_due(now, last, count, serving) {
                    let from = last.map_or(serving, |last| last.count);
                    due.push(DueOrder { key, count, from });
                }
            }
        }
        due
    }

    /// Records the outcome of an order whose engines take `boot_time` until they serve.
    pub(in crate::duties) fn record_outcome(
        &mut self,
        now: MonotonicTime,
        key: OrderKey,
        count: u32,
        outcome: OrderOutcome,
        boot_time: Duration,
    ) {
        let last = LastOrder {
            count,
            outcome,
            sent_at: now,
            boot_time,
        };
        self.last_orders.insert(key, last);
    }

    /// Zones that refused spot engines and where the retry is not due yet.
    pub(in crate::duties) fn spot_unavailable(&self, now: MonotonicTime) -> BTreeSet<ZoneName> {
        let last_orders = self.last_orders.iter();
        let refused = last_orders.filter(|(key, last)| {
            let is_refused = last.outcome == OrderOutcome::Refused && !last.retry_is_due(now);
            key.provisioning == ProvisioningModel::Spot && is_refused
        });
        refused.map(|(key, _)| key.zone.clone()).collect()
    }

    /// On-demand engines by zone that serve or are ordered and boot, also in zones where none serve yet.
    pub(in crate::duties) fn provisioned_on_demand(
        &self,
        baseline: &BTreeMap<ZoneName, u32>,
        serving: &BTreeMap<ZoneName, ZoneEngines>,
    ) -> BTreeMap<ZoneName, u32> {
        let zones = baseline.keys().chain(serving.keys());
        let counts = zones.map(|zone| {
            let ordered = self.ordered(zone, ProvisioningModel::OnDemand);
            let serving = serving.get(zone).map_or(0, |engines| engines.on_demand);
            (zone.clone(), serving.max(ordered.unwrap_or_default()))
        });
        counts.collect()
    }

    /// The engine count ordered last, if that order was accepted.
    pub(in crate::duties) fn ordered(
        &self,
        zone: &ZoneName,
        provisioning: ProvisioningModel,
    ) -> Option<u32> {
        let zone = zone.clone();
        let last = self.last_orders.get(&OrderKey { zone, provisioning })?;
        (last.outcome == OrderOutcome::Accepted).then_some(last.count)
    }
}

/// Whether to send an order for `count` engines while `serving` engines serve. An accepted order is sent
/// again if its engines did not start in time or more engines serve than ordered, and an order that was not
/// accepted is sent again after a delay.
fn is_due(now: MonotonicTime, last: Option<&LastOrder>, count: u32, serving: u32) -> bool {
    let Some(last) = last else {
        return count != serving;
    };
    if last.outcome != OrderOutcome::Accepted {
        return last.retry_is_due(now);
    }
    let timeout = match serving.cmp(&count) {
        _ if last.count != count => return true,
        Ordering::Equal => return false,
        Ordering::Less => last.boot_time + BOOT_MARGIN,
        Ordering::Greater => MAX_EXECUTION_DELAY,
    };
    now.since(last.sent_at) >= timeout
}
