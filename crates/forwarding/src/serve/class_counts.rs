//! Request counts by pool and priority.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use dalestand_clock::BootInstant;
use dalestand_routing::{ClassFigures, ClassMeter};
use dalestand_types::MonotonicTime;
use tokio::sync::Notify;

use crate::fleet_sums::{ClassKey, TenantKey};
use crate::serve::tenant_shares::TenantShares;

/// Rates below this, in events per second, are not reported: the last event was many seconds ago.
const MIN_REPORTED_PER_S: f32 = 1e-3;

/// Counts of this node.
#[derive(Default)]
pub(crate) struct ClassCounts {
    meters: RefCell<HashMap<ClassKey, ClassMeter>>,
    /// Notified when a request of this node leaves an engine.
    pub(crate) slot_freed: Notify,
}

impl ClassCounts {
    /// Updates the counts of one class.
    pub(crate) fn update(&self, class: &ClassKey, change: impl FnOnce(&mut ClassMeter)) {
        let mut meters = self.meters.borrow_mut();
        match meters.get_mut(class) {
            Some(meter) => change(meter),
            None => change(meters.entry(class.clone()).or_default()),
        }
    }

    /// The figures of all classes, except for those whose figures have all decayed to zero.
    pub(crate) fn figures(&self, now: MonotonicTime) -> Vec<(ClassKey, ClassFigures)> {
        let mut meters = self.meters.borrow_mut();
        let figures = meters.iter().map(|(class, meter)| {
            let figures = meter.figures(now);
            (class.clone(), figures)
        });
        let figures: Vec<_> = figures
            .filter(|(_, figures)| is_reportable(figures))
            .collect();
        if figures.len() < meters.len() {
            meters.retain(|class, _| figures.iter().any(|(counted, _)| counted == class));
        }
        figures
    }
}

fn is_reportable(figures: &ClassFigures) -> bool {
    let rates = [
        figures.asked_per_s,
        figures.returned_per_s,
        figures.begun_per_s,
        figures.refused_per_s,
        figures.engine_refusals_per_s,
        figures.busy_slots,
        figures.waiting,
        figures.returns_due,
    ];
    rates.into_iter().any(|rate| rate > MIN_REPORTED_PER_S)
}

/// An engine slot in use by a request of this node, until dropped.
pub(crate) struct BusySlot {
    counts: Rc<ClassCounts>,
    class: ClassKey,
    occupied_at: BootInstant,
    /// The tenant whose slot time this is, once an engine has accepted the request.
    tenant: Option<(Rc<TenantShares>, TenantKey)>,
}

impl BusySlot {
    /// Counts a request that is about to be sent to an engine.
    pub(crate) fn occupy(counts: &Rc<ClassCounts>, class: &ClassKey) -> Self {
        counts.update(class, |meter| meter.busy_slots += 1);
        Self {
            counts: Rc::clone(counts),
            class: class.clone(),
            occupied_at: BootInstant::now(),
            tenant: None,
        }
    }

    /// Attributes the slot time to a tenant.
    pub(crate) fn set_tenant(&mut self, shares: &Rc<TenantShares>, tenant: TenantKey) {
        self.tenant = Some((Rc::clone(shares), tenant));
    }
}

impl Drop for BusySlot {
    fn drop(&mut self) {
        self.counts.update(&self.class, |meter| {
            meter.busy_slots = meter.busy_slots.saturating_sub(1);
        });
        if let Some((shares, tenant)) = &self.tenant {
            shares.record_slot_time(tenant, self.occupied_at.elapsed());
        }
        self.counts.slot_freed.notify_waiters();
    }
}
