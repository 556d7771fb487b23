//! Counts a request at an engine while it is there.

use std::rc::Rc;

use dalestand_dissemination::PlacementState;
use dalestand_routing::staged::{EngineKey, PromptPart, StagedEngine};

use crate::context::Context;
use crate::fleet_sums::TenantKey;
use crate::serve::class_counts::BusySlot;

/// Prompt tokens from which a change of an engine's work is told to peers at once.
const TOLD_AT_ONCE_TOKENS: u32 = 500;

/// A request at an engine, until dropped.
pub(crate) struct WorkGuard {
    context: Rc<Context>,
    engine: EngineKey,
    unread_tokens: u32,
    parts: Vec<PromptPart>,
    is_read: bool,
    has_begun: bool,
    slot: BusySlot,
}

impl WorkGuard {
    /// Counts a request that is about to be sent, with the prompt tokens that are to be read.
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
            is_read: false,
            has_begun: false,
            slot,
        };
        guard.tell();
        guard
    }

    /// Notes that the answer has begun, or never will.
    pub(crate) fn begun(&mut self) {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.context
                .router
                .borrow_mut()
                .work
                .record_started(self.engine);
        }
    }

    /// Has the time that the request is at the engine count for a tenant.
    pub(crate) fn counts_for(&mut self, tenant: TenantKey) {
        self.slot.counts_for(&self.context.tenant_shares, tenant);
    }

    /// Notes that the prompt was read.
    pub(crate) fn prompt_read(&mut self) {
        if !std::mem::replace(&mut self.is_read, true) && !self.parts.is_empty() {
            let mut router = self.context.router.borrow_mut();
            let is_news = router.parts.confirm_cached(self.engine, &self.parts);
            drop(router);
            // Others know already what was read before. The last part belongs to this request.
            if is_news {
                let mut placements = self.context.placements.borrow_mut();
                placements.push(self.engine, PlacementState::Read, &self.parts);
            }
        }
        self.settle();
    }

    /// Takes the prompt off what is to be read.
    fn settle(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        if tokens == 0 {
            return;
        }
        let mut router = self.context.router.borrow_mut();
        router.work.record_prefilled(self.engine, tokens);
        drop(router);
        if tokens >= TOLD_AT_ONCE_TOKENS {
            self.context.work_changed.notify_one();
        }
    }

    fn tell(&self) {
        if self.unread_tokens >= TOLD_AT_ONCE_TOKENS {
            self.context.work_changed.notify_one();
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        if !self.is_read && !self.parts.is_empty() {
            let mut router = self.context.router.borrow_mut();
            let is_news = router.parts.remove_unconfirmed(self.engine, &self.parts);
            drop(router);
            if is_news {
                let mut placements = self.context.placements.borrow_mut();
                placements.push(self.engine, PlacementState::NotRead, &self.parts);
            }
        }
        self.settle();
        self.begun();
        self.context
            .router
            .borrow_mut()
            .work
            .record_ended(self.engine);
    }
}
