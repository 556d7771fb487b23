//! This node's contribution to fleet-wide statistics, and the tenant shares derived from them.

use dalestand_types::{MonotonicTime, PoolName};

use crate::context::Context;

/// Replaces this node's own rows in the fleet-wide statistics.
pub(crate) fn update_own_figures(context: &Context, now: MonotonicTime) {
    let classes = context.classes.figures(now);
    context.sums.classes.borrow_mut().set_own(classes);
    let tenants = context.tenant_shares.figures(now);
    context.sums.tenants.borrow_mut().set_own(tenants);
}

/// Computes the shares of tenants from the fleet-wide statistics.
pub(crate) fn refresh_tenant_shares(context: &Context, now: MonotonicTime) {
    if let Some(table) = context.table() {
        let fleet = context.fleet();
        let engines = |pool: &PoolName| fleet.pool(pool);
        context
            .tenant_shares
            .refresh(now, &context.sums, &table, engines);
    }
}

/// Called when a request found no capacity: computes tenant shares at once if none are in effect.
pub(crate) fn on_shortage(context: &Context, now: MonotonicTime) {
    if context.tenant_shares.needs_refresh(now) {
        update_own_figures(context, now);
        context.sums.refresh_demand(now);
        refresh_tenant_shares(context, now);
    }
}
