//! Paths of the callers' surface.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use dalestand_http_server::{
    Answer, Connections, Method, Request, ServerLimits, StatusCode, json_answer, serve,
};
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::net::TcpListener;

use crate::completion;
use crate::error::CallerError;
use crate::openai::{ModelBody, ModelsBody};
use crate::shared::Shared;

/// Serves callers on `listener` until dropped.
pub async fn serve_callers(listener: TcpListener, shared: Arc<Shared>, connections: Connections) {
    let random = Rc::new(RefCell::new(StdRng::from_rng(&mut rand::rng())));
    serve(
        listener,
        ServerLimits::default(),
        connections,
        move |request| answer(Arc::clone(&shared), Rc::clone(&random), request),
    )
    .await;
}

async fn answer(shared: Arc<Shared>, random: Rc<RefCell<StdRng>>, mut request: Request) -> Answer {
    let method = request.method().clone();
    let path = request.path().to_owned();
    let result = match (method, path.as_str()) {
        (Method::GET, "/v1/models") => list_models(&shared),
        (Method::POST, "/v1/completions") => {
            completion::complete(shared, random, &mut request).await
        }
        _ => Err(CallerError::NotFound),
    };
    result.unwrap_or_else(|error| error.answer())
}

fn list_models(shared: &Shared) -> Result<Answer, CallerError> {
    let active = shared.configuration.load_full();
    let models = active
        .map(|active| active.deployment.models.clone())
        .unwrap_or_default();
    let data = models
        .iter()
        .map(|model| ModelBody {
            id: model.name.to_string(),
            object: "model",
            created: 0,
            owned_by: "dalestand",
        })
        .collect();
    Ok(json_answer(
        StatusCode::OK,
        &ModelsBody {
            object: "list",
            data,
        },
    ))
}
