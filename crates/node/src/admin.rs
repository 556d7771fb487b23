//! Operators' HTTP surface.

use std::rc::Rc;
use std::sync::Arc;

use dalestand_decision::{account_of_request, account_of_role_change};
use dalestand_gateway::Shared;
use dalestand_http_server::{
    Answer, Connections, HttpServerError, Method, Request, ServerLimits, StatusCode, json_answer,
    read_json, serve, text_answer,
};
use dalestand_platform::KeyValue;
use dalestand_types::{EngineId, GroupId, NodeId, RequestId, Revision, Role};
use rand::RngExt as _;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;

use crate::apply;
use crate::configuration::ConfigurationRecord;
use crate::control_driver::ControlDriver;
use crate::error::ApplyError;

const MAX_BODY_BYTES: usize = 16 << 20;

/// Body of `POST /apply`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The deployment file.
    pub text: String,
    /// Who applies it.
    pub author: String,
    /// Revision it must follow; whatever stands there if absent.
    pub expected: Option<Revision>,
}

/// Answer to `POST /apply`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyResponse {
    /// Revision, if it was accepted.
    pub revision: Option<Revision>,
    /// Why it was not accepted.
    pub error: Option<String>,
    /// Whether it is unknown if it was accepted.
    pub in_doubt: bool,
}

/// Answer to `GET /status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusResponse {
    /// Zone of the node.
    pub zone: String,
    /// Whether the node serves callers.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Revision of the configuration in force.
    pub revision: Option<Revision>,
    /// Requests in flight.
    pub in_flight: usize,
    /// Holders of the groups' leases, as far as known.
    pub holders: std::collections::BTreeMap<GroupId, NodeId>,
    /// The engines, as routing sees them.
    pub engines: Vec<EngineRow>,
}

/// One engine of a status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineRow {
    /// The engine.
    pub engine: EngineId,
    /// Its group.
    pub group: GroupId,
    /// Its role; `None` while it is out of service.
    pub role: Option<Role>,
    /// Requests being generated.
    pub running: u32,
    /// Requests accepted and not started.
    pub waiting: u32,
    /// Whether it may take new work.
    pub accepting: bool,
    /// Age of this information, in milliseconds.
    pub age_ms: u64,
}

struct Admin {
    shared: Arc<Shared>,
    control: Rc<ControlDriver>,
    key_value: Rc<dyn KeyValue>,
}

/// Serves operators on `listener` until dropped.
pub(crate) async fn serve_operators(
    listener: TcpListener,
    shared: Arc<Shared>,
    control: Rc<ControlDriver>,
    key_value: Rc<dyn KeyValue>,
) {
    let admin = Rc::new(Admin {
        shared,
        control,
        key_value,
    });
    serve(
        listener,
        ServerLimits::default(),
        Connections::default(),
        move |request| answer(Rc::clone(&admin), request),
    )
    .await;
}

async fn answer(admin: Rc<Admin>, mut request: Request) -> Answer {
    match handle(&admin, &mut request).await {
        Ok(answer) => answer,
        Err(error) => text_answer(error.status(), error.to_string()),
    }
}

async fn handle(admin: &Admin, request: &mut Request) -> Result<Answer, HttpServerError> {
    let path = request.path().to_owned();
    if request.method() == Method::POST && path == "/apply" {
        let body: ApplyRequest = read_json(request, MAX_BODY_BYTES).await?;
        return Ok(admin.apply(body).await);
    }
    if request.method() != Method::GET {
        return Ok(text_answer(StatusCode::METHOD_NOT_ALLOWED, "use GET"));
    }
    if let Some(id) = path.strip_prefix("/explain/request/") {
        return Ok(admin.explain_request(id));
    }
    if let Some(id) = path.strip_prefix("/explain/engine/") {
        return Ok(admin.explain_engine(id));
    }
    Ok(match path.as_str() {
        "/live" => text_answer(StatusCode::OK, "live\n"),
        "/ready" if admin.ready() => text_answer(StatusCode::OK, "ready\n"),
        "/ready" => text_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/status" => json_answer(StatusCode::OK, &admin.status()),
        "/metrics" => match admin.shared.metrics.text() {
            Ok(text) => text_answer(StatusCode::OK, text),
            Err(error) => text_answer(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        _ => text_answer(StatusCode::NOT_FOUND, "no such path"),
    })
}

impl Admin {
    fn ready(&self) -> bool {
        !self.shared.stopping() && self.shared.configuration.load().is_some()
    }

    fn status(&self) -> StatusResponse {
        let now = self.shared.clock.now();
        let fleet = self.shared.fleet.load();
        let engines = fleet
            .engines
            .iter()
            .map(|view| EngineRow {
                engine: view.engine.clone(),
                group: view.group.clone(),
                role: view.role,
                running: view.running,
                waiting: view.waiting,
                accepting: view.accepting,
                age_ms: now.since(view.reported_at).as_millis() as u64,
            })
            .collect();
        StatusResponse {
            zone: self.shared.zone.to_string(),
            ready: self.ready(),
            stopping: self.shared.stopping(),
            revision: self
                .shared
                .configuration
                .load()
                .as_ref()
                .map(|active| active.revision),
            in_flight: self.shared.in_flight(),
            holders: self.control.holders(),
            engines,
        }
    }

    fn explain_request(&self, id: &str) -> Answer {
        let Ok(request) = id.parse::<RequestId>() else {
            return text_answer(
                StatusCode::BAD_REQUEST,
                "a request id has 32 hexadecimal digits",
            );
        };
        match self.shared.decisions().request(request) {
            Some(record) => text_answer(StatusCode::OK, account_of_request(record)),
            None => text_answer(StatusCode::NOT_FOUND, "this node keeps no record of it"),
        }
    }

    fn explain_engine(&self, id: &str) -> Answer {
        let engine = EngineId::from(id);
        let records = self.shared.decisions().roles_of(&engine);
        let mut text: String = records.iter().map(account_of_role_change).collect();
        let statuses = self.control.statuses();
        for (group, epoch, status) in statuses.iter().filter(|(_, _, one)| one.engine == engine) {
            text.push_str(&format!(
                "{engine} of {group}, epoch {epoch}: {:?}\n",
                status.orders
            ));
        }
        if text.is_empty() {
            return text_answer(StatusCode::NOT_FOUND, "this node keeps no record of it");
        }
        text_answer(StatusCode::OK, text)
    }

    async fn apply(&self, body: ApplyRequest) -> Answer {
        let writer = format!("{:032x}", rand::rng().random::<u128>());
        let record = ConfigurationRecord {
            writer,
            author: body.author,
            text: body.text,
        };
        match apply::apply(&*self.key_value, body.expected, &record).await {
            Ok(applied) => {
                let revision = Some(applied.revision);
                let body = ApplyResponse {
                    revision,
                    error: None,
                    in_doubt: false,
                };
                json_answer(StatusCode::OK, &body)
            }
            Err(report) => {
                let error = report.current_context();
                let status = match error {
                    ApplyError::Faulty(_) => StatusCode::UNPROCESSABLE_ENTITY,
                    ApplyError::Conflict => StatusCode::CONFLICT,
                    ApplyError::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
                    ApplyError::InDoubt => StatusCode::GATEWAY_TIMEOUT,
                };
                let in_doubt = matches!(error, ApplyError::InDoubt);
                let text = format!("{report:?}");
                let body = ApplyResponse {
                    revision: None,
                    error: Some(text),
                    in_doubt,
                };
                json_answer(status, &body)
            }
        }
    }
}
