//! HTTP API for operators.

mod access;
mod forward;
mod message;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use dalestand_cluster::Cluster;
use dalestand_decision::{request_explanation, role_change_explanation};
use dalestand_edge::KeyValue;
use dalestand_gateway::SharedState;
use dalestand_http_server::{
    Answer, Connections, HttpServerError, Method, Request, ServerLimits, StatusCode, json_answer,
    read_json, serve, text_answer,
};
use dalestand_types::{EngineId, RequestId};
use rand::RngExt as _;
use tokio::net::TcpListener;
use tokio::sync::Notify;

use self::access::OperatorAccess;
pub use self::message::{
    ApplyRequest, ApplyResponse, ConfigurationResponse, DrainRequest, EngineControlRow,
    EngineExplanation, EngineRow, MemberRow, RequestExplanation, StatusResponse,
};
use crate::apply::{self, Draft};
use crate::configuration::{CONFIGURATION_KEY, ConfigurationRecord, ConfigurationStore};
use crate::control_driver::ControlDriver;
use crate::drains::{DrainMark, Drains};
use crate::error::{ApplyError, DrainError};

const MAX_BODY_BYTES: usize = 16 << 20;

/// State of the operator API.
pub(crate) struct Admin {
    /// State shared with the caller server.
    pub(crate) shared: Arc<SharedState>,
    /// The group controllers.
    pub(crate) control: Rc<ControlDriver>,
    pub(crate) drains: Rc<Drains>,
    /// Newest configuration on this node.
    pub(crate) configuration: Rc<ConfigurationStore>,
    pub(crate) cluster: Rc<RefCell<Cluster>>,
    pub(crate) key_value: Rc<dyn KeyValue>,
    /// Notified when an operator requests a graceful shutdown.
    pub(crate) stop_requested: Rc<Notify>,
}

/// Serves the operator API on `listener` until dropped.
pub(crate) async fn serve_operators(
    listener: TcpListener,
    admin: Admin,
    key_blake3: Option<String>,
) {
    let admin = Rc::new(admin);
    let access = Rc::new(OperatorAccess::new(key_blake3.as_deref()));
    serve(
        listener,
        ServerLimits::default(),
        Connections::default(),
        move |request| answer(Rc::clone(&admin), Rc::clone(&access), request),
    )
    .await;
}

async fn answer(admin: Rc<Admin>, access: Rc<OperatorAccess>, mut request: Request) -> Answer {
    if !access.allows(&request) {
        return text_answer(
            StatusCode::UNAUTHORIZED,
            "the operators' key is missing or wrong",
        );
    }
    handle(&admin, &mut request)
        .await
        .unwrap_or_else(Answer::from)
}

async fn handle(admin: &Admin, request: &mut Request) -> Result<Answer, HttpServerError> {
    let path = request.path().to_owned();
    if request.method() == Method::POST {
        return match path.as_str() {
            "/apply" => Ok(admin.apply(read_json(request, MAX_BODY_BYTES).await?).await),
            "/drain" => Ok(admin.drain(read_json(request, MAX_BODY_BYTES).await?).await),
            "/stop" => {
                admin.stop_requested.notify_one();
                Ok(text_answer(StatusCode::ACCEPTED, "planned stop begun\n"))
            }
            _ => Ok(text_answer(StatusCode::NOT_FOUND, "no such path")),
        };
    }
    if request.method() != Method::GET {
        return Ok(text_answer(
            StatusCode::METHOD_NOT_ALLOWED,
            "use GET or POST",
        ));
    }
    if let Some(id) = path.strip_prefix("/explain/request/") {
        let answer = admin.explain_request(id);
        return Ok(admin
            .or_forward(answer, request, admin.request_owner_address(id))
            .await);
    }
    if let Some(id) = path.strip_prefix("/explain/engine/") {
        let answer = admin.explain_engine(id);
        return Ok(admin
            .or_forward(answer, request, admin.engine_holder_address(id))
            .await);
    }
    Ok(match path.as_str() {
        "/live" => text_answer(StatusCode::OK, "live\n"),
        "/ready" if admin.ready() => text_answer(StatusCode::OK, "ready\n"),
        "/ready" => text_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/status" => json_answer(StatusCode::OK, &admin.status()),
        "/configuration" => admin.configuration().await,
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
        let cluster = self.cluster.borrow();
        let members = cluster.members().map(|member| MemberRow {
            node: member.node.clone(),
            zone: member.zone.to_string(),
            operators: member.operator_address.to_string(),
        });
        StatusResponse {
            node: self.shared.node.clone(),
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
            members: members.collect(),
            holders: self.control.holders(),
            engines: self.engine_rows(),
        }
    }

    fn engine_rows(&self) -> Vec<EngineRow> {
        let now = self.shared.clock.now();
        let fleet = self.shared.fleet.load();
        let rows = fleet.engines.iter().map(|view| EngineRow {
            engine: view.engine.clone(),
            group: view.group.clone(),
            role: view.role,
            models: view
                .models
                .iter()
                .map(|loaded| loaded.model.clone())
                .collect(),
            running: view.running,
            waiting: view.waiting,
            accepting: view.accepting,
            age_ms: now.since(view.reported_at).as_millis() as u64,
        });
        rows.collect()
    }

    fn explain_request(&self, id: &str) -> Answer {
        let Ok(request) = id.parse::<RequestId>() else {
            return text_answer(
                StatusCode::BAD_REQUEST,
                "a request id has 32 hexadecimal digits",
            );
        };
        match self.shared.decisions().request(request) {
            Some(record) => {
                let account = request_explanation(record);
                let body = RequestExplanation {
                    record: record.clone(),
                    account,
                };
                json_answer(StatusCode::OK, &body)
            }
            None => text_answer(
                StatusCode::NOT_FOUND,
                "this node has no record of the request",
            ),
        }
    }

    fn explain_engine(&self, id: &str) -> Answer {
        let engine = EngineId::from(id);
        let roles = self.shared.decisions().roles_of(&engine);
        let statuses = self.control.statuses();
        let control = statuses
            .into_iter()
            .find(|(_, _, status)| status.engine == engine)
            .map(|(group, epoch, status)| EngineControlRow {
                group,
                epoch,
                orders: status.orders,
            });
        if roles.is_empty() && control.is_none() {
            return text_answer(
                StatusCode::NOT_FOUND,
                "this node has no record of the engine",
            );
        }
        let mut account: String = roles.iter().map(role_change_explanation).collect();
        if let Some(row) = &control {
            account.push_str(&control_state_explanation(&engine, row));
        }
        json_answer(
            StatusCode::OK,
            &EngineExplanation {
                control,
                roles,
                account,
            },
        )
    }

    async fn configuration(&self) -> Answer {
        let entry = match self.key_value.get(CONFIGURATION_KEY).await {
            Ok(entry) => entry,
            Err(error) => {
                return text_answer(StatusCode::SERVICE_UNAVAILABLE, error.to_string());
            }
        };
        let Some(entry) = entry else {
            return text_answer(
                StatusCode::NOT_FOUND,
                "no configuration has been applied yet",
            );
        };
        match serde_json::from_str::<ConfigurationRecord>(&entry.value) {
            Ok(record) => {
                let body = ConfigurationResponse {
                    revision: entry.revision,
                    author: record.author,
                    text: record.text,
                };
                json_answer(StatusCode::OK, &body)
            }
            Err(error) => text_answer(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    async fn drain(&self, body: DrainRequest) -> Answer {
        let active = self.shared.configuration.load_full();
        let known = active.is_some_and(|active| {
            let mut groups = active.deployment.groups.iter();
            groups.any(|group| group.engines.contains(&body.engine))
        });
        if !known {
            let message = format!("no engine {} is configured", body.engine);
            return text_answer(StatusCode::NOT_FOUND, message);
        }
        let mark = DrainMark {
            draining: body.draining,
            author: body.author,
        };
        match self.drains.set(&body.engine, &mark).await {
            Ok(revision) => json_answer(StatusCode::OK, &revision),
            Err(report) => {
                let status = match report.current_context() {
                    DrainError::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
                    DrainError::Contended => StatusCode::CONFLICT,
                    DrainError::InDoubt => StatusCode::GATEWAY_TIMEOUT,
                    DrainError::Unreadable => StatusCode::INTERNAL_SERVER_ERROR,
                };
                text_answer(status, report.current_context().to_string())
            }
        }
    }

    async fn apply(&self, body: ApplyRequest) -> Answer {
        let writer = format!("{:032x}", rand::rng().random::<u128>());
        let draft = Draft {
            writer,
            author: body.author,
            unix_ms: self.shared.clock.unix_ms(),
            text: body.text,
        };
        match apply::apply(&*self.key_value, body.expected, draft).await {
            Ok(applied) => {
                let revision = applied.revision;
                // Activated here at once, so that the configuration is disseminated even if the
                // key-value service fails now.
                self.configuration.apply(revision, applied.record);
                let body = ApplyResponse {
                    revision: Some(revision),
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

fn control_state_explanation(engine: &EngineId, row: &EngineControlRow) -> String {
    let Some(orders) = &row.orders else {
        return format!(
            "engine {engine} of {}: controlled under epoch {}, its state has not been read yet\n",
            row.group, row.epoch
        );
    };
    let role = orders
        .role
        .map_or("out of service".to_owned(), |role| role.to_string());
    let models: Vec<&str> = orders
        .models
        .iter()
        .map(|loaded| loaded.model.as_str())
        .collect();
    let last = orders
        .last
        .as_ref()
        .map_or("no order accepted".to_owned(), |last| {
            format!(
                "last order {} {:?}: {:?}",
                last.order.id, last.phase, last.order.command
            )
        });
    format!(
        "engine {engine} of {}: {role}, models {}, controlled under epoch {}, {last}\n",
        row.group,
        models.join(", "),
        row.epoch
    )
}
