//! Acceptance of requests: configuration, route, caller's key and body.

use std::rc::Rc;
use std::sync::Arc;

use actix_http::header::HOST;
use dalestand_clock::BootInstant;
use dalestand_edge::routed::RequestMetadata;
use dalestand_http_server::{
    Body, BodyLimits, HttpMessage as _, HttpServerError, Owner, Request, address_owner,
    check_declared_length, declared_length, read_body,
};
use dalestand_quarantine::{PartFingerprint, RequestFingerprint, RequestIdentity};
use dalestand_routes::{Caller, RouteConfig, RouteTable};
use dalestand_routing::TenantCode;
use dalestand_types::PoolName;

use crate::context::Context;
use crate::fleet_sums::ClassKey;
use crate::quarantine::parts::evidence::record_arrival;
use crate::serve::answer::Failure;
use crate::serve::caller_watch::record_read;
use crate::serve::headers::forwarded_headers;
use crate::serve::progress::{AcceptedRequest, ForwardedRequest, Progress, time_limit};
use crate::serve::tenant_shares::tenant_code;

/// What the head of a request says.
struct AcceptedHead {
    facts: RequestMetadata,
    table: Rc<RouteTable>,
    route: Arc<RouteConfig>,
    caller: Caller,
}

impl AcceptedHead {
    fn body_limits(&self) -> BodyLimits {
        let tenant = self.caller.tenant();
        BodyLimits {
            timeout: time_limit(&self.facts, &self.route),
            owner: tenant.map(|tenant| Owner::Tenant(TenantCode::of(&tenant.name).0)),
            ..BodyLimits::bytes(self.table.callers().max_body_bytes)
        }
    }
}

/// Finds the route and the caller of a request.
fn accept_head(context: &Context, request: &Request) -> Result<AcceptedHead, Failure> {
    let facts = context.dialect.read_request(request.headers());
    let table = context.table().ok_or(Failure::NoConfiguration)?;
    let route = table
        .find(host(request), request.path())
        .ok_or(Failure::NoRoute)?;
    let route = Arc::clone(route);
    let caller = table.authenticate(&route, &facts.key);
    let caller = caller.map_err(|_| Failure::Unauthorized)?;
    if caller.tenant().is_some() && !context.keys_are_current() {
        return Err(Failure::NoConfiguration);
    }
    Ok(AcceptedHead {
        facts,
        table,
        route,
        caller,
    })
}

/// Decides by the head of a request whether its body is to be sent.
pub(crate) fn check_expectation(context: &Context, request: &Request) -> Result<(), Failure> {
    let limits = accept_head(context, request)?.body_limits();
    check_declared_length(request, limits.max_bytes).map_err(body_failure)?;
    let declared = declared_length(request).and_then(|length| length.try_into().ok());
    let owner = limits.owner.unwrap_or_else(|| address_owner(request));
    if context.bodies.has_room(owner, declared.unwrap_or(0)) {
        Ok(())
    } else {
        Err(Failure::NoBodyMemory)
    }
}

/// Finds the route and the caller of a request and reads its body.
pub(crate) async fn accept(context: &Context, request: &mut Request) -> Result<Progress, Failure> {
    let started = BootInstant::now();
    let head = accept_head(context, request)?;
    let body = read_body(request, head.body_limits()).await;
    let body = body.map_err(body_failure)?;
    let AcceptedHead {
        facts,
        table,
        route,
        caller,
    } = head;
    record_read(request, facts.id.as_ref());
    let fingerprint = request_fingerprint(context, request, &caller, &body);
    let shared_parts = shared_parts(context, &facts);
    record_arrival(context, &shared_parts);
    let forwarded = ForwardedRequest {
        method: request.method().clone(),
        uri: request.uri().clone(),
        headers: forwarded_headers(request.headers()),
        body,
    };
    let pools = context.splits.borrow_mut().pick(&route);
    let class = class_key(&route, &caller, &pools);
    let now = context.now();
    if let Some(pool) = pools.first() {
        let tenant = tenant_code(&caller);
        context
            .budget
            .borrow_mut()
            .record_request(now, pool, tenant);
    }
    context
        .classes
        .update(&class, |meter| meter.asked.count(now, 1.0));
    Ok(Progress::new(AcceptedRequest {
        facts,
        caller,
        forwarded,
        table,
        route,
        pools,
        fingerprint,
        shared_parts,
        class,
        started,
    }))
}

fn body_failure(error: HttpServerError) -> Failure {
    match error {
        HttpServerError::BodyTooLarge { .. } => Failure::BodyTooLong,
        HttpServerError::NoMemory(_) => Failure::NoBodyMemory,
        HttpServerError::Displaced(_) => Failure::BodyDisplaced,
        HttpServerError::BodyTooSlow => Failure::BodyTooSlow,
        _ => Failure::BodyUnreadable,
    }
}

/// The class under which a request is counted: its pool and priority. The empty name is a fallback
/// only, as every declared route has a pool.
fn class_key(route: &RouteConfig, caller: &Caller, pools: &[PoolName]) -> ClassKey {
    let of_tenant = caller.tenant().and_then(|tenant| tenant.priority);
    let pool = pools.first().or(route.pools.first().map(|part| &part.pool));
    let pool = pool.cloned().unwrap_or_else(|| PoolName::from(""));
    (pool, of_tenant.unwrap_or(route.priority))
}

/// The fingerprint by which the request is recognised when it is sent again; `None` until the
/// fleet's key is loaded.
fn request_fingerprint(
    context: &Context,
    request: &Request,
    caller: &Caller,
    body: &Body,
) -> Option<RequestFingerprint> {
    let key = context.quarantine.key()?;
    let path = request.uri().path_and_query();
    let identity = RequestIdentity {
        method: request.method().as_str(),
        host: host(request),
        path: path.map_or("", |path| path.as_str()),
        tenant: caller.tenant().map(|tenant| tenant.name.as_str()),
        body: body.segments(),
    };
    Some(key.fingerprint(&identity))
}

/// The fingerprints of the prompt parts that the request shares with others; none until the fleet's key is loaded.
fn shared_parts(context: &Context, facts: &RequestMetadata) -> Rc<[PartFingerprint]> {
    let key = context.quarantine.key();
    let parts = key.map(|key| key.shared_parts(facts.parts.iter().map(|(id, _)| *id)));
    parts.unwrap_or_default().into()
}

/// The host that a request names.
fn host(request: &Request) -> &str {
    let host = request.headers().get(HOST);
    host.and_then(|host| host.to_str().ok()).unwrap_or_default()
}
