//! Counts a request in an engine's load while it is there.

use std::rc::Rc;

use dalestand_dissemination::PlacementState;
use dalestand_routing::staged::{EngineKey, PromptPart, StagedEngine};

use crate::context::Context;
use crate::fleet_sums::TenantKey;
use crate::serve::class_counts::BusySlot;

/// Number of prompt tokens from which a change of an engine's load is sent to peers immediately.
const NOTIFY_THRESHOLD_TOKENS: u32 = 500;

/// A request at an engine, until dropped.
pub(crate) struct WorkGuard {
    context: Rc<Context>,
    engine: EngineKey,
    unread_tokens: u32,
    parts: Vec<PromptPart>,
    is_prefilled: bool,
    has_started: bool,
    slot: BusySlot,
}

impl WorkGuard {
    /// Counts a request that is about to be sent, with the prompt tokens to prefill.
    pub(crate) fn new(
        context: &Rc<Context>,
        engine: &StagedEngine,
        unread_tokens: u32,
        parts: &[PromptPart],
        slot: BusySlot,
    ) -> Self {
        {
            let mut router = context.router.borrow_mut();
            router.work.record_sent(engine.key, unread_tokens);
            let now = context.now();
            router
                .unreported
                .record_sent(now, engine.stage, unread_tokens);
            if !parts.is_empty() {
                router
                    .parts
                    .record_sent(engine.key, engine.memory_tokens, parts);
                let mut placements = context.placements.borrow_mut();
                placements.push(engine.key, PlacementState::Sent, parts);
            }
        }
        let guard = Self {
            context: Rc::clone(context),
            engine: engine.key,
            unread_tokens,
            parts: parts.to_vec(),
            is_prefilled: false,
            has_started: false,
            slot,
        };
        guard.notify_if_large();
        guard
    }

    /// Records that the answer has started, or never will.
    pub(crate) fn record_started(&mut self) {
        if !std::mem::replace(&mut self.has_started, true) {
            self.context
                .router
                .borrow_mut()
                .work
                .record_started(self.engine);
        }
    }

    /// Attributes the time that the request is at the engine to a tenant.
    pub(crate) fn set_tenant(&mut self, tenant: TenantKey) {
        self.slot.set_tenant(&self.context.tenant_shares, tenant);
    }

    /// Records that the prompt has been prefilled.
    pub(crate) fn record_prefilled(&mut self) {
        if !std::mem::replace(&mut self.is_prefilled, true) && !self.parts.is_empty() {
            let mut router = self.context.router.borrow_mut();
            let changed = router.parts.confirm_cached(self.engine, &self.parts);
            drop(router);
            // Peers know already which parts were cached before; the last part is unique to this
            // request.
            if changed {
                let mut placements = self.context.placements.borrow_mut();
                placements.push(self.engine, PlacementState::Prefilled, &self.parts);
            }
        }
        self.remove_unread_tokens();
    }

    /// Removes the prompt's tokens from the engine's prefill queue.
    fn remove_unread_tokens(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        if tokens == 0 {
            return;
        }
        let mut router = self.context.router.borrow_mut();
        router.work.record_prefilled(self.engine, tokens);
        drop(router);
        if tokens >= NOTIFY_THRESHOLD_TOKENS {
            self.context.work_changed.notify_one();
        }
    }

    fn notify_if_large(&self) {
        if self.unread_tokens >= NOTIFY_THRESHOLD_TOKENS {
            self.context.work_changed.notify_one();
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        if !self.is_prefilled && !self.parts.is_empty() {
            let mut router = self.context.router.borrow_mut();
            let changed = router.parts.remove_unconfirmed(self.engine, &self.parts);
            drop(router);
            if changed {
                let mut placements = self.context.placements.borrow_mut();
                placements.push(self.engine, PlacementState::NotPrefilled, &self.parts);
            }
        }
        self.remove_unread_tokens();
        self.record_started();
        self.context
            .router
            .borrow_mut()
            .work
            .record_ended(self.engine);
    }
}
