//! Who calls, and on what terms: tenant, class, priority, deadlines.

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

/// What stands before the key in the `Authorization` header.
const BEARER: &str = "Bearer ";

/// Terms of one request.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Terms {
    /// The tenant, if the caller sent a key.
    pub(crate) tenant: Option<Tenant>,
    /// Class of the request, if it has one.
    pub(crate) class: Option<String>,
    /// Importance.
    pub(crate) priority: Priority,
    /// Time left.
    pub(crate) deadlines: Deadlines,
}

/// Finds tenants by the hash of their key. The hash of what a caller sent, not the key, is looked
/// up, so the time a look-up takes tells nothing of any key.
#[derive(Default)]
pub(crate) struct TenantIndex {
    built: RefCell<Option<Built>>,
}

struct Built {
    revision: Revision,
    by_hash: Rc<HashMap<blake3::Hash, usize>>,
}

impl TenantIndex {
    /// Terms of a request with these headers.
    pub(crate) fn terms(
        &self,
        active: &ActiveConfiguration,
        headers: &HeaderMap,
    ) -> Result<Terms, CallerError> {
        let deployment = &*active.deployment;
        let authorization = text(headers, &AUTHORIZATION)?;
        let tenant = authorization.and_then(|value| self.tenant(active, value));
        // Client libraries always send a key, so where none is required an unknown one counts as
        // none.
        if tenant.is_none() && deployment.callers.require_key {
            return Err(CallerError::Unauthorized);
        }
        let mut terms = class_terms(deployment, headers, tenant)?;
        terms.tenant = tenant.cloned();
        if let Some(lower) = number::<u8>(headers, &PRIORITY_HEADER)? {
            terms.priority = terms.priority.min(Priority(lower));
        }
        if let Some(milliseconds) = number::<u64>(headers, &DEADLINE_HEADER)? {
            let asked = Duration::from_millis(milliseconds);
            let deadlines = &mut terms.deadlines;
            deadlines.whole = Some(deadlines.whole.map_or(asked, |whole| whole.min(asked)));
        }
        Ok(terms)
    }

    fn tenant<'a>(
        &self,
        active: &'a ActiveConfiguration,
        authorization: &str,
    ) -> Option<&'a Tenant> {
        let key = authorization.strip_prefix(BEARER)?;
        let hash = blake3::hash(key.trim().as_bytes());
        let by_hash = self.by_hash(active);
        let place = by_hash.get(&hash)?;
        active.deployment.tenants.get(*place)
    }

    /// The index of the configuration in force; built once a revision.
    fn by_hash(&self, active: &ActiveConfiguration) -> Rc<HashMap<blake3::Hash, usize>> {
        let mut built = self.built.borrow_mut();
        if let Some(built) = &*built
            && built.revision == active.revision
        {
            return Rc::clone(&built.by_hash);
        }
        let tenants = active.deployment.tenants.iter().enumerate();
        let by_hash = tenants.filter_map(|(place, tenant)| {
            let hash = blake3::Hash::from_hex(&tenant.key_blake3).ok()?;
            Some((hash, place))
        });
        let by_hash: Rc<HashMap<_, _>> = Rc::new(by_hash.collect());
        *built = Some(Built {
            revision: active.revision,
            by_hash: Rc::clone(&by_hash),
        });
        by_hash
    }
}

/// Terms of the class that the header names, or else of the tenant's class.
fn class_terms(
    deployment: &Deployment,
    headers: &HeaderMap,
    tenant: Option<&Tenant>,
) -> Result<Terms, CallerError> {
    let asked = text(headers, &CLASS_HEADER)?;
    let Some(name) = asked.or(tenant.map(|tenant| tenant.class.as_str())) else {
        return Ok(Terms::default());
    };
    let class = deployment.class(name).ok_or_else(|| {
        let message = format!("class {name} is not known here");
        invalid_header(&CLASS_HEADER, message)
    })?;
    Ok(Terms {
        tenant: None,
        class: Some(name.to_owned()),
        priority: class.priority,
        deadlines: Deadlines {
            first_token: Some(Duration::from_millis(class.first_token_ms)),
            whole: Some(Duration::from_millis(class.deadline_ms)),
        },
    })
}

/// A header's value as text.
pub(crate) fn text<'h>(
    headers: &'h HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'h str>, CallerError> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) => Ok(Some(text)),
        Err(_) => Err(invalid_header(name, "must be visible ASCII".to_owned())),
    }
}

fn number<T: std::str::FromStr>(
    headers: &HeaderMap,
    name: &HeaderName,
) -> Result<Option<T>, CallerError> {
    let Some(text) = text(headers, name)? else {
        return Ok(None);
    };
    match text.trim().parse() {
        Ok(number) => Ok(Some(number)),
        Err(_) => Err(invalid_header(name, "must be a whole number".to_owned())),
    }
}

fn invalid_header(name: &HeaderName, problem: String) -> CallerError {
    CallerError::Invalid {
        param: Some(name.to_string()),
        message: format!("{name}: {problem}"),
    }
}
