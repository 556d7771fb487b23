//! What a request must be before it is passed on: under a configuration, on a route, with a known key,
//! and whole.

use std::sync::Arc;

use actix_http::header::HOST;
use bytes::Bytes;
use dalestand_clock::BootInstant;
use dalestand_http_server::{HttpMessage as _, HttpServerError, Request, read_body};
use dalestand_quarantine::{RequestFingerprint, RequestIdentity};
use dalestand_routes::{Caller, RouteTerms};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::fleet_sums::ClassKey;
use crate::serve::answer::Failure;
use crate::serve::headers::passed_on;
use crate::serve::progress::{Admitted, PassedRequest, Progress};

/// Takes a request in: finds its route and its caller, and reads its body.
pub(crate) async fn admit(context: &Context, request: &mut Request) -> Result<Progress, Failure> {
    let started = BootInstant::now();
    let facts = context.dialect.read_request(request.headers());
    let table = context.table().ok_or(Failure::NoConfiguration)?;
    let route = table
        .find(host(request), request.path())
        .ok_or(Failure::NoRoute)?;
    let route = Arc::clone(route);
    let caller = table.identify(&route, &facts.key);
    let caller = caller.map_err(|_| Failure::Unauthorized)?;
    if caller.tenant().is_some() && !context.keys_are_current() {
        return Err(Failure::NoConfiguration);
    }
    let body = read_body(request, table.callers().max_body_bytes).await;
    let body = body.map_err(|error| match error {
        HttpServerError::BodyTooLarge { .. } => Failure::BodyTooLong,
        _ => Failure::BodyUnreadable,
    })?;
    let fingerprint = fingerprint(context, request, &caller, &body);
    let passed = PassedRequest {
        method: request.method().clone(),
        uri: request.uri().clone(),
        headers: passed_on(request.headers()),
        body,
    };
    let pools = context.splits.borrow_mut().pick(&route);
    let class = class(&route, &caller, &pools);
    let now = context.now();
    if let Some(pool) = pools.first() {
        context.budget.borrow_mut().record_request(now, pool);
    }
    context
        .classes
        .note(&class, |meter| meter.asked.count(now, 1.0));
    Ok(Progress::new(Admitted {
        facts,
        caller,
        passed,
        table,
        route,
        pools,
        fingerprint,
        class,
        started,
    }))
}

/// By what a request is counted. A route without a pool is none that a declaration may have.
fn class(route: &RouteTerms, caller: &Caller, pools: &[PoolName]) -> ClassKey {
    let of_tenant = caller.tenant().and_then(|tenant| tenant.priority);
    let pool = pools.first().or(route.pools.first().map(|part| &part.pool));
    let pool = pool.cloned().unwrap_or_else(|| PoolName::from(""));
    (pool, of_tenant.unwrap_or(route.priority))
}

/// What the request is known by when it comes again.
fn fingerprint(
    context: &Context,
    request: &Request,
    caller: &Caller,
    body: &Bytes,
) -> Option<RequestFingerprint> {
    let key = context.quarantine.key()?;
    let path = request.uri().path_and_query();
    let identity = RequestIdentity {
        method: request.method().as_str(),
        host: host(request),
        path: path.map_or("", |path| path.as_str()),
        tenant: caller.tenant().map(|tenant| tenant.name.as_str()),
        body,
    };
    Some(key.fingerprint(&identity))
}

/// The host that a request names.
fn host(request: &Request) -> &str {
    let host = request.headers().get(HOST);
    host.and_then(|host| host.to_str().ok()).unwrap_or_default()
}
