//! Evidence of a cut: direct connections that fail although other nodes reach the engine.

use std::rc::Rc;

use dalestand_engine_link::LinkTarget;
use dalestand_routing::staged::EngineKey;

use crate::context::Context;
use crate::detour::apply_change;
use crate::detour::open_detour::open_detour;
use crate::detour::reach::{SETTLE_TIME, engine_of, stays_open};

/// Records that a direct connection to an engine failed although another node reaches it.
pub(super) fn record_failed_open(context: &Context, engine: EngineKey) {
    let (now, engines) = (context.now(), context.fleet().len());
    let mut links = context.detours.links.borrow_mut();
    let change = links.record_failed_open(now, engine, engines);
    drop(links);
    if let Some(change) = change {
        apply_change(context, change);
    }
}

/// Checks whether another node reaches the engine of a new connection that broke before its first byte: if so, this node's
/// links are at fault, else the engine is.
pub(super) fn spawn_link_check(context: &Rc<Context>, target: &LinkTarget) {
    let engine = engine_of(target);
    if context.detours.is_cut_off() || !context.detours.checks.borrow_mut().insert(engine) {
        return;
    }
    let (context, target) = (Rc::clone(context), target.clone());
    actix_rt::spawn(async move {
        let opened = open_detour(Rc::clone(&context), target).await;
        // An engine without room resets a connection of another node too.
        if let Ok(detour) = opened
            && stays_open(&detour.stream, SETTLE_TIME).await
        {
            record_failed_open(&context, engine);
        }
        context.detours.checks.borrow_mut().remove(&engine);
    });
}
