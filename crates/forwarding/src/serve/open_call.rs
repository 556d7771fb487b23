//! Calls that have been sent and have no outcome yet.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

use actix_http::RequestHead;
use dalestand_clock::BootInstant;
use dalestand_engine_link::{AllowedPaths, Exchange, LinkTarget};
use dalestand_http_server::Body;
use dalestand_routing::staged::{EngineChoice, EngineKey, StagedEngine};
use dalestand_routing::{CallPurpose, RepeatedSend, RetryBalance};
use dalestand_types::{MonotonicTime, PoolName, RequestRate, SoftwareVersion};

use crate::context::Context;
use crate::permits::send_permission::SendPermission;
use crate::quarantine::run_watch::RunWatch;
use crate::serve::attempt::EngineAnswer;
use crate::serve::engine_send::{CallContent, CallError, EngineCall, EngineReply, send};
use crate::serve::progress::EntryUsed;
use crate::serve::work_guard::WorkGuard;

type Sending = Pin<Box<dyn Future<Output = Result<EngineReply, CallError>>>>;

/// A call that an engine may still answer. Dropping it closes its connection.
pub(crate) struct OpenCall {
    pub(super) sending: Sending,
    pub(super) purpose: CallPurpose,
    pub(super) pool: PoolName,
    pub(super) choice: EngineChoice,
    pub(super) target: LinkTarget,
    /// Version of the engine's software, if known.
    pub(super) software: Option<SoftwareVersion>,
    pub(super) work: WorkGuard,
    pub(super) watch: RunWatch,
    pub(super) sent_at: BootInstant,
    /// The same on the node's own clock.
    pub(super) sent_time: MonotonicTime,
    /// Requests at the engine, of all nodes, that had not started when the call was sent.
    pub(super) not_started_before: u32,
    /// Rate limit of the engine, if known.
    pub(super) known_limit: Option<RequestRate>,
    /// The entry by which the engine was called.
    pub(super) entry: Option<EntryUsed>,
    /// What was taken from the retry budget, and the budget before that.
    pub(super) retry: Option<(RepeatedSend, RetryBalance)>,
    /// Index of its record among those of the request, once its engine has been silent for its time limit.
    pub(super) silent_record: Option<usize>,
}

impl OpenCall {
    /// Whether its engine has been silent for its time limit.
    pub(super) fn is_silent(&self) -> bool {
        self.silent_record.is_some()
    }

    /// Identifies the call among those of its request: an engine is called once at a time.
    pub(super) fn id(&self) -> (EngineKey, BootInstant) {
        (self.choice.engine.key, self.sent_at)
    }

    pub(super) fn into_answer(mut self, exchange: Exchange) -> EngineAnswer {
        self.work.record_started();
        EngineAnswer {
            head: exchange.head,
            body: exchange.body,
            pool: self.pool,
            choice: self.choice,
            software: self.software,
            work: self.work,
            watch: self.watch,
            sent_at: self.sent_at,
            answered_at: BootInstant::now(),
            target: self.target,
            not_started_before: self.not_started_before,
        }
    }
}

/// The first reply to any of `calls`, from which its call is removed. Waits forever if there are none.
pub(super) async fn next_reply(
    calls: &mut Vec<OpenCall>,
) -> (OpenCall, Result<EngineReply, CallError>) {
    poll_fn(|context| {
        for index in 0..calls.len() {
            if let Poll::Ready(reply) = calls[index].sending.as_mut().poll(context) {
                return Poll::Ready((calls.remove(index), reply));
            }
        }
        Poll::Pending
    })
    .await
}

/// A call with all that it needs, so that it can outlive the step that sent it.
pub(super) struct OwnedCall {
    pub(super) pool: PoolName,
    pub(super) engine: StagedEngine,
    pub(super) target: LinkTarget,
    pub(super) head: RequestHead,
    pub(super) body: Body,
    pub(super) content: CallContent,
    pub(super) is_repeatable: bool,
    pub(super) permission: SendPermission,
}

/// Sends a call and waits for the response head.
pub(super) async fn send_owned(
    context: Rc<Context>,
    call: OwnedCall,
) -> Result<EngineReply, CallError> {
    let call = EngineCall {
        pool: &call.pool,
        engine: &call.engine,
        target: &call.target,
        head: call.head,
        body: &call.body,
        content: call.content,
        paths: AllowedPaths::Any,
        is_repeatable: call.is_repeatable,
        permission: call.permission,
    };
    send(&context, call).await
}
