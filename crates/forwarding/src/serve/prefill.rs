//! Prefills a prompt at one engine, so that another engine can continue from its KV cache.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::RequestHead;
use dalestand_edge::routed::{EngineRequestOptions, HeldKvCache};
use dalestand_engine_link::{AllowedPaths, LinkTarget};
use dalestand_http_server::Body;
use dalestand_routing::CallPurpose;
use dalestand_routing::staged::{AttemptResult, EngineChoice, StagedEngine};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::permits::send_permission::SendPermission;
use crate::quarantine::run_watch::UnfinishedReason;
use crate::serve::attempt::{AttemptOutcome, Call, EngineAnswer, attempt};
use crate::serve::engine_send::{CallContent, EngineCall, send};
use crate::serve::progress::Progress;

/// Maximum length of the answer to a prefill.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// The time limit of a prefill is this multiple of the estimate, plus [`TIMEOUT_ALLOWANCE`].
const TIMEOUT_FACTOR: f64 = 4.0;

/// See [`TIMEOUT_FACTOR`].
const TIMEOUT_ALLOWANCE: Duration = Duration::from_millis(600);

/// Time limit of the call that frees a KV cache.
const FREE_TIMEOUT: Duration = Duration::from_secs(2);

/// The KV cache of a prompt, held by the engine that prefilled it. Freed on drop unless another
/// engine has fetched it.
pub(crate) struct PrefilledPrompt {
    context: Rc<Context>,
    pool: PoolName,
    target: LinkTarget,
    pub(crate) engine: StagedEngine,
    pub(crate) kv_cache: HeldKvCache,
    fetched: bool,
}

impl PrefilledPrompt {
    /// Address of the engine that holds the KV cache.
    pub(crate) fn address(&self) -> SocketAddr {
        self.target.address
    }

    /// Records that another engine has fetched the KV cache.
    pub(crate) fn mark_fetched(mut self) {
        self.fetched = true;
    }
}

impl Drop for PrefilledPrompt {
    fn drop(&mut self) {
        if self.fetched {
            return;
        }
        let context = Rc::clone(&self.context);
        let (pool, engine, target) = (self.pool.clone(), self.engine.clone(), self.target.clone());
        let (method, path) = context.dialect.free_kv_cache(&self.kv_cache);
        actix_rt::spawn(async move {
            let mut head = RequestHead::default();
            head.method = method;
            let Ok(uri) = path.parse() else { return };
            head.uri = uri;
            let call = EngineCall {
                pool: &pool,
                engine: &engine,
                target: &target,
                head,
                body: &Body::default(),
                content: CallContent::Internal,
                paths: AllowedPaths::Any,
                is_repeatable: true,
                permission: SendPermission::for_internal_call(&context, engine.key),
            };
            let sent = send(&context, call);
            // If this fails, the engine frees the cache by itself after a time.
            if let Ok(Ok(mut reply)) = tokio::time::timeout(FREE_TIMEOUT, sent).await {
                let _ = reply.exchange.body.collect(MAX_ANSWER_BYTES).await;
            }
        });
    }
}

/// Outcome of a prefill. A prefill does not run the request, so another call may follow any
/// failure.
pub(crate) enum PrefillOutcome {
    /// The engine holds the KV cache.
    Held(Box<PrefilledPrompt>),
    /// No KV cache is held.
    Failed,
}

/// Prefills the prompt at an engine.
pub(crate) async fn prefill(
    context: &Rc<Context>,
    progress: &mut Progress,
    pool: &PoolName,
    choice: EngineChoice,
) -> PrefillOutcome {
    let tokens_ahead = {
        let router = context.router.borrow();
        let work = router.work.total(choice.engine.key);
        work.unprefilled_tokens as f64 + f64::from(choice.unprefilled_tokens)
    };
    let call = Call {
        purpose: CallPurpose::Prefill,
        pool,
        timeout: prefill_timeout(&choice).min(progress.time_left()),
        choice,
        terms: EngineRequestOptions {
            prefill_only: true,
            ..EngineRequestOptions::default()
        },
    };
    match attempt(context, progress, call).await {
        AttemptOutcome::Answered(answer) => {
            finish_prefill(context, pool, *answer, tokens_ahead).await
        }
        AttemptOutcome::Refused | AttemptOutcome::NotSent | AttemptOutcome::Unknown => {
            PrefillOutcome::Failed
        }
    }
}

fn prefill_timeout(choice: &EngineChoice) -> Duration {
    let expected = Duration::try_from_secs_f64(choice.expected_s * TIMEOUT_FACTOR);
    TIMEOUT_ALLOWANCE + expected.unwrap_or(TIMEOUT_ALLOWANCE)
}

async fn finish_prefill(
    context: &Rc<Context>,
    pool: &PoolName,
    mut answer: EngineAnswer,
    tokens_ahead: f64,
) -> PrefillOutcome {
    let engine = answer.choice.engine.clone();
    let body = answer.body.collect(MAX_ANSWER_BYTES).await;
    match &body {
        Ok(_) => answer.watch.dismiss(),
        Err(_) => answer.watch.record_unfinished(UnfinishedReason::BrokenOff),
    }
    let kv_cache = match body {
        Ok(body) if answer.head.status.is_success() => context.dialect.read_held_kv_cache(&body),
        Ok(_) | Err(_) => None,
    };
    answer.work.record_prefilled();
    let now = context.now();
    let mut router = context.router.borrow_mut();
    let Some(kv_cache) = kv_cache else {
        router.health.record(now, engine.key, AttemptResult::Failed);
        return PrefillOutcome::Failed;
    };
    let took_s = answer.sent_at.elapsed().as_secs_f64();
    router
        .prefill_speeds
        .observe(engine.key, tokens_ahead, took_s);
    PrefillOutcome::Held(Box::new(PrefilledPrompt {
        context: Rc::clone(context),
        pool: pool.clone(),
        target: answer.target,
        engine,
        kv_cache,
        fetched: false,
    }))
}
