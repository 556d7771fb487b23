//! Authenticates callers and determines the tenant, class, priority and deadlines of a request.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{AUTHORIZATION, HeaderMap, HeaderName};
use dalestand_config::{Deployment, Tenant};
use dalestand_routing::Deadlines;
use dalestand_types::{Priority, Revision};

use crate::error::CallerError;
use crate::shared::ActiveConfiguration;

const CLASS_HEADER: HeaderName = HeaderName::from_static("x-dalestand-class");
const PRIORITY_HEADER: HeaderName = HeaderName::from_static("x-dalestand-priority");
const DEADLINE_HEADER: HeaderName = HeaderName::from_static("x-dalestand-deadline-ms");

/// Prefix of the API key in the `Authorization` header.
const BEARER: &str = "Bearer ";

/// Tenant, class, priority and deadlines of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RequestPolicy {
    /// The tenant, if the caller sent a known key.
    pub(crate) tenant: Option<Tenant>,
    /// Name of the class, if the request has one.
    pub(crate) class: Option<String>,
    pub(crate) priority: Priority,
    /// Time limits for the first token and for the whole answer.
    pub(crate) deadlines: Deadlines,
}

/// Finds tenants by the hash of their API key. Because the lookup uses the hash of what the caller
/// sent, its timing reveals nothing about any key.
#[derive(Default)]
pub(crate) struct TenantIndex {
    cached: RefCell<Option<CachedIndex>>,
}

struct CachedIndex {
    revision: Revision,
    by_hash: Rc<HashMap<blake3::Hash, usize>>,
}

impl TenantIndex {
    /// Authenticates the caller and determines the policy of a request with these headers.
    pub(crate) fn policy(
        &self,
        active: &ActiveConfiguration,
        headers: &HeaderMap,
    ) -> Result<RequestPolicy, CallerError> {
        let deployment = &*active.deployment;
        let authorization = header_text(headers, &AUTHORIZATION)?;
        let tenant = authorization.and_then(|value| self.tenant(active, value));
        // Client libraries always send a key, so an unknown key counts as none where none is
        // required.
        if tenant.is_none() && deployment.callers.require_key {
            return Err(CallerError::Unauthorized);
        }
        let mut policy = class_policy(deployment, headers, tenant)?;
        policy.tenant = tenant.cloned();
        if let Some(requested) = header_number::<u8>(headers, &PRIORITY_HEADER)? {
            policy.priority = policy.priority.min(Priority(requested));
        }
        if let Some(milliseconds) = header_number::<u64>(headers, &DEADLINE_HEADER)? {
            let limit = Duration::from_millis(milliseconds);
            let deadlines = &mut policy.deadlines;
            deadlines.whole = Some(deadlines.whole.map_or(limit, |whole| whole.min(limit)));
        }
        Ok(policy)
    }

    fn tenant<'a>(
        &self,
        active: &'a ActiveConfiguration,
        authorization: &str,
    ) -> Option<&'a Tenant> {
        let key = authorization.strip_prefix(BEARER)?;
        let hash = blake3::hash(key.trim().as_bytes());
        let by_hash = self.by_hash(active);
        let index = by_hash.get(&hash)?;
        active.deployment.tenants.get(*index)
    }

    /// Index of the active configuration; rebuilt when the revision changes.
    fn by_hash(&self, active: &ActiveConfiguration) -> Rc<HashMap<blake3::Hash, usize>> {
        let mut cached = self.cached.borrow_mut();
        if let Some(cached) = &*cached
            && cached.revision == active.revision
        {
            return Rc::clone(&cached.by_hash);
        }
        let tenants = active.deployment.tenants.iter().enumerate();
        let by_hash = tenants.filter_map(|(index, tenant)| {
            let hash = blake3::Hash::from_hex(&tenant.key_blake3).ok()?;
            Some((hash, index))
        });
        let by_hash: Rc<HashMap<_, _>> = Rc::new(by_hash.collect());
        *cached = Some(CachedIndex {
            revision: active.revision,
            by_hash: Rc::clone(&by_hash),
        });
        by_hash
    }
}

/// Policy of the class that the header names, or else of the tenant's class.
fn class_policy(
    deployment: &Deployment,
    headers: &HeaderMap,
    tenant: Option<&Tenant>,
) -> Result<RequestPolicy, CallerError> {
    let requested = header_text(headers, &CLASS_HEADER)?;
    let Some(name) = requested.or(tenant.map(|tenant| tenant.class.as_str())) else {
        return Ok(RequestPolicy::default());
    };
    let class = deployment.class(name).ok_or_else(|| {
        let message = format!("class {name} is not configured");
        invalid_header(&CLASS_HEADER, message)
    })?;
    Ok(RequestPolicy {
        tenant: None,
        class: Some(name.to_owned()),
        priority: class.priority,
        deadlines: Deadlines {
            first_token: Some(Duration::from_millis(class.first_token_ms)),
            whole: Some(Duration::from_millis(class.deadline_ms)),
        },
    })
}

/// The value of a header as text.
pub(crate) fn header_text<'h>(
    headers: &'h HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'h str>, CallerError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(invalid_header(
            name,
            "must consist of visible ASCII characters".to_owned(),
        )),
    }
}

fn header_number<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<T>, CallerError> {
    let Some(text) = header_text(headers, name)? else {
        return Ok(None);
    };
    match text.trim().parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(invalid_header(
            name,
            "must be an integer in the permitted range".to_owned(),
        )),
    }
}

fn invalid_header(name: &HeaderName, problem: String) -> CallerError {
    CallerError::Invalid {
        param: Some(name.to_string()),
        message: format!("{name}: {problem}"),
    }
}
