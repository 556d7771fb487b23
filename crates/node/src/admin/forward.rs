//! Passes a question on to the node that keeps its answer.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::CONTENT_TYPE;
use awc::Client;
use dalestand_http_server::{Answer, Request, StatusCode, text_answer};
use dalestand_types::{EngineId, RequestId};

use super::Admin;

/// Marks a question that was passed on, so that it is not passed on again.
const FORWARDED: &str = "x-dalestand-forwarded";

const AUTHORIZATION: &str = "authorization";

/// Time limit of a question that was passed on.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest answer passed back, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

impl Admin {
    /// Operators' address of the node that took a request in, if it is another live one.
    pub(super) fn keeper_of_request(&self, id: &str) -> Option<SocketAddr> {
        let tag = id.parse::<RequestId>().ok()?.node_tag();
        let cluster = self.cluster.borrow();
        let keeper = cluster.members().find(|member| member.node.tag() == tag)?;
        Some(keeper.operator_address)
    }

    /// Operators' address of the node that holds the lease of an engine's group, if it is another
    /// live one.
    pub(super) fn holder_of_engine(&self, id: &str) -> Option<SocketAddr> {
        let engine = EngineId::from(id);
        let active = self.shared.configuration.load_full()?;
        let mut groups = active.deployment.groups.iter();
        let group = groups.find(|group| group.engines.contains(&engine))?.id();
        let holder = self.control.holders().remove(&group)?;
        let cluster = self.cluster.borrow();
        let member = cluster.members().find(|member| member.node == holder)?;
        Some(member.operator_address)
    }

    /// The answer of this node, or the other node's where this one keeps no record.
    pub(super) async fn or_forwarded(
        &self,
        answer: Answer,
        request: &Request,
        keeper: Option<SocketAddr>,
    ) -> Answer {
        let headers = request.head().headers();
        if answer.status() != StatusCode::NOT_FOUND || headers.contains_key(FORWARDED) {
            return answer;
        }
        let Some(keeper) = keeper else {
            return answer;
        };
        let client = Client::builder()
            .timeout(FORWARD_TIMEOUT)
            .disable_redirects()
            .finish();
        let url = format!("http://{keeper}{}", request.path());
        let mut question = client.get(url).insert_header((FORWARDED, "1"));
        if let Some(key) = headers.get(AUTHORIZATION) {
            question = question.insert_header((AUTHORIZATION, key.clone()));
        }
        let Ok(mut response) = question.send().await else {
            let message = format!("the node at {keeper} keeps the record and does not answer");
            return text_answer(StatusCode::BAD_GATEWAY, message);
        };
        let Ok(body) = response.body().limit(MAX_ANSWER_BYTES).await else {
            return text_answer(StatusCode::BAD_GATEWAY, "the answer broke off");
        };
        let text = String::from_utf8_lossy(&body).into_owned();
        let mut passed = text_answer(response.status(), text);
        if let Some(kind) = response.headers().get(CONTENT_TYPE) {
            passed.headers_mut().insert(CONTENT_TYPE, kind.clone());
        }
        passed
    }
}
