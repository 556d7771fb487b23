//! Paths of the callers' surface.

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
use crate::openai::{ModelBody, ModelsBody, Surface};
use crate::order::ADAPTER_SEPARATOR;
use crate::shared::SharedState;

/// Most requests a node has in flight where nothing else is said.
const DEFAULT_MAX_REQUESTS: usize = 8_192;

/// Limits on the callers of one node.
#[derive(Clone, Debug)]
pub struct CallerLimits {
    /// Limits on connections.
    pub server: ServerLimits,
    /// Most requests in flight; more are refused as not run.
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

/// Serves callers on `listener` until dropped.
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
        let mut answer = completion::unavailable("this node has as many connections as it takes");
        answer.head_mut().set_connection_type(ConnectionType::Close);
        return answer;
    }
    let method = request.method().clone();
    let path = request.path().to_owned();
    let result = match (method, path.as_str()) {
        (Method::GET, "/v1/models") => list_models(&context, &request),
        (Method::POST, "/v1/completions") => {
            completion::complete(context, Surface::Completion, &mut request).await
        }
        (Method::POST, "/v1/chat/completions") => {
            completion::complete(context, Surface::Chat, &mut request).await
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
        context.tenants.terms(&active, request.headers())?;
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
