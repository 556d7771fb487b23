//! Builds the parts of messages from this node's state.

use std::cell::RefCell;

use dalestand_dissemination::{EngineCode, EngineLoad, LoadSlice, News, PoolDemand, RoleChange};
use dalestand_routing::staged::{EngineKey, EngineWork, LoadSource, SummedWork};
use dalestand_types::MonotonicTime;

use crate::context::Context;
use crate::dissemination::news_queue::NewsQueue;

/// Loads of language-model engines. Loads of other engines are learned from their answers.
pub(super) fn prompt_loads(
    context: &Context,
    work: impl IntoIterator<Item = (EngineKey, EngineWork)>,
) -> Vec<EngineLoad> {
    let fleet = context.fleet();
    let of_prompts = work
        .into_iter()
        .filter(|(engine, _)| fleet.memory_tokens(*engine) > 0);
    let loads = of_prompts.map(|(engine, work)| EngineLoad {
        engine: EngineCode::of(engine),
        requests: work.requests,
        starting: work.starting,
        unread_tokens: work.unread_tokens,
    });
    let mut loads: Vec<EngineLoad> = loads.collect();
    loads.sort_by_key(|load| load.engine);
    loads
}

/// Summed work in the form of messages.
pub(super) struct SummedLoads {
    /// Mean age of the work, in milliseconds.
    pub(super) age_ms: u32,
    /// The first slice, part of the table or exchange.
    pub(super) first: LoadSlice,
    /// Remaining slices, each sent as a separate message; usually none.
    pub(super) further: std::vec::IntoIter<LoadSlice>,
}

/// Loads of language-model engines in `summed`.
pub(super) fn summed_loads(context: &Context, summed: SummedWork) -> SummedLoads {
    let age_ms = summed.age.as_millis() as u32;
    let mut slices = LoadSlice::split(prompt_loads(context, summed.engines)).into_iter();
    let empty = LoadSlice {
        slice: 0,
        slices: 1,
        loads: Vec::new(),
    };
    SummedLoads {
        age_ms,
        first: slices.next().unwrap_or(empty),
        further: slices,
    }
}

/// Takes the events of this node that have not been sent yet.
pub(super) fn take_own_news(context: &Context) -> News {
    let changes = std::mem::take(&mut *context.role_changes.borrow_mut());
    let changes = changes.into_iter().map(|(engine, time)| RoleChange {
        engine: engine.0,
        at_most_ms: time.as_millis() as u64,
    });
    News {
        origin: context.dissemination.node,
        placed: context.placements.borrow_mut().take(),
        role_changes: changes.collect(),
        crashes: context.quarantine.outgoing_records.borrow_mut().take(),
    }
}

/// Takes queued news in batches that fit a datagram. Counts dropped news.
pub(super) fn take_batches_of(context: &Context, queue: &RefCell<NewsQueue>) -> Vec<Vec<News>> {
    let mut queue = queue.borrow_mut();
    context.metrics.news_dropped(queue.take_dropped());
    queue.take_batches()
}

/// Demand at this node and at the sources that `includes` selects.
pub(super) fn demand(context: &Context, includes: impl Fn(LoadSource) -> bool) -> Vec<PoolDemand> {
    let now: MonotonicTime = context.now();
    let summed = context.demand.borrow_mut().sum_of(now, includes);
    summed
        .into_iter()
        .map(|(pool, demand)| PoolDemand {
            pool,
            disaggregated_tokens_per_s: demand.disaggregated_tokens_per_s,
            colocated_tokens_per_s: demand.colocated_tokens_per_s,
        })
        .collect()
}
