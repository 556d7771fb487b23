//! Tenants and the API keys that identify their callers.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use dalestand_types::TenantName;
use serde::{Deserialize, Serialize};

/// An API key. Debug output hides its text, and errors and logs must not contain it.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(String);

impl ApiKey {
    /// A key with this text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Whether the text is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("ApiKey(..)")
    }
}

/// A tenant as an operator declares it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantConfig {
    /// Name of the tenant, which engines receive with its requests.
    pub name: TenantName,
    /// API keys of its callers.
    #[serde(default)]
    pub keys: Vec<ApiKey>,
    /// Priority of its requests, which overrides the route's; 0 is the highest.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Weight of its share of an overloaded pool; above 0, and 1 if absent.
    #[serde(default)]
    pub weight: Option<f64>,
}

/// The API key of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// The request has no key.
    #[default]
    Absent,
    /// The request has something that is not a key, or more than one key.
    Malformed,
    /// The request has one key.
    Key(ApiKey),
}

/// A declared tenant, without its keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: TenantName,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// Weight of its share of an overloaded pool, if one is declared.
    pub weight: Option<f64>,
}

/// The caller of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Caller {
    /// Unknown, since no tenants are declared.
    #[default]
    Untenanted,
    /// A caller without a key, on a route that allows this although tenants are declared.
    Anonymous,
    /// A tenant, identified by its key.
    Tenant(Arc<Tenant>),
}

impl Caller {
    /// The tenant, if the caller belongs to one.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Untenanted | Self::Anonymous => None,
        }
    }
}

/// The API key is missing, malformed or unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no valid API key")]
pub struct Unauthorized;

/// Tenants by API key. Only keyed hashes of the keys are stored. A presented key is hashed before the
/// lookup, so that the lookup's duration reveals nothing about the stored keys.
#[derive(Clone, Default)]
pub(crate) struct KeyIndex {
    /// Hash key, random for each index, so that a leaked hash cannot be matched elsewhere.
    secret: [u8; blake3::KEY_LEN],
    tenants: HashMap<blake3::Hash, Arc<Tenant>>,
}

impl fmt::Debug for KeyIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyIndex({} keys)", self.tenants.len())
    }
}

impl KeyIndex {
    pub(crate) fn new() -> Self {
        Self {
            secret: rand::random(),
            tenants: HashMap::new(),
        }
    }

    /// Adds a key of `tenant`. Returns false if the key was already present.
    pub(crate) fn add(&mut self, key: &ApiKey, tenant: &Arc<Tenant>) -> bool {
        let hash = self.hash(key);
        self.tenants.insert(hash, Arc::clone(tenant)).is_none()
    }

    /// The tenant with this key.
    pub(crate) fn find(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        self.tenants.get(&self.hash(key))
    }

    fn hash(&self, key: &ApiKey) -> blake3::Hash {
        blake3::keyed_hash(&self.secret, key.0.as_bytes())
    }
}
