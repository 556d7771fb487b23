//! Calls to engines that are no caller's requests.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, StatusCode};
use bytes::Bytes;
use dalestand_routing::staged::StagedEngine;
use dalestand_types::PoolName;

use crate::context::Context;
use crate::permits::send_permission::SendPermission;
use crate::serve::engine_send::{CallContent, EngineCall, send};

/// Time limit of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Longest answer that is read.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// Makes a call; `None` if no whole answer came in time.
pub(crate) async fn call_engine(
    context: &Rc<Context>,
    pool: &PoolName,
    engine: &StagedEngine,
    head: RequestHead,
    body: Bytes,
) -> Option<(StatusCode, Bytes)> {
    let target = context.fleet().engine(engine.key)?.target();
    let call = EngineCall {
        pool,
        engine,
        target: &target,
        head,
        body: &body,
        content: CallContent::Own,
        permission: SendPermission::for_internal_call(context, engine.key),
    };
    let exchange = async {
        // Who calls logs that nothing came, whatever kept it.
        let mut exchange = send(context, call).await.ok()?.exchange;
        let body = exchange.body.collect(MAX_ANSWER_BYTES).await.ok()?;
        Some((exchange.head.status, body))
    };
    let answered = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
    answered.ok().flatten()
}
