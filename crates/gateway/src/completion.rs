//! Completions: from the caller's body to the engine's frames and back.

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

use crate::attempt::Attempts;
use crate::claim::KeptAnswer;
use crate::claim_hold::{ClaimHold, Claimed, claim};
use crate::context::Context;
use crate::error::CallerError;
use crate::openai::{AnswerHead, ChatBody, CompletionBody, EventWriter, Surface, Wish, whole_body};
use crate::order::{CallerOrder, KeyedRequest};
use crate::record::{self, OpenRecord};
use crate::relay::{Piece, Relay};
use crate::resume::EventIds;
use crate::shared::{ActiveConfiguration, RequestGuard};
use crate::tenant_share::TenantGrant;

/// Wait told to callers of a node that has no configuration yet, is full or stops.
const UNAVAILABLE_RETRY: Duration = Duration::from_secs(1);

const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const REVISION_HEADER: HeaderName = HeaderName::from_static("x-dalestand-configuration");

const EVENT_STREAM: &str = "text/event-stream";

/// Serves one completion.
pub(crate) async fn complete(
    context: Rc<Context>,
    surface: Surface,
    http_request: &mut Request,
) -> Result<Answer, CallerError> {
    let in_flight = enter(&context)?;
    let active = usable_configuration(&context)?;
    let request_id = new_request_id(&context);
    let served = serve(
        &context,
        &active,
        in_flight,
        request_id,
        surface,
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

/// The answer to a request that the node cannot take now.
pub(crate) fn unavailable(message: &str) -> Answer {
    refuse(message).answer()
}

fn refuse(message: &str) -> CallerError {
    CallerError::Unavailable {
        message: message.to_owned(),
        retry_after: UNAVAILABLE_RETRY,
    }
}

fn enter(context: &Context) -> Result<RequestGuard, CallerError> {
    let guard = context.shared.enter_request();
    let guard = guard.ok_or_else(|| refuse("this node is stopping"))?;
    if context.shared.in_flight() > context.max_requests {
        return Err(refuse("this node has as many requests as it takes"));
    }
    Ok(guard)
}

fn usable_configuration(
    context: &Context,
) -> Result<std::sync::Arc<ActiveConfiguration>, CallerError> {
    let active = context.shared.configuration.load_full();
    active.ok_or_else(|| refuse("this node has no configuration yet"))
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
    surface: Surface,
    http_request: &mut Request,
) -> Result<Answer, CallerError> {
    let received_at = context.shared.clock.now();
    let terms = context.tenants.terms(active, http_request.headers())?;
    let keyed = KeyedRequest::read(http_request.headers())?;
    let wish = read_wish(active, surface, http_request).await?;
    let order = CallerOrder::new(context, active, terms, keyed, wish, request_id)?;
    let request_id = order.request.request;
    let head = AnswerHead {
        surface,
        id: format!("{}{request_id}", surface.id_prefix()),
        created: context.shared.clock.unix_ms() / 1_000,
        model: order.wish.model.clone(),
    };
    let shared = &context.shared;
    let grant = TenantGrant::take(shared, order.tenant.as_ref(), order.tokens_needed())?;
    let claimed = match order.claim.clone() {
        Some(request) => claim(&context.shared, request).await?,
        None => None,
    };
    let hold = match claimed {
        Some(Claimed::Answered(kept)) => return Ok(kept_answer(&head, &order.wish, &kept)),
        Some(Claimed::Granted(hold)) => Some(hold),
        None => None,
    };
    put_record(context, active, &order);
    let relay = start(context, &order, in_flight, received_at, hold, grant).await?;
    let mut answer = if order.wish.stream {
        let writer = EventWriter::new(&head, order.wish.include_usage);
        let resumed = order.request.resume_from > 0;
        let first = writer.first().filter(|_| !resumed);
        let events = events(relay, writer, order.event_ids);
        let events = stream::iter(first).chain(events);
        stream_answer(StatusCode::OK, EVENT_STREAM, events)
    } else {
        whole(relay, &head).await?
    };
    if let Ok(id) = HeaderValue::try_from(request_id.to_string()) {
        answer.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    Ok(answer)
}

async fn read_wish(
    active: &ActiveConfiguration,
    surface: Surface,
    http_request: &mut Request,
) -> Result<Wish, CallerError> {
    let limit = active.deployment.limits.max_body_bytes;
    match surface {
        Surface::Completion => {
            let body: CompletionBody = read_json(http_request, limit).await?;
            body.into_wish()
        }
        Surface::Chat => {
            let body: ChatBody = read_json(http_request, limit).await?;
            body.into_wish()
        }
    }
}

fn put_record(context: &Context, active: &ActiveConfiguration, order: &CallerOrder) {
    let record = RequestRecord {
        request: order.request.request,
        unix_ms: context.shared.clock.unix_ms(),
        revision: active.revision,
        model: order.request.model.clone(),
        tenant: order.request.tenant.clone(),
        terms: order.terms.clone(),
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
    order: &CallerOrder,
    in_flight: RequestGuard,
    received_at: dalestand_types::MonotonicTime,
    hold: Option<ClaimHold>,
    grant: Option<TenantGrant>,
) -> Result<Relay, CallerError> {
    let mut attempts = Attempts::new(
        Rc::clone(context),
        received_at,
        order.route.clone(),
        order.request.clone(),
        order.repeatable,
    );
    let open = OpenRecord::new(&context.shared, order.request.request);
    let started = attempts.start().await;
    open.hand_over();
    match started {
        Ok(accepted) => Ok(Relay::new(
            Rc::clone(context),
            in_flight,
            attempts,
            accepted,
            order.wish.stop.clone(),
            hold,
            grant,
        )),
        Err(error) => {
            let (request, state) = (order.request.request, error.run_state());
            if let Some(hold) = hold {
                hold.finish(state, None);
            }
            record::finish(&context.shared, request, state, Some(error.to_string()));
            Err(error)
        }
    }
}

/// The events of a streamed answer. With `event_ids`, each text's event carries an id by which
/// the stream is resumed.
fn events(
    relay: Relay,
    writer: EventWriter,
    event_ids: Option<EventIds>,
) -> impl Stream<Item = Bytes> {
    // Boxed, since it is moved for each event.
    let events = Box::new(Events {
        relay,
        writer,
        event_ids,
    });
    stream::unfold(events, |mut events| async move {
        let event = events.next().await?;
        Some((event, events))
    })
}

/// A streamed answer.
struct Events {
    relay: Relay,
    writer: EventWriter,
    event_ids: Option<EventIds>,
}

impl Events {
    async fn next(&mut self) -> Option<Bytes> {
        let event = match self.relay.next().await? {
            Piece::Text(text) => {
                let id = self.event_ids.as_ref().map(|ids| {
                    let mut id = String::new();
                    ids.write(&self.relay.resume_point(), &mut id);
                    id
                });
                self.writer.token(&text, id.as_deref())
            }
            Piece::LastText(text) => self.writer.token(&text, None),
            Piece::End(reason, usage) => self.writer.end(reason, usage),
            Piece::Broken(error) => self.writer.error(&error.body()),
        };
        Some(event)
    }
}

async fn whole(mut relay: Relay, head: &AnswerHead) -> Result<Answer, CallerError> {
    let mut text = String::new();
    loop {
        match relay.next().await {
            Some(Piece::Text(token) | Piece::LastText(token)) => text.push_str(&token),
            Some(Piece::End(reason, usage)) => {
                let body = whole_body(head, &text, reason, usage);
                return Ok(json_answer(StatusCode::OK, &body));
            }
            Some(Piece::Broken(error)) => return Err(error),
            None => return Err(CallerError::Unknown("the answer broke off".to_owned())),
        }
    }
}

/// The answer of the first request under a key, for one that repeats it.
fn kept_answer(head: &AnswerHead, wish: &Wish, kept: &KeptAnswer) -> Answer {
    if !wish.stream {
        let body = whole_body(head, &kept.text, kept.reason, kept.usage);
        return json_answer(StatusCode::OK, &body);
    }
    let writer = EventWriter::new(head, wish.include_usage);
    let events = [
        writer.first(),
        Some(writer.token(&kept.text, None)),
        Some(writer.end(kept.reason, kept.usage)),
    ];
    let events = stream::iter(events.into_iter().flatten());
    stream_answer(StatusCode::OK, EVENT_STREAM, events)
}
