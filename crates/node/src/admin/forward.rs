//! Forwards an operator's request to the node that owns the requested record.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderName, HeaderValue};
use dalestand_edge::{HttpCall, HttpCallError, HttpClient};
use dalestand_http_server::{Answer, Request, StatusCode, text_answer};
use dalestand_types::{EngineId, RequestId};

use super::Admin;

/// Header of a forwarded request, which must not be forwarded again.
const FORWARDED: &str = "x-dalestand-forwarded";

const FORWARD_TIMEOUT: Duration = Duration::from_secs(3);

/// Size limit of a forwarded answer, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

impl Admin {
    /// Operator API address of the node that accepted a request, if that is another live node.
    pub(super) fn request_owner_address(&self, id: &str) -> Option<SocketAddr> {
        let tag = id.parse::<RequestId>().ok()?.node_tag();
        let cluster = self.cluster.borrow();
        let owner = cluster.members().find(|member| member.node.tag() == tag)?;
        Some(owner.operator_address)
    }

    /// Operator API address of the lease holder of an engine's group, if that is another live node.
    pub(super) fn engine_holder_address(&self, id: &str) -> Option<SocketAddr> {
        let engine = EngineId::from(id);
        let active = self.shared.configuration.load_full()?;
        let mut groups = active.deployment.groups.iter();
        let group = groups.find(|group| group.engines.contains(&engine))?.id();
        let holder = self.control.holders().remove(&group)?;
        let cluster = self.cluster.borrow();
        let member = cluster.members().find(|member| member.node == holder)?;
        Some(member.operator_address)
    }

    /// Returns `answer` unless it is 404 and there is an `owner`, in which case the request is
    /// forwarded to the owner.
    pub(super) async fn or_forward(
        &self,
        answer: Answer,
        request: &Request,
        owner: Option<SocketAddr>,
    ) -> Answer {
        let headers = request.head().headers();
        if answer.status() != StatusCode::NOT_FOUND || headers.contains_key(FORWARDED) {
            return answer;
        }
        let Some(owner) = owner else {
            return answer;
        };
        let mut call = HttpCall::get(request.path());
        let forwarded = HeaderValue::from_static("1");
        call.headers
            .push((HeaderName::from_static(FORWARDED), forwarded));
        if let Some(key) = headers.get(AUTHORIZATION) {
            call.headers.push((AUTHORIZATION, key.clone()));
        }
        let client = HttpClient::new(owner);
        let response = match client.call(call, FORWARD_TIMEOUT, MAX_ANSWER_BYTES).await {
            Ok(response) => response,
            Err(HttpCallError::Body(_)) => {
                return text_answer(
                    StatusCode::BAD_GATEWAY,
                    "the forwarded answer was incomplete or too long",
                );
            }
            Err(_) => {
                let message = format!("the node at {owner} owns the record but did not answer");
                return text_answer(StatusCode::BAD_GATEWAY, message);
            }
        };
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let mut forwarded_answer = text_answer(response.status, text);
        if let Some(kind) = response.headers.get(CONTENT_TYPE) {
            forwarded_answer
                .headers_mut()
                .insert(CONTENT_TYPE, kind.clone());
        }
        forwarded_answer
    }
}
