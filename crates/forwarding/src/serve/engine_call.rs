//! Internal calls to engines, which serve no caller's request.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, StatusCode};
use bytes::Bytes;
use dalestand_engine_link::AllowedPaths;
use dalestand_routing::staged::StagedEngine;
use dalestand_types::PoolName;

use crate::context::Context;
use crate::permits::send_permission::SendPermission;
use crate::serve::engine_send::{CallContent, EngineCall, send};

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Maximum length of an answer.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Makes an internal call; `None` if no complete answer arrived in time.
pub(crate) async fn call_engine(
    context: &Rc<Context>,
    pool: &PoolName,
    engine: &StagedEngine,
    head: RequestHead,
    body: Bytes,
    paths: AllowedPaths,
) -> Option<(StatusCode, Bytes)> {
    let target = context.fleet().engine(engine.key)?.target();
    let call = EngineCall {
        pool,
        engine,
        target: &target,
        head,
        body: &body.into(),
        content: CallContent::Internal,
        paths,
        is_repeatable: false,
        permission: SendPermission::for_internal_call(context, engine.key),
    };
    let exchange = async {
        // The caller of this function logs the failure, whatever its cause.
        let mut exchange = send(context, call).await.ok()?.exchange;
        let body = exchange.body.collect(MAX_ANSWER_BYTES).await.ok()?;
        Some((exchange.head.status, body))
    };
    let answered = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
    answered.ok().flatten()
}
