//! Counts requests by pool and priority.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use dalestand_clock::BootInstant;
use dalestand_routing::{ClassFigures, ClassMeter};
use dalestand_types::MonotonicTime;

use crate::fleet_sums::{ClassKey, TenantKey};
use crate::serve::tenant_shares::TenantShares;

/// Rates below this, in events a second, are not reported: nothing came for many seconds.
const LEAST_REPORTED_PER_S: f32 = 1e-3;

/// This node's counts.
#[derive(Default)]
pub(crate) struct ClassCounts {
    meters: RefCell<HashMap<ClassKey, ClassMeter>>,
}

impl ClassCounts {
    /// Changes the counts of one class.
    pub(crate) fn note(&self, class: &ClassKey, change: impl FnOnce(&mut ClassMeter)) {
        let mut meters = self.meters.borrow_mut();
        match meters.get_mut(class) {
            Some(meter) => change(meter),
            None => change(meters.entry(class.clone()).or_default()),
        }
    }

    /// The figures of all classes of which anything is left to say.
    pub(crate) fn figures(&self, now: MonotonicTime) -> Vec<(ClassKey, ClassFigures)> {
        let mut meters = self.meters.borrow_mut();
        let figures = meters.iter().map(|(class, meter)| {
            let figures = meter.figures(now);
            (class.clone(), figures)
        });
        let figures: Vec<_> = figures.filter(|(_, figures)| is_of_use(figures)).collect();
        if figures.len() < meters.len() {
            meters.retain(|class, _| figures.iter().any(|(counted, _)| counted == class));
        }
        figures
    }
}

fn is_of_use(figures: &ClassFigures) -> bool {
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
    rates.into_iter().any(|rate| rate > LEAST_REPORTED_PER_S)
}

/// A slot of an engine that a request of this node takes up, until dropped.
pub(crate) struct BusySlot {
    counts: Rc<ClassCounts>,
    class: ClassKey,
    taken_at: BootInstant,
    /// Whose slot time it is, once an engine has taken the request up.
    tenant: Option<(Rc<TenantShares>, TenantKey)>,
}

impl BusySlot {
    /// Counts a request that is about to be sent to an engine.
    pub(crate) fn taken(counts: &Rc<ClassCounts>, class: &ClassKey) -> Self {
        counts.note(class, |meter| meter.busy_slots += 1);
        Self {
            counts: Rc::clone(counts),
            class: class.clone(),
            taken_at: BootInstant::now(),
            tenant: None,
        }
    }

    /// Has the time that the slot is held count for a tenant.
    pub(crate) fn counts_for(&mut self, shares: &Rc<TenantShares>, tenant: TenantKey) {
        self.tenant = Some((Rc::clone(shares), tenant));
    }
}

impl Drop for BusySlot {
    fn drop(&mut self) {
        self.counts.note(&self.class, |meter| {
            meter.busy_slots = meter.busy_slots.saturating_sub(1);
        });
        if let Some((shares, tenant)) = &self.tenant {
            shares.held_slot(tenant, self.taken_at.elapsed());
        }
    }
}
