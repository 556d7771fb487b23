//! Permission to send one call to an engine.

use std::rc::Rc;

use dalestand_routing::shared_rate::Permit;
use dalestand_routing::staged::{ClosedReason, EngineKey};
use dalestand_types::MonotonicTime;

use crate::context::Context;
use crate::permits::requester;

/// Permission to send one call. If dropped unused, its permit is returned.
pub(crate) struct SendPermission {
    context: Rc<Context>,
    /// `None` if the engine has no limit, or after the permit has been used.
    permit: Option<Permit>,
}

impl SendPermission {
    /// Acquires permission for a caller's request, or returns why there is none. If the engine has
    /// a limit, this may wait for the answer of the issuing node.
    pub(crate) async fn for_request(
        context: &Rc<Context>,
        engine: EngineKey,
    ) -> Result<Self, ClosedReason> {
        let permit = if has_limit(context, engine) {
            Some(requester::acquire_permit(context, engine).await?)
        } else {
            None
        };
        Ok(Self {
            context: Rc::clone(context),
            permit,
        })
    }

    /// Permission for an internal call, which is sent despite any limit but counts against it.
    pub(crate) fn for_internal_call(context: &Rc<Context>, engine: EngineKey) -> Self {
        if has_limit(context, engine) {
            requester::report_internal_call(context, engine);
        }
        Self {
            context: Rc::clone(context),
            permit: None,
        }
    }

    /// Whether the call may still be sent.
    pub(crate) fn is_valid(&self, now: MonotonicTime) -> bool {
        self.permit.is_none_or(|permit| permit.is_valid(now))
    }

    /// Consumes the permit, as the call is being sent.
    pub(crate) fn mark_used(&mut self) {
        if self.permit.take().is_some() {
            self.context.metrics.permit("used");
        }
    }
}

impl Drop for SendPermission {
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
