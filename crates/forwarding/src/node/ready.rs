//! Readiness endpoint: tells the platform whether to send callers to this node.

use std::rc::Rc;

use dalestand_http_server::{Answer, Request, StatusCode, status_answer};

use crate::context::Context;

/// Answers a readiness probe.
pub(crate) async fn ready(context: Rc<Context>, request: Request) -> Answer {
    if request.path() != context.dialect.ready_path() {
        return status_answer(StatusCode::NOT_FOUND);
    }
    if context.is_ready() {
        status_answer(StatusCode::OK)
    } else {
        status_answer(StatusCode::SERVICE_UNAVAILABLE)
    }
}
