//! What a caller's request comes to: the engine's request, the route, the claim.

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
use crate::identity::{Terms, text};
use crate::openai::Wish;
use crate::resume::{EventIds, ResumeError, ResumePoint};
use crate::shared::ActiveConfiguration;

const IDEMPOTENCY_KEY_HEADER: HeaderName = HeaderName::from_static("idempotency-key");
const LAST_EVENT_ID_HEADER: HeaderName = HeaderName::from_static("last-event-id");

/// Separates a model from its adapter in the name callers use.
pub(crate) const ADAPTER_SEPARATOR: char = ':';

/// Longest `Idempotency-Key`, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Headers that name a request over several calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct KeyedRequest {
    key: Option<Arc<str>>,
    last_event_id: Option<String>,
}

impl KeyedRequest {
    /// Reads the headers.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, CallerError> {
        let key = text(headers, &IDEMPOTENCY_KEY_HEADER)?;
        if key.is_some_and(|key| key.is_empty() || key.len() > MAX_KEY_BYTES) {
            let problem = format!("must have 1 to {MAX_KEY_BYTES} bytes");
            return Err(invalid(IDEMPOTENCY_KEY_HEADER.as_str(), problem));
        }
        let last_event_id = text(headers, &LAST_EVENT_ID_HEADER)?;
        if last_event_id.is_some() && key.is_none() {
            let problem = "needs the Idempotency-Key of the stream".to_owned();
            return Err(invalid(LAST_EVENT_ID_HEADER.as_str(), problem));
        }
        Ok(Self {
            key: key.map(Arc::from),
            last_event_id: last_event_id.map(str::to_owned),
        })
    }
}

/// A checked request.
pub(crate) struct CallerOrder {
    /// What the caller wants to see.
    pub(crate) wish: Wish,
    /// The engine's request; its attempt is set when it is sent.
    pub(crate) request: GenerationRequest,
    /// The tenant on whose behalf it runs.
    pub(crate) tenant: Option<Tenant>,
    /// What the router must know.
    pub(crate) route: RouteRequest,
    /// On what terms, for the decision record.
    pub(crate) terms: RequestTerms,
    /// Whether it may run again after an attempt whose result is not known.
    pub(crate) repeatable: bool,
    /// The claim to make before the first dispatch.
    pub(crate) claim: Option<ClaimRequest>,
    /// Signs the event ids of a stream that can be resumed.
    pub(crate) event_ids: Option<EventIds>,
}

impl CallerOrder {
    /// Checks `wish` against the configuration.
    pub(crate) fn new(
        context: &Rc<Context>,
        active: &ActiveConfiguration,
        terms: Terms,
        keyed: KeyedRequest,
        wish: Wish,
        new_request: RequestId,
    ) -> Result<Self, CallerError> {
        let deployment = &*active.deployment;
        let target = Target::find(deployment, &wish.model)?;
        let repeatable = target.pool.repeatable;
        let max_tokens = max_tokens(deployment, &wish)?;
        let fingerprint = fingerprint(&wish, max_tokens, keyed.key.as_deref());
        let event_ids = (keyed.key.is_some() && wish.stream && repeatable)
            .then(|| EventIds::new(terms.tenant.as_ref(), &fingerprint));
        let resumed = resume_point(&keyed, event_ids.as_ref(), max_tokens)?;
        if let Some(point) = &resumed {
            cancel_earlier(context, point);
        }
        let request_id = resumed.as_ref().map_or(new_request, |point| point.request);
        let tenant = terms.tenant.as_ref().map(|tenant| tenant.name.clone());
        let key = keyed.key.map(|key| ClaimKey {
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
            prompt: wish.prompt.clone(),
            max_tokens,
            resume_from: resumed.map_or(0, |point| point.position),
            priority: terms.priority,
            deadline_ms: terms.deadlines.whole.map(|left| left.as_millis() as u64),
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
        let prompt_tokens = wish.prompt.split_whitespace().count() as u32;
        let mut route = RouteRequest::new(target.model, zone, prompt_tokens, max_tokens);
        route.adapter = target.adapter;
        route.blocks = prompt_blocks(&wish.prompt);
        // A request that may run once stays on one engine, so that one engine's record of it is
        // enough.
        route.may_split = repeatable;
        route.deadlines = terms.deadlines;
        route.priority = terms.priority;
        Ok(Self {
            wish,
            request,
            terms: record_terms(&terms),
            tenant: terms.tenant,
            route,
            repeatable,
            claim,
            event_ids,
        })
    }
}

impl CallerOrder {
    /// Tokens that the request may still need: those of its prompt and of its output.
    pub(crate) fn tokens_needed(&self) -> u64 {
        let output = self.request.max_tokens - self.request.resume_from;
        u64::from(self.route.prompt_tokens) + u64::from(output)
    }
}

fn record_terms(terms: &Terms) -> RequestTerms {
    let milliseconds = |time: Duration| time.as_millis() as u64;
    RequestTerms {
        class: terms.class.clone(),
        priority: terms.priority,
        first_token_ms: terms.deadlines.first_token.map(milliseconds),
        deadline_ms: terms.deadlines.whole.map(milliseconds),
    }
}

/// What a model's name stands for.
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

fn max_tokens(deployment: &Deployment, wish: &Wish) -> Result<u32, CallerError> {
    let limits = &deployment.limits;
    let asked = wish.max_tokens.unwrap_or(limits.default_output_tokens);
    if asked == 0 || asked > limits.max_output_tokens {
        let problem = format!("must lie between 1 and {}", limits.max_output_tokens);
        return Err(invalid("max_tokens", problem));
    }
    Ok(asked)
}

/// Hash of all that decides the answer. Each text is preceded by its length, so that no two
/// requests are written alike.
fn fingerprint(wish: &Wish, max_tokens: u32, key: Option<&str>) -> RequestFingerprint {
    let mut hasher = blake3::Hasher::new();
    let mut text = |text: &str| {
        hasher.update(&(text.len() as u64).to_le_bytes());
        hasher.update(text.as_bytes());
    };
    text(wish.surface.id_prefix());
    text(&wish.model);
    text(&wish.prompt);
    text(key.unwrap_or_default());
    for stop in &wish.stop {
        text(stop);
    }
    hasher.update(&max_tokens.to_le_bytes());
    RequestFingerprint(*hasher.finalize().as_bytes())
}

/// Where a stream is to go on; `None` for one that begins.
fn resume_point(
    keyed: &KeyedRequest,
    event_ids: Option<&EventIds>,
    max_tokens: u32,
) -> Result<Option<ResumePoint>, CallerError> {
    let Some(id) = &keyed.last_event_id else {
        return Ok(None);
    };
    let Some(event_ids) = event_ids else {
        let message = "only a stream of a model whose requests may be repeated can be resumed";
        return Err(CallerError::NotResumable(message.to_owned()));
    };
    let read = event_ids.read(id);
    let point = read.map_err(|error: ResumeError| CallerError::Invalid {
        param: Some(LAST_EVENT_ID_HEADER.to_string()),
        message: error.to_string(),
    })?;
    if point.position > max_tokens {
        let problem = "lies beyond the end of the answer".to_owned();
        return Err(invalid(LAST_EVENT_ID_HEADER.as_str(), problem));
    }
    Ok(Some(point))
}

/// Tells the engine of a broken stream that nobody reads it any more. The resumed stream does not
/// wait for it.
fn cancel_earlier(context: &Rc<Context>, point: &ResumePoint) {
    let view = context.shared.fleet.load();
    let engine = view.engines.iter().find(|one| one.engine == point.engine);
    let Some(engine) = engine else {
        return;
    };
    let client = context.engines.get(engine.address);
    let attempt = point.attempt;
    actix_rt::spawn(async move {
        // An engine that cannot be reached notices the closed connection by itself.
        let _ = client.cancel(attempt).await;
    });
}

/// The key under which engines run a request once.
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
