//! What this node counts for the figures of all nodes, and what it works out from them.

use dalestand_types::{MonotonicTime, PoolName};

use crate::context::Context;

/// Replaces this node's own rows among the figures of all nodes.
pub(crate) fn count_own_figures(context: &Context, now: MonotonicTime) {
    let classes = context.classes.figures(now);
    context.sums.classes.borrow_mut().set_own(classes);
    let tenants = context.tenant_shares.figures(now);
    context.sums.tenants.borrow_mut().set_own(tenants);
}

/// Works the shares of tenants out from the figures of all nodes.
pub(crate) fn divide_room(context: &Context, now: MonotonicTime) {
    if let Some(table) = context.table() {
        let fleet = context.fleet();
        let engines = |pool: &PoolName| fleet.pool(pool);
        context
            .tenant_shares
            .refresh(now, &context.sums, &table, engines);
    }
}

/// Notes that a tenant's request found no room: shares that decide nothing yet are worked out at once.
pub(crate) fn room_is_short(context: &Context, now: MonotonicTime) {
    if context.tenant_shares.needs_refresh(now) {
        count_own_figures(context, now);
        context.sums.refresh_demand(now);
        divide_room(context, now);
    }
}
