//! Decides by which paths connections to engines are opened.

use std::rc::{Rc, Weak};

use dalestand_engine_link::{Detour, DetourError, LinkObservation, LinkPaths, LinkTarget};
use dalestand_routing::reachability::PeerFailure;
use futures_util::future::LocalBoxFuture;

use crate::context::Context;
use crate::detour::link_check::{record_failed_open, spawn_link_check};
use crate::detour::open_detour::open_detour;
use crate::detour::reach::{engine_of, reaches_another};

/// The paths of a node's connections. The context owns the link that owns this.
pub(crate) struct ContextPaths(Weak<Context>);

impl ContextPaths {
    pub(crate) fn new(context: &Rc<Context>) -> Self {
        Self(Rc::downgrade(context))
    }
}

impl LinkPaths for ContextPaths {
    fn trusts_kept(&self) -> bool {
        self.0.upgrade().is_none_or(|context| {
            let links = context.detours.links.borrow();
            links.trusts_kept(context.now())
        })
    }

    fn prefers_detour(&self) -> bool {
        self.0
            .upgrade()
            .is_some_and(|context| context.detours.is_cut_off())
    }

    fn open_detour(
        &self,
        target: &LinkTarget,
    ) -> LocalBoxFuture<'static, Result<Detour, DetourError>> {
        let (context, target) = (self.0.upgrade(), target.clone());
        Box::pin(async move {
            match context {
                Some(context) => open_detour(context, target).await,
                None => Err(DetourError::Unavailable),
            }
        })
    }

    fn confirms_refusal(&self, target: &LinkTarget) -> LocalBoxFuture<'static, bool> {
        let (context, engine) = (self.0.upgrade(), engine_of(target));
        Box::pin(async move {
            match context {
                Some(context) => reaches_another(context, engine).await,
                None => false,
            }
        })
    }

    fn observe(&self, observation: LinkObservation<'_>) {
        let Some(context) = self.0.upgrade() else {
            return;
        };
        let now = context.now();
        let mut links = context.detours.links.borrow_mut();
        match observation {
            LinkObservation::CallStarted => links.record_call(now),
            LinkObservation::CallEnded => links.record_call_end(),
            LinkObservation::Received { connection_age } => links.record_bytes(now, connection_age),
            LinkObservation::KeptBroke(target) => links.record_broken_kept(engine_of(target)),
            LinkObservation::OpenFailed(target) => {
                drop(links);
                record_failed_open(&context, engine_of(target));
            }
            LinkObservation::NewBroke(target) => {
                drop(links);
                spawn_link_check(&context, target);
            }
            LinkObservation::DetourBroke(carrier) => {
                let ranking = &context.detours.ranking;
                let failure = PeerFailure::Unreachable;
                ranking.borrow_mut().record_failure(now, carrier, failure);
            }
        }
    }
}
