//! Resolves a caller's request against the configuration: the request for the engine, the input of
//! the router and the idempotency claim.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName};
use dalestand_config::{Deployment, Pool, Tenant};
use dalestand_decision::RequestTerms;
use dalestand_edge::Engine as _;
use dalestand_routing::{RouteRequest, prompt_blocks};
use dalestand_types::{AdapterName, AttemptId, GenerationRequest, ModelName, RequestId};

use crate::claim::{ClaimKey, ClaimRequest, RequestFingerprint};
use crate::context::Context;
use crate::error::CallerError;
use crate::identity::{RequestPolicy, header_text};
use crate::openai::CallerRequest;
use crate::resume::{EventIds, ResumeError, ResumePoint};
use crate::shared::ActiveConfiguration;

const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const LAST_EVENT_ID_HEADER: HeaderName = HeaderName::from_static("last-event-id");

/// Separates the model and the adapter in the model name that callers send.
pub(crate) const ADAPTER_SEPARATOR: char = ':';

/// Maximum length of an `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Headers that identify a request across several calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct IdempotencyHeaders {
    key: Option<Arc<str>>,
    last_event_id: Option<String>,
}

impl IdempotencyHeaders {
    /// Reads and checks the headers.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, CallerError> {
        let key = header_text(headers, &IDEMPOTENCY_KEY_HEADER)?;
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
            let problem = format!("must have 1 to {MAX_KEY_BYTES} bytes");
            return Err(invalid(IDEMPOTENCY_KEY_HEADER.as_str(), problem));
        }
        let last_event_id = header_text(headers, &LAST_EVENT_ID_HEADER)?;
        if last_event_id.is_some() && key.is_none() {
            let problem = "requires the Idempotency-Key of the stream".to_owned();
            return Err(invalid(LAST_EVENT_ID_HEADER.as_str(), problem));
        }
        Ok(Self {
            key: key.map(Arc::from),
            last_event_id: last_event_id.map(str::to_owned),
        })
    }
}

/// A caller's request, checked and resolved against the configuration.
pub(crate) struct ResolvedRequest {
    /// The request as the caller sent it.
    pub(crate) original: CallerRequest,
    /// The request for the engine; each attempt sets its `attempt` field.
    pub(crate) request: GenerationRequest,
    /// The tenant, if the caller has one.
    pub(crate) tenant: Option<Tenant>,
    /// Input of the router.
    pub(crate) route: RouteRequest,
    /// Class, priority and deadlines, for the decision record.
    pub(crate) terms: RequestTerms,
    /// Whether the request may run again after an attempt whose result is unknown.
    pub(crate) repeatable: bool,
    /// The claim to make before the first dispatch, if the request must run at most once.
    pub(crate) claim: Option<ClaimRequest>,
    /// Signs the event ids, if the stream can be resumed.
    pub(crate) event_ids: Option<EventIds>,
}

impl ResolvedRequest {
    /// Checks `original` against the configuration and resolves it.
    pub(crate) fn new(
        context: &Rc<Context>,
        active: &ActiveConfiguration,
        policy: RequestPolicy,
        idempotency: IdempotencyHeaders,
        original: CallerRequest,
        new_request: RequestId,
    ) -> Result<Self, CallerError> {
        let deployment = &*active.deployment;
        let target = Target::find(deployment, &original.model)?;
        let repeatable = target.pool.repeatable;
        let max_tokens = max_tokens(deployment, &original)?;
        let fingerprint = fingerprint(&original, max_tokens, idempotency.key.as_deref());
        let event_ids = (idempotency.key.is_some() && original.stream && repeatable)
            .then(|| EventIds::new(policy.tenant.as_ref(), &fingerprint));
        let resumed = resume_point(&idempotency, event_ids.as_ref(), max_tokens)?;
        if let Some(point) = &resumed {
            cancel_earlier_attempt(context, point);
        }
        let request_id = resumed.as_ref().map_or(new_request, |point| point.request);
        let tenant = policy.tenant.as_ref().map(|tenant| tenant.name.clone());
        let key = idempotency.key.map(|key| ClaimKey {
            tenant: tenant.clone(),
            key,
        });
        let once_key = (!repeatable).then(|| once_key(key.as_ref(), request_id));
        let request = GenerationRequest {
            request: request_id,
            attempt: AttemptId(0),
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            tenant,
            prompt: original.prompt.clone(),
            max_tokens,
            resume_from: resumed.map_or(0, |point| point.position),
            priority: policy.priority,
            deadline_ms: policy.deadlines.whole.map(|left| left.as_millis() as u64),
            revision: active.revision,
            incarnation: None,
            once_key,
            import_from: None,
            prefill_only: false,
        };
        let claim = key.filter(|_| !repeatable).map(|key| ClaimRequest {
            key,
            request: request_id,
            fingerprint,
        });
        let zone = context.shared.zone.clone();
        let prompt_tokens = original.prompt.split_whitespace().count() as u32;
        let mut route = RouteRequest::new(target.model, zone, prompt_tokens, max_tokens);
        route.adapter = target.adapter;
        route.blocks = prompt_blocks(&original.prompt);
        // An at-most-once request runs on a single engine, so that this engine's record of the request
        // suffices to prevent a second run.
        route.may_split = repeatable;
        route.deadlines = policy.deadlines;
        route.priority = policy.priority;
        Ok(Self {
            original,
            request,
            terms: record_terms(&policy),
            tenant: policy.tenant,
            route,
            repeatable,
            claim,
            event_ids,
        })
    }
}

impl ResolvedRequest {
    /// Upper bound on the tokens of the prompt and the remaining output.
    pub(crate) fn tokens_needed(&self) -> u64 {
        let output = self.request.max_tokens - self.request.resume_from;
        u64::from(self.route.prompt_tokens) + u64::from(output)
    }
}

fn record_terms(policy: &RequestPolicy) -> RequestTerms {
    let milliseconds = |time: Duration| time.as_millis() as u64;
    RequestTerms {
        class: policy.class.clone(),
        priority: policy.priority,
        first_token_ms: policy.deadlines.first_token.map(milliseconds),
        deadline_ms: policy.deadlines.whole.map(milliseconds),
    }
}

/// The model, adapter and pool that a model name refers to.
struct Target<'d> {
    model: ModelName,
    adapter: Option<AdapterName>,
    pool: &'d Pool,
}

impl<'d> Target<'d> {
    fn find(deployment: &'d Deployment, name: &str) -> Result<Self, CallerError> {
        let unknown = || CallerError::UnknownModel(name.to_owned());
        let (model, adapter) = match name.split_once(ADAPTER_SEPARATOR) {
            Some((model, adapter)) => (model, Some(AdapterName::from(adapter))),
            None => (name, None),
        };
        let model = ModelName::from(model);
        let declared = deployment.model(&model).ok_or_else(unknown)?;
        let known = |adapter: &AdapterName| {
            let mut adapters = declared.adapters.iter();
            adapters.any(|one| one.name == *adapter)
        };
        if adapter.as_ref().is_some_and(|adapter| !known(adapter)) {
            return Err(unknown());
        }
        let pool = deployment.pool_of_model(&model).ok_or_else(unknown)?;
        Ok(Self {
            model,
            adapter,
            pool,
        })
    }
}

fn max_tokens(deployment: &Deployment, original: &CallerRequest) -> Result<u32, CallerError> {
    let limits = &deployment.limits;
    let requested = original.max_tokens.unwrap_or(limits.default_output_tokens);
    if requested == 0 || requested > limits.max_output_tokens {
        let problem = format!("must be between 1 and {}", limits.max_output_tokens);
        return Err(invalid("max_tokens", problem));
    }
    Ok(requested)
}

/// Hash of all fields that determine the answer. Each string is prefixed with its length, so that
/// different requests never hash the same bytes.
fn fingerprint(original: &CallerRequest, max_tokens: u32, key: Option<&str>) -> RequestFingerprint {
    let mut hasher = blake3::Hasher::new();
    let mut text = |text: &str| {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    };
    text(original.endpoint.id_prefix());
    text(&original.model);
    text(&original.prompt);
    text(key.unwrap_or_default());
    for stop in &original.stop {
        text(stop);
    }
    hasher.update(&max_tokens.to_le_bytes());
    RequestFingerprint(*hasher.finalize().as_bytes())
}

/// Where to resume the stream; `None` for a new stream.
fn resume_point(
    idempotency: &IdempotencyHeaders,
    event_ids: Option<&EventIds>,
    max_tokens: u32,
) -> Result<Option<ResumePoint>, CallerError> {
    let Some(id) = &idempotency.last_event_id else {
        return Ok(None);
    };
    let Some(event_ids) = event_ids else {
        let message = "only streams of models whose requests may be repeated can be resumed";
        return Err(CallerError::NotResumable(message.to_owned()));
    };
    let read = event_ids.read(id);
    let point = read.map_err(|error: ResumeError| CallerError::Invalid {
        param: Some(LAST_EVENT_ID_HEADER.to_string()),
        message: error.to_string(),
    })?;
    if point.position > max_tokens {
        let problem = "is beyond the end of the answer".to_owned();
        return Err(invalid(LAST_EVENT_ID_HEADER.as_str(), problem));
    }
    Ok(Some(point))
}

/// Cancels the earlier attempt of a resumed stream in the background.
fn cancel_earlier_attempt(context: &Rc<Context>, point: &ResumePoint) {
    let view = context.shared.fleet.load();
    let engine = view.engines.iter().find(|one| one.engine == point.engine);
    let Some(engine) = engine else {
        return;
    };
    let client = context.engines.get(engine.address);
    let attempt = point.attempt;
    actix_rt::spawn(async move {
        // If the call fails, the engine still cancels the attempt when its connection closes.
        let _ = client.cancel(attempt).await;
    });
}

/// Key under which an engine runs a request at most once.
fn once_key(key: Option<&ClaimKey>, request: RequestId) -> String {
    match key {
        Some(ClaimKey { tenant, key }) => {
            let tenant = tenant.as_ref().map_or("", |tenant| tenant.as_str());
            format!("{tenant}/{key}")
        }
        None => request.to_string(),
    }
}

fn invalid(field: &str, problem: String) -> CallerError {
    CallerError::Invalid {
        param: Some(field.to_owned()),
        message: format!("{field}: {problem}"),
    }
}
