//! What a call needs before it may go out to an engine.

use dalestand_routing::shared_rate::Permit;
use dalestand_routing::staged::{ClosedReason, EngineKey};
use dalestand_types::MonotonicTime;

use crate::context::Context;
use crate::permits::requester;

/// Leave to send one call. Dropped before it was used, its permit is given back.
pub(crate) struct Passage<'a> {
    context: &'a Context,
    /// `None` where the engine needs none, or once it is used.
    permit: Option<Permit>,
}

impl<'a> Passage<'a> {
    /// Leave for a caller's request, or why there is none. Waits for another node's answer where the engine has a
    /// limit.
    pub(crate) async fn for_request(
        context: &'a Context,
        engine: EngineKey,
    ) -> Result<Self, ClosedReason> {
        let permit = if has_limit(context, engine) {
            Some(requester::permit(context, engine).await?)
        } else {
            None
        };
        Ok(Self { context, permit })
    }

    /// Leave for a call of the node's own: it goes out whatever the limit, and is counted.
    pub(crate) fn for_own_call(context: &'a Context, engine: EngineKey) -> Self {
        if has_limit(context, engine) {
            requester::tell_of_call(context, engine);
        }
        Self {
            context,
            permit: None,
        }
    }

    /// Whether the call may still go out.
    pub(crate) fn holds(&self, now: MonotonicTime) -> bool {
        self.permit.is_none_or(|permit| permit.is_valid(now))
    }

    /// Notes that the call goes out.
    pub(crate) fn used(&mut self) {
        if self.permit.take().is_some() {
            self.context.metrics.permit("used");
        }
    }
}

impl Drop for Passage<'_> {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            let mut router = self.context.router.borrow_mut();
            router.signals.permits.give_back(permit);
        }
    }
}

fn has_limit(context: &Context, engine: EngineKey) -> bool {
    let router = context.router.borrow();
    router.signals.limits().get(engine).is_some()
}
