//! Recovers the prompt parts cached by engines. A starting node asks relays for them. After a loss of
//! all nodes no relay knows any: relays query the engines, each engine being assigned to one relay, and
//! inform the others.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_dissemination::{Placement, PlacementState};
use dalestand_engine_link::AllowedPaths;
use dalestand_routing::staged::{EngineKey, PromptPart, StagedEngine, rendezvous_weight};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::PoolName;
use futures_util::stream::{self, StreamExt as _};

use crate::context::Context;
use crate::fleet::placements::placement;
use crate::serve::engine_call::call_engine;

/// How often to check whether this node is ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time within which a ready node discovers the relays.
const RELAY_DISCOVERY_TIME: Duration = Duration::from_millis(60);

/// Shorter parts are not recovered.
const MIN_PART_TOKENS: u32 = 400;

/// Limit on the parts of one placement.
const MAX_PARTS_PER_PLACEMENT: usize = 50;

/// Limit on the parts sent to a starting node: 55 KB, which a link of 20 Mbit/s carries in 22 ms. Less
/// recently used parts are prefilled again on demand.
const MAX_PARTS_SENT: usize = 4_096;

/// Concurrent queries of a relay to engines. Querying all assigned engines at once would delay the
/// tables that its members need after a start. In a large fleet these are hundreds.
const MAX_CONCURRENT_REQUESTS: usize = 8;

/// Recovers the cached parts; returns when all queries are done.
pub(crate) async fn recover_parts(context: Rc<Context>) {
    while !context.is_ready() {
        actix_rt::time::sleep(READY_POLL_INTERVAL).await;
    }
    actix_rt::time::sleep(RELAY_DISCOVERY_TIME).await;
    context.request_parts();
    if !context.dissemination.role(context.now()).is_relay {
        return;
    }
    let requests = assigned_engines(&context)
        .into_iter()
        .map(|(pool, engine)| recover_from_engine(Rc::clone(&context), pool, engine));
    stream::iter(requests)
        .buffer_unordered(MAX_CONCURRENT_REQUESTS)
        .for_each(|()| std::future::ready(()))
        .await;
}

/// The most recently used cached parts, for a starting node.
pub(crate) fn known_parts(context: &Context) -> Vec<Placement> {
    let mut by_engine: HashMap<EngineKey, Vec<PromptPart>> = HashMap::new();
    let router = context.router.borrow();
    let last = router.parts.recently_confirmed(MIN_PART_TOKENS);
    for (engine, part) in last.take(MAX_PARTS_SENT) {
        by_engine.entry(engine).or_default().push(part);
    }
    let placements = by_engine.into_iter().flat_map(|(engine, parts)| {
        let chunks = parts.chunks(MAX_PARTS_PER_PLACEMENT);
        let read = |parts| placement(engine, PlacementState::Prefilled, parts, 0);
        chunks.map(read).collect::<Vec<_>>()
    });
    placements.collect()
}

/// The engines assigned to this relay by rendezvous hashing.
fn assigned_engines(context: &Context) -> Vec<(PoolName, StagedEngine)> {
    let fleet = context.fleet();
    let node = context.dissemination.node.0;
    let others = context.dissemination.other_relays();
    let is_assigned = |engine: &StagedEngine| {
        let weight = |node| rendezvous_weight(engine.key.0, node);
        let mut others = others.iter();
        others.all(|other| weight(node) > weight(other.number.0))
    };
    let engines = fleet.engines();
    let prompt_engines = engines.filter(|(_, engine)| engine.kv_cache_tokens > 0);
    prompt_engines
        .filter(|(_, engine)| is_assigned(engine))
        .map(|(pool, engine)| (pool.clone(), engine.clone()))
        .collect()
}

async fn recover_from_engine(context: Rc<Context>, pool: PoolName, engine: StagedEngine) {
    let head = context.dialect.cached_parts_request();
    let paths = AllowedPaths::Any;
    let answered = call_engine(&context, &pool, &engine, head, Bytes::new(), paths).await;
    let Some((status, body)) = answered else {
        log_event!(context.logger, Event::EngineUnresponsive, "engine" => &*engine.run);
        return;
    };
    if !status.is_success() {
        return;
    }
    let cached = context.dialect.read_cached_parts(&body);
    let long = cached
        .into_iter()
        .filter(|(_, tokens)| *tokens >= MIN_PART_TOKENS);
    let parts: Vec<PromptPart> = long.map(|(id, tokens)| PromptPart { id, tokens }).collect();
    log_event!(context.logger, Event::PartsRecovered, "engine" => &*engine.run,
        "parts" => parts.len());
    let mut router = context.router.borrow_mut();
    router
        .parts
        .record_sent(engine.key, engine.kv_cache_tokens, &parts);
    router.parts.confirm_cached(engine.key, &parts);
    let mut placements = context.placements.borrow_mut();
    for parts in parts.chunks(MAX_PARTS_PER_PLACEMENT) {
        placements.push_cached(engine.key, parts);
    }
}
