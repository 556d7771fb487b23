//! Applies work and demand reported by other nodes.

use std::time::Duration;

use dalestand_dissemination::{EngineLoad, LoadScope, LoadSlice, LoadsMessage, PoolDemand};
use dalestand_planner::StageDemand;
use dalestand_routing::staged::{EngineKey, EngineWork, LoadSource, ReportSlice};
use dalestand_types::MonotonicTime;

use crate::context::Context;
use crate::fleet::engines::Fleet;

/// Applies loads that did not fit into a table or an exchange.
pub(super) fn handle_message(context: &Context, message: LoadsMessage) {
    match message.scope {
        LoadScope::Members => {
            let source = LoadSource::Relay(message.node.0);
            apply_slice(context, source, message.age_ms, &message.work);
        }
        LoadScope::Fleet => {
            let is_followed = {
                let subscription = context.dissemination.subscription.borrow();
                let current = subscription.current();
                current.is_some_and(|relay| relay.number == message.node)
            };
            if is_followed && !context.dissemination.role(context.now()).is_relay {
                apply_fleet_slice(context, message.age_ms, &message.work);
            }
        }
    }
}

/// Applies a slice of the fleet's work, minus this node's own work.
pub(super) fn apply_fleet_slice(context: &Context, age_ms: u32, work: &LoadSlice) {
    if !work.is_valid() {
        return;
    }
    let others = {
        let own_reports = context.dissemination.own_reports.borrow();
        work_of_others(&context.fleet(), &work.loads, own_reports.included_work())
    };
    let reported_at = reported_at(context, age_ms);
    let mut router = context.router.borrow_mut();
    router
        .work
        .set_reported_slice(reported_at, LoadSource::Fleet, report_slice(work), others);
}

/// Applies a slice of the work reported by `source`.
pub(super) fn apply_slice(context: &Context, source: LoadSource, age_ms: u32, work: &LoadSlice) {
    if work.is_valid() {
        apply_work(context, source, report_slice(work), age_ms, &work.loads);
    }
}

/// Applies work reported by `source`.
pub(super) fn apply_work(
    context: &Context,
    source: LoadSource,
    slice: ReportSlice,
    age_ms: u32,
    loads: &[EngineLoad],
) {
    let fleet = context.fleet();
    let engines = loads
        .iter()
        .flat_map(|load| fleet.engines_of(load.engine).map(|key| (key, work(load))));
    let mut router = context.router.borrow_mut();
    let reported_at = reported_at(context, age_ms);
    router
        .work
        .set_reported_slice(reported_at, source, slice, engines);
}

pub(super) fn apply_demand(context: &Context, source: LoadSource, demand: Vec<PoolDemand>) {
    let now = context.now();
    let mut meter = context.demand.borrow_mut();
    for pool in demand {
        let demand = StageDemand {
            disaggregated_tokens_per_s: pool.disaggregated_tokens_per_s,
            colocated_tokens_per_s: pool.colocated_tokens_per_s,
        };
        meter.set_reported(now, source, pool.pool, demand);
    }
}

/// The sums minus this node's own reported work.
fn work_of_others(
    fleet: &Fleet,
    sums: &[EngineLoad],
    own: &[EngineLoad],
) -> Vec<(EngineKey, EngineWork)> {
    let others = sums.iter().flat_map(|load| {
        let mut work = work(load);
        if let Some(own) = own.iter().find(|own| own.engine == load.engine) {
            work.subtract(&self::work(own));
        }
        // Unknown engines are skipped: this node sends them no requests.
        let engines = fleet.engines_of(load.engine);
        engines.map(move |key| (key, work))
    });
    others.collect()
}

fn report_slice(work: &LoadSlice) -> ReportSlice {
    ReportSlice {
        slice: work.slice,
        slices: work.slices,
    }
}

fn work(load: &EngineLoad) -> EngineWork {
    EngineWork {
        requests: load.requests,
        starting: load.starting,
        unread_tokens: load.unread_tokens,
    }
}

/// Converts the age of reported work to a time.
fn reported_at(context: &Context, age_ms: u32) -> MonotonicTime {
    let age = Duration::from_millis(u64::from(age_ms));
    context.now().saturating_sub(age)
}
