//! Which orders for engines are due, from those that were given and what came of them.
//!
//! Answers these failures: orders that are refused, that get no answer, that are carried out after a newer one, and
//! engines that do not come.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use dalestand_edge::duty_calls::ProvisioningModel;
use dalestand_planner::{EngineTargets, ZoneEngines};
use dalestand_types::{MonotonicTime, ZoneName};

/// An order that was refused or not answered is given again after this time.
const REFUSED_PAUSE: Duration = Duration::from_secs(2);

/// An order whose engines are not there this long after they could have booted is given again.
const BOOT_MARGIN: Duration = Duration::from_secs(3);

/// An order without an answer, of this holder or a former one, may be carried out this much later, after newer ones:
/// more engines than were ordered last are then given back by the same order again.
const IN_DOUBT: Duration = Duration::from_secs(14);

/// What came of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::duties) enum OrderOutcome {
    /// It was taken.
    Taken,
    /// It was refused.
    Refused,
    /// It had no effect.
    NotSent,
    /// It may have been taken, or be carried out later.
    InDoubt,
}

/// A number of engines of one zone on one kind of terms.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(in crate::duties) struct OrderKey {
    pub(in crate::duties) zone: ZoneName,
    pub(in crate::duties) provisioning: ProvisioningModel,
}

/// An order that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::duties) struct DueOrder {
    pub(in crate::duties) key: OrderKey,
    /// The number wanted.
    pub(in crate::duties) count: u32,
    /// The number that stands or was ordered last.
    pub(in crate::duties) from: u32,
}

/// An order as it was last given.
#[derive(Clone, Copy, Debug)]
struct Given {
    count: u32,
    outcome: OrderOutcome,
    given_at: MonotonicTime,
    /// Time until its engines serve, if any.
    boot: Duration,
}

impl Given {
    /// An order that was not taken may be given again from now on.
    fn pause_is_over(&self, now: MonotonicTime) -> bool {
        now.since(self.given_at) >= REFUSED_PAUSE
    }
}

/// Orders of one holder for one pool.
#[derive(Debug, Default)]
pub(in crate::duties) struct EngineOrders {
    given: HashMap<OrderKey, Given>,
}

impl EngineOrders {
    /// Orders that are due where `standing` take work: those that differ from what was ordered, and those whose
    /// engines did not come.
    pub(in crate::duties) fn due(
        &self,
        now: MonotonicTime,
        standing: &BTreeMap<ZoneName, ZoneEngines>,
        targets: &EngineTargets,
    ) -> Vec<DueOrder> {
        let mut due = Vec::new();
        for (zone, target) in targets {
            let standing = standing.get(zone).copied().unwrap_or_default();
            let kinds = [
                (ProvisioningModel::Spot, target.spot, standing.spot),
                (
                    ProvisioningModel::OnDemand,
                    target.on_demand,
                    standing.on_demand,
                ),
            ];
            for (provisioning, count, standing) in kinds {
                let zone = zone.clone();
                let key = OrderKey { zone, provisioning };
                let given = self.given.get(&key);
                if is_due(now, given, count, standing) {
                    let from = given.map_or(standing, |given| given.count);
                    due.push(DueOrder { key, count, from });
                }
            }
        }
        due
    }

    /// Notes what came of an order whose engines take `boot` until they serve.
    pub(in crate::duties) fn answered(
        &mut self,
        now: MonotonicTime,
        key: OrderKey,
        count: u32,
        outcome: OrderOutcome,
        boot: Duration,
    ) {
        let given = Given {
            count,
            outcome,
            given_at: now,
            boot,
        };
        self.given.insert(key, given);
    }

    /// Zones that refused spot engines and were not asked again since.
    pub(in crate::duties) fn without_spot(&self, now: MonotonicTime) -> BTreeSet<ZoneName> {
        let given = self.given.iter();
        let refused = given.filter(|(key, given)| {
            let is_refused = given.outcome == OrderOutcome::Refused && !given.pause_is_over(now);
            key.provisioning == ProvisioningModel::Spot && is_refused
        });
        refused.map(|(key, _)| key.zone.clone()).collect()
    }

    /// On-demand engines by zone that stand or were ordered and boot. Where they only boot, none stand in the zone.
    pub(in crate::duties) fn on_demand(
        &self,
        own: &BTreeMap<ZoneName, u32>,
        standing: &BTreeMap<ZoneName, ZoneEngines>,
    ) -> BTreeMap<ZoneName, u32> {
        let zones = own.keys().chain(standing.keys());
        let counts = zones.map(|zone| {
            let ordered = self.ordered(zone, ProvisioningModel::OnDemand);
            let standing = standing.get(zone).map_or(0, |engines| engines.on_demand);
            (zone.clone(), standing.max(ordered.unwrap_or_default()))
        });
        counts.collect()
    }

    /// The number that was last ordered, if that order was taken.
    pub(in crate::duties) fn ordered(
        &self,
        zone: &ZoneName,
        provisioning: ProvisioningModel,
    ) -> Option<u32> {
        let zone = zone.clone();
        let given = self.given.get(&OrderKey { zone, provisioning })?;
        (given.outcome == OrderOutcome::Taken).then_some(given.count)
    }
}

/// Whether an order for `count` engines is due where `standing` are there. One that was taken is given again if its
/// engines did not come, or if there are more; one that was not, after a pause.
fn is_due(now: MonotonicTime, given: Option<&Given>, count: u32, standing: u32) -> bool {
    let Some(given) = given else {
        return count != standing;
    };
    if given.outcome != OrderOutcome::Taken {
        return given.pause_is_over(now);
    }
    let patience = match standing.cmp(&count) {
        _ if given.count != count => return true,
        Ordering::Equal => return false,
        Ordering::Less => given.boot + BOOT_MARGIN,
        Ordering::Greater => IN_DOUBT,
    };
    now.since(given.given_at) >= patience
}
