//! Work and demand that other nodes report.

use std::time::Duration;

use dalestand_dissemination::{EngineLoad, LoadScope, LoadSlice, LoadsMessage, PoolDemand};
use dalestand_planner::StageDemand;
use dalestand_routing::staged::{EngineKey, EngineWork, LoadSource, ReportSlice};
use dalestand_types::MonotonicTime;

use crate::context::Context;
use crate::fleet::engines::Fleet;

/// Takes loads in that did not fit into a table or an exchange.
pub(super) fn take_message(context: &Context, message: LoadsMessage) {
    match message.scope {
        LoadScope::Members => {
            let source = LoadSource::Relay(message.node.0);
            take_slice(context, source, message.age_ms, &message.work);
        }
        LoadScope::Fleet => {
            let is_followed = {
                let subscription = context.spread.subscription.borrow();
                let current = subscription.current();
                current.is_some_and(|relay| relay.number == message.node)
            };
            if is_followed && !context.spread.role(context.now()).is_relay {
                take_fleet_slice(context, message.age_ms, &message.work);
            }
        }
    }
}

/// Takes a slice of the fleet's work in, without what this node itself reported.
pub(super) fn take_fleet_slice(context: &Context, age_ms: u32, work: &LoadSlice) {
    if !work.is_sound() {
        return;
    }
    let others = {
        let own_reports = context.spread.own_reports.borrow();
        work_of_others(&context.fleet(), &work.loads, own_reports.included_work())
    };
    let reported_at = reported_at(context, age_ms);
    let mut router = context.router.borrow_mut();
    router
        .work
        .set_reported_slice(reported_at, LoadSource::Fleet, report_slice(work), others);
}

/// Takes a slice of what `source` reported in.
pub(super) fn take_slice(context: &Context, source: LoadSource, age_ms: u32, work: &LoadSlice) {
    if work.is_sound() {
        take_work(context, source, report_slice(work), age_ms, &work.loads);
    }
}

/// Takes what `source` reported in.
pub(super) fn take_work(
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

/// Takes demand in.
pub(super) fn take_demand(context: &Context, source: LoadSource, demand: Vec<PoolDemand>) {
    let now = context.now();
    let mut meter = context.demand.borrow_mut();
    for pool in demand {
        let demand = StageDemand {
            disaggregated_tokens_per_s: pool.disaggregated_tokens_per_s,
            colocated_tokens_per_s: pool.colocated_tokens_per_s,
        };
        meter.reported(now, source, pool.pool, demand);
    }
}

/// The sums without what this node itself reported.
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
        // An engine that this node does not know gets no requests from it either.
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

/// When work of this age was as it was reported.
fn reported_at(context: &Context, age_ms: u32) -> MonotonicTime {
    let age = Duration::from_millis(u64::from(age_ms));
    context.now().saturating_sub(age)
}
