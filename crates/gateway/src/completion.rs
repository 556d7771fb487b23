//! Handles a completion request from its body to the answer.

use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{HeaderName, HeaderValue};
use bytes::Bytes;
use dalestand_decision::RequestRecord;
use dalestand_http_server::{
    Answer, HttpMessage as _, Request, json_answer, read_json, stream_answer,
};
use dalestand_types::RequestId;
use futures_util::{Stream, StreamExt as _, stream};
use rand::RngExt as _;

use crate::answer_stream::{AnswerItem, AnswerStream};
use crate::attempt::Attempts;
use crate::claim::KeptAnswer;
use crate::claim_guard::{ClaimGuard, Claimed, claim};
use crate::context::Context;
use crate::error::CallerError;
use crate::openai::{
    AnswerHead, CallerRequest, ChatBody, CompletionBody, Endpoint, EventWriter, whole_body,
};
use crate::record::{self, RecordGuard};
use crate::resolved_request::{IdempotencyHeaders, ResolvedRequest};
use crate::resume::EventIds;
use crate::shared::{ActiveConfiguration, RequestGuard};
use crate::token_reservation::TokenReservation;

/// Retry delay given to callers of a node that has no configuration yet, is full or is stopping.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const REVISION_HEADER: HeaderName = HeaderName::from_static("x-dalestand-configuration");

const EVENT_STREAM: &str = "text/event-stream";

/// Handles one completion request.
pub(crate) async fn complete(
    context: Rc<Context>,
    endpoint: Endpoint,
    http_request: &mut Request,
) -> Result<Answer, CallerError> {
    let in_flight = admit(&context)?;
    let active = current_configuration(&context)?;
    let request_id = new_request_id(&context);
    let served = serve(
        &context,
        &active,
        in_flight,
        request_id,
        endpoint,
        http_request,
    )
    .await;
    let mut answer = served.unwrap_or_else(|error| error.answer());
    let headers = answer.headers_mut();
    if !headers.contains_key(REQUEST_ID_HEADER)
        && let Ok(id) = HeaderValue::try_from(request_id.to_string())
    {
        headers.insert(REQUEST_ID_HEADER, id);
    }
    headers.insert(REVISION_HEADER, HeaderValue::from(active.revision.0));
    Ok(answer)
}

/// The answer to a request that the node cannot accept now.
pub(crate) fn unavailable(message: &str) -> Answer {
    unavailable_error(message).answer()
}

fn unavailable_error(message: &str) -> CallerError {
    CallerError::Unavailable {
        message: message.to_owned(),
        retry_after: UNAVAILABLE_RETRY_AFTER,
    }
}

fn admit(context: &Context) -> Result<RequestGuard, CallerError> {
    let guard = context.shared.enter_request();
    let guard = guard.ok_or_else(|| unavailable_error("this node is stopping"))?;
    if context.shared.in_flight() > context.max_requests {
        return Err(unavailable_error("this node has reached its request limit"));
    }
    Ok(guard)
}

fn current_configuration(
    context: &Context,
) -> Result<std::sync::Arc<ActiveConfiguration>, CallerError> {
    let active = context.shared.configuration.load_full();
    active.ok_or_else(|| unavailable_error("this node has no configuration yet"))
}

fn new_request_id(context: &Context) -> RequestId {
    let random = context.random.borrow_mut().random();
    RequestId::new(context.shared.node.tag(), random)
}

async fn serve(
    context: &Rc<Context>,
    active: &ActiveConfiguration,
    in_flight: RequestGuard,
    request_id: RequestId,
    endpoint: Endpoint,
    http_request: &mut Request,
) -> Result<Answer, CallerError> {
    let received_at = context.shared.clock.now();
    let policy = context.tenants.policy(active, http_request.headers())?;
    let idempotency = IdempotencyHeaders::read(http_request.headers())?;
    let original = read_caller_request(active, endpoint, http_request).await?;
    let resolved =
        ResolvedRequest::new(context, active, policy, idempotency, original, request_id)?;
    let request_id = resolved.request.request;
    let head = AnswerHead {
        endpoint,
        id: format!("{}{request_id}", endpoint.id_prefix()),
        created: context.shared.clock.unix_ms() / 1_000,
        model: resolved.original.model.clone(),
    };
    let shared = &context.shared;
    let reservation =
        TokenReservation::reserve(shared, resolved.tenant.as_ref(), resolved.tokens_needed())?;
    let claimed = match resolved.claim.clone() {
        Some(request) => claim(&context.shared, request).await?,
        None => None,
    };
    let claim_guard = match claimed {
        Some(Claimed::Answered(stored)) => {
            return Ok(replay_answer(&head, &resolved.original, &stored));
        }
        Some(Claimed::Granted(claim_guard)) => Some(claim_guard),
        None => None,
    };
    put_record(context, active, &resolved);
    let answer_stream = start(
        context,
        &resolved,
        in_flight,
        received_at,
        claim_guard,
        reservation,
    )
    .await?;
    let mut answer = if resolved.original.stream {
        let writer = EventWriter::new(&head, resolved.original.include_usage);
        let resumed = resolved.request.resume_from > 0;
        let first = writer.first().filter(|_| !resumed);
        let events = event_stream(answer_stream, writer, resolved.event_ids);
        let events = stream::iter(first).chain(events);
        stream_answer(StatusCode::OK, EVENT_STREAM, events)
    } else {
        collect_answer(answer_stream, &head).await?
    };
    if let Ok(id) = HeaderValue::try_from(request_id.to_string()) {
        answer.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    Ok(answer)
}

async fn read_caller_request(
    active: &ActiveConfiguration,
    endpoint: Endpoint,
    http_request: &mut Request,
) -> Result<CallerRequest, CallerError> {
    let limit = active.deployment.limits.max_body_bytes;
    match endpoint {
        Endpoint::Completion => {
            let body: CompletionBody = read_json(http_request, limit).await?;
            body.into_request()
        }
        Endpoint::Chat => {
            let body: ChatBody = read_json(http_request, limit).await?;
            body.into_request()
        }
    }
}

fn put_record(context: &Context, active: &ActiveConfiguration, resolved: &ResolvedRequest) {
    let record = RequestRecord {
        request: resolved.request.request,
        unix_ms: context.shared.clock.unix_ms(),
        revision: active.revision,
        model: resolved.request.model.clone(),
        tenant: resolved.request.tenant.clone(),
        terms: resolved.terms.clone(),
        attempts: Vec::new(),
        no_engine: None,
        refusal: None,
        run_state: None,
    };
    context.shared.decisions().put_request(record);
}

/// Sends the request to engines until one accepts it.
async fn start(
    context: &Rc<Context>,
    resolved: &ResolvedRequest,
    in_flight: RequestGuard,
    received_at: dalestand_types::MonotonicTime,
    claim_guard: Option<ClaimGuard>,
    reservation: Option<TokenReservation>,
) -> Result<AnswerStream, CallerError> {
    let mut attempts = Attempts::new(
        Rc::clone(context),
        received_at,
        resolved.route.clone(),
        resolved.request.clone(),
        resolved.repeatable,
    );
    let record_guard = RecordGuard::new(&context.shared, resolved.request.request);
    let started = attempts.start().await;
    record_guard.disarm();
    match started {
        Ok(accepted) => Ok(AnswerStream::new(
            Rc::clone(context),
            in_flight,
            attempts,
            accepted,
            resolved.original.stop.clone(),
            claim_guard,
            reservation,
        )),
        Err(error) => {
            let (request, state) = (resolved.request.request, error.run_state());
            if let Some(claim_guard) = claim_guard {
                claim_guard.finish(state, None);
            }
            record::finish(&context.shared, request, state, Some(error.to_string()));
            Err(error)
        }
    }
}

/// The events of a streamed answer. With `event_ids`, each event with text carries an id from which
/// the stream can be resumed.
fn event_stream(
    answer_stream: AnswerStream,
    writer: EventWriter,
    event_ids: Option<EventIds>,
) -> impl Stream<Item = Bytes> {
    // Boxed, because `unfold` moves the state for each event.
    let events = Box::new(EventStream {
        answer_stream,
        writer,
        event_ids,
    });
    stream::unfold(events, |mut events| async move {
        let event = events.next().await?;
        Some((event, events))
    })
}

/// A streamed answer.
struct EventStream {
    answer_stream: AnswerStream,
    writer: EventWriter,
    event_ids: Option<EventIds>,
}

impl EventStream {
    async fn next(&mut self) -> Option<Bytes> {
        let event = match self.answer_stream.next().await? {
            AnswerItem::Text(text) => {
                let id = self.event_ids.as_ref().map(|ids| {
                    let mut id = String::new();
                    ids.write(&self.answer_stream.resume_point(), &mut id);
                    id
                });
                self.writer.token(&text, id.as_deref())
            }
            AnswerItem::LastText(text) => self.writer.token(&text, None),
            AnswerItem::End(reason, usage) => self.writer.end(reason, usage),
            AnswerItem::Error(error) => self.writer.error(&error.body()),
        };
        Some(event)
    }
}

async fn collect_answer(
    mut answer_stream: AnswerStream,
    head: &AnswerHead,
) -> Result<Answer, CallerError> {
    let mut text = String::new();
    loop {
        match answer_stream.next().await {
            Some(AnswerItem::Text(token) | AnswerItem::LastText(token)) => text.push_str(&token),
            Some(AnswerItem::End(reason, usage)) => {
                let body = whole_body(head, &text, reason, usage);
                return Ok(json_answer(StatusCode::OK, &body));
            }
            Some(AnswerItem::Error(error)) => return Err(error),
            None => {
                return Err(CallerError::ResultUnknown(
                    "the answer ended early".to_owned(),
                ));
            }
        }
    }
}

/// Answers a repeated request with the stored answer of the first one under its key.
fn replay_answer(head: &AnswerHead, original: &CallerRequest, stored: &KeptAnswer) -> Answer {
    if !original.stream {
        let body = whole_body(head, &stored.text, stored.reason, stored.usage);
        return json_answer(StatusCode::OK, &body);
    }
    let writer = EventWriter::new(head, original.include_usage);
    let events = [
        writer.first(),
        Some(writer.token(&stored.text, None)),
        Some(writer.end(stored.reason, stored.usage)),
    ];
    let events = stream::iter(events.into_iter().flatten());
    stream_answer(StatusCode::OK, EVENT_STREAM, events)
}
