//! Reads a prompt at one engine, whose memory of it another engine goes on from.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::RequestHead;
use bytes::Bytes;
use dalestand_edge::routed::{EngineRequestOptions, HeldKvCache};
use dalestand_engine_link::LinkTarget;
use dalestand_routing::CallPurpose;
use dalestand_routing::staged::{AttemptResult, EngineChoice, StagedEngine};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::permits::passage::Passage;
use crate::quarantine::run_watch::Unfinished;
use crate::serve::attempt::{AttemptEnd, Call, EngineAnswer, attempt};
use crate::serve::engine_send::{CallContent, EngineCall, send};
use crate::serve::progress::Progress;

/// Longest answer to a prefill.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// A prefill may take this multiple of what is expected, and the time below besides.
const PATIENCE_FACTOR: f64 = 4.0;

/// See [`PATIENCE_FACTOR`].
const PATIENCE: Duration = Duration::from_millis(600);

/// Time limit of the call that frees memory.
const FREE_TIMEOUT: Duration = Duration::from_secs(2);

/// Memory that an engine holds. Unless it was taken, dropping this frees it.
pub(crate) struct HeldPrompt {
    context: Rc<Context>,
    pool: PoolName,
    target: LinkTarget,
    pub(crate) engine: StagedEngine,
    pub(crate) kv_cache: HeldKvCache,
    taken: bool,
}

impl HeldPrompt {
    /// Where the memory is.
    pub(crate) fn address(&self) -> SocketAddr {
        self.target.address
    }

    /// Notes that another engine took the memory.
    pub(crate) fn taken(mut self) {
        self.taken = true;
    }
}

impl Drop for HeldPrompt {
    fn drop(&mut self) {
        if self.taken {
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
                body: &Bytes::new(),
                content: CallContent::Own,
                passage: Passage::for_own_call(&context, engine.key),
            };
            let sent = send(&context, call);
            // An engine that cannot be reached, or wants no calls, frees the memory by itself after a time.
            if let Ok(Ok(mut reply)) = tokio::time::timeout(FREE_TIMEOUT, sent).await {
                let _ = reply.exchange.body.collect(MAX_ANSWER_BYTES).await;
            }
        });
    }
}

/// How a prefill came out. It is no run, so each failure may be followed by another call.
pub(crate) enum PrefillEnd {
    /// The engine holds the memory.
    Held(Box<HeldPrompt>),
    /// Nothing is held.
    Failed,
}

/// Has an engine read the prompt.
pub(crate) async fn prefill(
    context: &Rc<Context>,
    progress: &mut Progress,
    pool: &PoolName,
    choice: EngineChoice,
) -> PrefillEnd {
    let tokens_ahead = {
        let router = context.router.borrow();
        let work = router.work.total(choice.engine.key);
        work.unread_tokens as f64 + f64::from(choice.unread_tokens)
    };
    let call = Call {
        purpose: CallPurpose::Prefill,
        pool,
        patience: patience(&choice).min(progress.time_left()),
        choice,
        terms: EngineRequestOptions {
            prefill_only: true,
            ..EngineRequestOptions::default()
        },
    };
    match attempt(context, progress, call).await {
        AttemptEnd::Answered(answer) => read(context, pool, *answer, tokens_ahead).await,
        AttemptEnd::Refused | AttemptEnd::NotSent | AttemptEnd::Unknown => PrefillEnd::Failed,
    }
}

fn patience(choice: &EngineChoice) -> Duration {
    let expected = Duration::try_from_secs_f64(choice.expected_s * PATIENCE_FACTOR);
    PATIENCE + expected.unwrap_or(PATIENCE)
}

async fn read(
    context: &Rc<Context>,
    pool: &PoolName,
    mut answer: EngineAnswer,
    tokens_ahead: f64,
) -> PrefillEnd {
    let engine = answer.choice.engine.clone();
    let body = answer.body.collect(MAX_ANSWER_BYTES).await;
    match &body {
        Ok(_) => answer.watch.over(),
        Err(_) => answer.watch.unfinished(Unfinished::BrokenOff),
    }
    let kv_cache = match body {
        Ok(body) if answer.head.status.is_success() => context.dialect.read_held_kv_cache(&body),
        Ok(_) | Err(_) => None,
    };
    answer.work.prompt_read();
    let now = context.now();
    let mut router = context.router.borrow_mut();
    let Some(kv_cache) = kv_cache else {
        router.health.record(now, engine.key, AttemptResult::Failed);
        return PrefillEnd::Failed;
    };
    let seen_s = answer.sent_at.elapsed().as_secs_f64();
    router
        .prefill_speeds
        .observe(engine.key, tokens_ahead, seen_s);
    PrefillEnd::Held(Box::new(HeldPrompt {
        context: Rc::clone(context),
        pool: pool.clone(),
        target: answer.target,
        engine,
        kv_cache,
        taken: false,
    }))
}
