//! Completions: from the caller's body to the engine's frames and back.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{HeaderName, HeaderValue};
use bytes::Bytes;
use dalestand_config::{Deployment, Pool};
use dalestand_decision::{AttemptOutcome, RequestRecord};
use dalestand_http_server::{Answer, Request, json_answer, read_json, stream_answer};
use dalestand_routing::{RouteRequest, prompt_blocks};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{
    AdapterName, AttemptId, FinishReason, GenerationFrame, GenerationRequest, ModelName, Priority,
    RequestId, RunState, Usage,
};
use futures_util::{StreamExt as _, stream};
use rand::RngExt as _;
use rand::rngs::StdRng;

use crate::attempt::{self, AcceptedAttempt};
use crate::error::CallerError;
use crate::openai::{CompletionBody, CompletionChoice, CompletionRequest, DONE_EVENT};
use crate::shared::{ActiveConfiguration, RequestGuard, Shared};

/// Separates a model from its adapter in the name callers use.
const ADAPTER_SEPARATOR: char = ':';

/// Wait told to callers of a node that has no configuration yet or stops.
const UNAVAILABLE_RETRY: Duration = Duration::from_secs(1);

const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");
const REVISION_HEADER: HeaderName = HeaderName::from_static("x-dalestand-configuration");

/// Serves one completion.
pub(crate) async fn complete(
    shared: Arc<Shared>,
    random: Rc<RefCell<StdRng>>,
    http_request: &mut Request,
) -> Result<Answer, CallerError> {
    let received_at = shared.clock.now();
    let in_flight = shared
        .enter_request()
        .ok_or_else(|| CallerError::Unavailable {
            message: "this node is stopping".to_owned(),
            retry_after: UNAVAILABLE_RETRY,
        })?;
    let active = usable_configuration(&shared)?;
    let limit = active.deployment.limits.max_body_bytes;
    let body: CompletionRequest = read_json(http_request, limit).await?;
    let request_id = RequestId::new(shared.node.tag(), random.borrow_mut().random());
    let request = generation_request(&active, &body, request_id)?;
    let record = RequestRecord {
        request: request.request,
        unix_ms: shared.clock.unix_ms(),
        revision: active.revision,
        model: request.model.clone(),
        tenant: None,
        attempts: Vec::new(),
        refusal: None,
        run_state: None,
    };
    shared.decisions().put_request(record);
    let prompt_tokens = body.prompt.split_whitespace().count() as u32;
    let mut route = RouteRequest::new(
        request.model.clone(),
        shared.zone.clone(),
        prompt_tokens,
        request.max_tokens,
    );
    route.adapter = request.adapter.clone();
    route.blocks = prompt_blocks(&body.prompt);
    route.may_split = may_split(&active.deployment, &request.model);
    let started = attempt::start(&shared, &random, received_at, route, request).await;
    let accepted = started.inspect_err(|error| {
        finish_record(
            &shared,
            request_id,
            error.run_state(),
            Some(error.to_string()),
        );
    })?;
    let relay = Relay::new(shared, in_flight, request_id, body.model, accepted);
    let mut answer = if body.stream {
        stream_answer(StatusCode::OK, "text/event-stream", relay.into_events())
    } else {
        relay.into_whole().await?
    };
    let id = HeaderValue::try_from(request_id.to_string());
    if let Ok(id) = id {
        answer.headers_mut().insert(REQUEST_ID_HEADER, id);
    }
    answer
        .headers_mut()
        .insert(REVISION_HEADER, HeaderValue::from(active.revision.0));
    Ok(answer)
}

/// Whether the prompt and the output may run on two engines. A request that may run once stays on
/// one, so that one engine's record of it is enough.
fn may_split(deployment: &Deployment, model: &ModelName) -> bool {
    deployment
        .pool_of_model(model)
        .is_some_and(|pool| pool.repeatable)
}

fn usable_configuration(shared: &Shared) -> Result<Arc<ActiveConfiguration>, CallerError> {
    shared
        .configuration
        .load_full()
        .ok_or_else(|| CallerError::Unavailable {
            message: "this node has no configuration yet".to_owned(),
            retry_after: UNAVAILABLE_RETRY,
        })
}

fn generation_request(
    active: &ActiveConfiguration,
    body: &CompletionRequest,
    request: RequestId,
) -> Result<GenerationRequest, CallerError> {
    let deployment = &active.deployment;
    let (model, adapter) = find_model(deployment, &body.model)?;
    let limits = &deployment.limits;
    let max_tokens = body.max_tokens.unwrap_or(limits.default_output_tokens);
    if max_tokens == 0 || max_tokens > limits.max_output_tokens {
        return Err(CallerError::Invalid {
            param: Some("max_tokens".to_owned()),
            message: format!(
                "max_tokens must lie between 1 and {}",
                limits.max_output_tokens
            ),
        });
    }
    Ok(GenerationRequest {
        request,
        attempt: AttemptId(0),
        model,
        adapter,
        tenant: None,
        prompt: body.prompt.clone(),
        max_tokens,
        resume_from: 0,
        priority: Priority::default(),
        deadline_ms: None,
        revision: active.revision,
        incarnation: None,
        once_key: None,
        import_from: None,
        prefill_only: false,
    })
}

fn find_model(
    deployment: &Deployment,
    name: &str,
) -> Result<(ModelName, Option<AdapterName>), CallerError> {
    let unknown = || CallerError::UnknownModel(name.to_owned());
    let (model, adapter) = match name.split_once(ADAPTER_SEPARATOR) {
        Some((model, adapter)) => (model, Some(AdapterName::from(adapter))),
        None => (name, None),
    };
    let model = deployment
        .model(&ModelName::from(model))
        .ok_or_else(unknown)?;
    let known = |adapter: &AdapterName| model.adapters.iter().any(|one| one.name == *adapter);
    if adapter.as_ref().is_some_and(|adapter| !known(adapter)) {
        return Err(unknown());
    }
    let _pool: &Pool = deployment.pool_of_model(&model.name).ok_or_else(unknown)?;
    Ok((model.name.clone(), adapter))
}

fn finish_record(shared: &Shared, request: RequestId, state: RunState, refusal: Option<String>) {
    shared
        .metrics
        .requests
        .with_label_values(&[state.as_str()])
        .inc();
    match &refusal {
        Some(reason) => {
            log_event!(shared.logger, Event::RequestFailed,
                "request" => %request, "run_state" => state.as_str(), "reason" => reason);
        }
        None => {
            log_event!(shared.logger, Event::RequestComplete, "request" => %request);
        }
    }
    shared.decisions().update_request(request, |record| {
        record.run_state = Some(state);
        record.refusal = refusal;
    });
}

/// Relays an engine's frames to the caller.
struct Relay {
    shared: Arc<Shared>,
    _in_flight: RequestGuard,
    request: RequestId,
    id: String,
    model: String,
    created: u64,
    accepted: AcceptedAttempt,
    next_position: u32,
    ended: bool,
}

/// What the caller is to see next.
enum Piece {
    Token(String),
    End(FinishReason, Usage),
    Broken(CallerError),
}

impl Relay {
    fn new(
        shared: Arc<Shared>,
        in_flight: RequestGuard,
        request: RequestId,
        model: String,
        accepted: AcceptedAttempt,
    ) -> Self {
        let created = shared.clock.unix_ms() / 1_000;
        let id = format!("cmpl-{request}");
        Self {
            shared,
            _in_flight: in_flight,
            request,
            id,
            model,
            created,
            accepted,
            next_position: 0,
            ended: false,
        }
    }

    /// The next piece; `None` after the end.
    async fn next(&mut self) -> Option<Piece> {
        if self.ended {
            return None;
        }
        loop {
            match self.accepted.frames.next().await {
                Some(Ok(frame)) if frame.attempt() != self.accepted.attempt => {
                    self.shared.metrics.foreign_frames.inc();
                    log_event!(self.shared.logger, Event::ForeignFrame, "request" => %self.request);
                }
                Some(Ok(GenerationFrame::Token { position, text, .. })) => {
                    if position < self.next_position {
                        continue;
                    }
                    if position > self.next_position {
                        return Some(self.broken("a token is missing".to_owned()));
                    }
                    if self.next_position == 0 {
                        self.accepted.guard.first_token();
                    }
                    self.next_position += 1;
                    self.shared.metrics.tokens.inc();
                    return Some(Piece::Token(text));
                }
                Some(Ok(GenerationFrame::Finished {
                    tokens,
                    reason,
                    usage,
                    ..
                })) => {
                    if tokens != self.next_position {
                        return Some(self.broken("tokens are missing at the end".to_owned()));
                    }
                    self.accepted.guard.complete(tokens, usage);
                    self.finish(
                        AttemptOutcome::Complete { tokens },
                        RunState::Complete,
                        None,
                    );
                    return Some(Piece::End(reason, usage));
                }
                Some(Ok(GenerationFrame::Prefilled { .. })) => {
                    return Some(self.broken("the engine ran the prompt only".to_owned()));
                }
                Some(Ok(GenerationFrame::Failed { message, .. })) => {
                    return Some(self.broken(message));
                }
                Some(Err(error)) => return Some(self.broken(error.to_string())),
                None => return Some(self.broken("the engine's answer broke off".to_owned())),
            }
        }
    }

    fn broken(&mut self, reason: String) -> Piece {
        let outcome = AttemptOutcome::Unknown {
            reason: reason.clone(),
        };
        self.finish(outcome, RunState::Unknown, Some(reason.clone()));
        Piece::Broken(CallerError::Unknown(reason))
    }

    fn finish(&mut self, outcome: AttemptOutcome, state: RunState, reason: Option<String>) {
        self.ended = true;
        self.shared
            .decisions()
            .update_request(self.request, |record| {
                if let Some(last) = record.attempts.last_mut() {
                    last.outcome = outcome;
                }
            });
        finish_record(&self.shared, self.request, state, reason);
    }

    fn into_events(self) -> impl stream::Stream<Item = Bytes> {
        stream::unfold(self, |mut relay| async move {
            let piece = relay.next().await?;
            let event = relay.event(&piece);
            Some((event, relay))
        })
    }

    fn event(&self, piece: &Piece) -> Bytes {
        match piece {
            Piece::Token(text) => Bytes::from(self.chunk(text, None, None)),
            Piece::End(reason, usage) => {
                let mut event = self.chunk("", Some(finish_word(*reason)), Some(*usage));
                event.push_str(DONE_EVENT);
                Bytes::from(event)
            }
            Piece::Broken(error) => Bytes::from(format!(
                "data: {{\"error\":{{\"message\":{:?}}}}}\n\n",
                error.to_string()
            )),
        }
    }

    fn chunk(&self, text: &str, finish: Option<&'static str>, usage: Option<Usage>) -> String {
        let body = self.body(text, finish, usage);
        // A body of strings and numbers always encodes.
        format!(
            "data: {}\n\n",
            serde_json::to_string(&body).unwrap_or_default()
        )
    }

    fn body<'a>(
        &'a self,
        text: &'a str,
        finish_reason: Option<&'static str>,
        usage: Option<Usage>,
    ) -> CompletionBody<'a> {
        CompletionBody {
            id: &self.id,
            object: "text_completion",
            created: self.created,
            model: &self.model,
            choices: vec![CompletionChoice {
                text,
                index: 0,
                finish_reason,
            }],
            usage: usage.map(Into::into),
        }
    }

    async fn into_whole(mut self) -> Result<Answer, CallerError> {
        let mut text = String::new();
        while let Some(piece) = self.next().await {
            match piece {
                Piece::Token(token) => text.push_str(&token),
                Piece::End(reason, usage) => {
                    let body = self.body(&text, Some(finish_word(reason)), Some(usage));
                    return Ok(json_answer(StatusCode::OK, &body));
                }
                Piece::Broken(error) => return Err(error),
            }
        }
        Err(CallerError::Unknown(
            "the engine's answer broke off".to_owned(),
        ))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            let outcome = AttemptOutcome::Cancelled {
                tokens: self.next_position,
            };
            let reason = Some("the caller went away".to_owned());
            self.finish(outcome, RunState::Unknown, reason);
        }
    }
}

fn finish_word(reason: FinishReason) -> &'static str {
    match reason {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}
