//! Counts a request at an engine while it is there.

use std::rc::Rc;

use dalestand_routing::staged::{EngineKey, PromptPart, StagedEngine};

use crate::context::Context;

/// Prompt tokens from which a change of an engine's work is told to peers at once.
const TOLD_AT_ONCE_TOKENS: u32 = 500;

/// A request at an engine, until dropped.
pub(crate) struct WorkGuard {
    context: Rc<Context>,
    engine: EngineKey,
    unread_tokens: u32,
}

impl WorkGuard {
    /// Counts a request that is about to be sent, with the prompt tokens that are to be read.
    pub(crate) fn new(
        context: &Rc<Context>,
        engine: &StagedEngine,
        unread_tokens: u32,
        parts: &[PromptPart],
    ) -> Self {
        {
            let mut router = context.router.borrow_mut();
            router.work.sent(engine.key, unread_tokens);
            if !parts.is_empty() {
                router.parts.note(engine.key, engine.memory_tokens, parts);
                context.placements.borrow_mut().push(engine.key, parts);
            }
        }
        let guard = Self {
            context: Rc::clone(context),
            engine: engine.key,
            unread_tokens,
        };
        guard.tell();
        guard
    }

    /// Notes that the prompt was read.
    pub(crate) fn prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        if tokens == 0 {
            return;
        }
        let mut router = self.context.router.borrow_mut();
        router.work.read(self.engine, tokens);
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
        self.prompt_read();
        self.context.router.borrow_mut().work.ended(self.engine);
    }
}
