//! HTTP server for callers and its paths.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use dalestand_http_server::{
    Answer, ConnectionType, Connections, HttpMessage as _, Method, Request, ServerLimits,
    StatusCode, is_over_limit, json_answer, serve,
};
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::net::TcpListener;

use crate::completion;
use crate::context::Context;
use crate::engines::EngineClients;
use crate::error::CallerError;
use crate::identity::TenantIndex;
use crate::openai::{Endpoint, ModelBody, ModelsBody};
use crate::resolved_request::ADAPTER_SEPARATOR;
use crate::shared::SharedState;

/// Default for the maximum number of requests in flight on a node.
const DEFAULT_MAX_REQUESTS: usize = 8_192;

/// Limits that a node sets on requests and connections of its callers.
#[derive(Clone, Debug)]
pub struct CallerLimits {
    /// Limits on connections and their timeouts.
    pub server: ServerLimits,
    /// Maximum number of requests in flight; further ones are refused with the run state `not-run`.
    pub max_requests: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            server: ServerLimits::default(),
            max_requests: DEFAULT_MAX_REQUESTS,
        }
    }
}

/// Serves callers on `listener` until the future is dropped.
pub async fn serve_callers(
    listener: TcpListener,
    shared: Arc<SharedState>,
    limits: CallerLimits,
    connections: Connections,
) {
    let context = Rc::new(Context {
        shared,
        random: RefCell::new(StdRng::from_rng(&mut rand::rng())),
        engines: EngineClients::default(),
        tenants: TenantIndex::default(),
        max_requests: limits.max_requests,
    });
    serve(listener, limits.server, connections, move |request| {
        answer(Rc::clone(&context), request)
    })
    .await;
}

async fn answer(context: Rc<Context>, mut request: Request) -> Answer {
    let shared = Arc::clone(&context.shared);
    if is_over_limit(&request) {
        let mut answer = completion::unavailable("this node has reached its connection limit");
        answer.head_mut().set_connection_type(ConnectionType::Close);
        return answer;
    }
    let method = request.method().clone();
    let path = request.path().to_owned();
    let result = match (method, path.as_str()) {
        (Method::GET, "/v1/models") => list_models(&context, &request),
        (Method::POST, "/v1/completions") => {
            completion::complete(context, Endpoint::Completion, &mut request).await
        }
        (Method::POST, "/v1/chat/completions") => {
            completion::complete(context, Endpoint::Chat, &mut request).await
        }
        (_, "/v1/models" | "/v1/completions" | "/v1/chat/completions") => {
            Err(CallerError::WrongMethod)
        }
        _ => Err(CallerError::NotFound),
    };
    let mut answer = result.unwrap_or_else(|error| error.answer());
    if shared.stopping() {
        answer.head_mut().set_connection_type(ConnectionType::Close);
    }
    answer
}

fn list_models(context: &Context, request: &Request) -> Result<Answer, CallerError> {
    let mut data = Vec::new();
    if let Some(active) = context.shared.configuration.load_full() {
        context.tenants.policy(&active, request.headers())?;
        for model in &active.deployment.models {
            data.push(model_body(model.name.to_string()));
            let adapters = model.adapters.iter();
            data.extend(adapters.map(|adapter| {
                model_body(format!("{}{ADAPTER_SEPARATOR}{}", model.name, adapter.name))
            }));
        }
    }
    let object = "list";
    Ok(json_answer(StatusCode::OK, &ModelsBody { object, data }))
}

fn model_body(id: String) -> ModelBody {
    ModelBody {
        id,
        object: "model",
        created: 0,
        owned_by: "dalestand",
    }
}
