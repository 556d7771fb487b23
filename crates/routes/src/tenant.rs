//! Tenants, and the keys by which their callers are known.

use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

use dalestand_types::TenantName;
use serde::{Deserialize, Serialize};

/// A caller's key. Its text is never shown: not in logs, errors or debug output.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ApiKey(String);

impl ApiKey {
    /// The key of this text.
    pub fn new(text: impl Into<String>) -> Self {
        Self(text.into())
    }

    /// Whether there is nothing in it.
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
    /// Its name, which engines are told.
    pub name: TenantName,
    /// The keys of its callers.
    #[serde(default)]
    pub keys: Vec<ApiKey>,
    /// Importance of its requests in place of the route's; 0 is the highest.
    #[serde(default)]
    pub priority: Option<u8>,
    /// Its part of a pool that is short of room, against 1 for tenants without one; above 0.
    #[serde(default)]
    pub weight: Option<f64>,
}

/// The key that came with a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum PresentedKey {
    /// None.
    #[default]
    Absent,
    /// Something that is no key, or more than one.
    Malformed,
    /// One key.
    Key(ApiKey),
}

/// A tenant as requests carry it.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name.
    pub name: TenantName,
    /// Importance in place of the route's.
    pub priority: Option<u8>,
    /// Its part of a pool that is short of room, if one is declared.
    pub weight: Option<f64>,
}

/// Whose request it is.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Caller {
    /// No tenants are declared.
    #[default]
    Untenanted,
    /// Tenants are declared, and the route may be used without a key.
    Anonymous,
    /// A tenant's.
    Tenant(Arc<Tenant>),
}

impl Caller {
    /// The tenant, if there is one.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        match self {
            Self::Tenant(tenant) => Some(tenant),
            Self::Untenanted | Self::Anonymous => None,
        }
    }
}

/// The key is missing, malformed or not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no known key")]
pub struct Unauthorized;

/// Finds tenants by keys, of which it keeps only keyed hashes. What a caller sent is hashed before
/// it is looked up, so that the time of a look-up tells nothing of any key.
#[derive(Clone, Default)]
pub(crate) struct KeyIndex {
    /// Drawn anew for each index, so that a hash found in memory is of no use elsewhere.
    secret: [u8; blake3::KEY_LEN],
    tenants: HashMap<blake3::Hash, Arc<Tenant>>,
}

impl fmt::Debug for KeyIndex {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyIndex({} keys)", self.tenants.len())
    }
}

impl KeyIndex {
    /// An index without keys.
    pub(crate) fn new() -> Self {
        Self {
            secret: rand::random(),
            tenants: HashMap::new(),
        }
    }

    /// Adds a key of `tenant`; whether it was not known before.
    pub(crate) fn add(&mut self, key: &ApiKey, tenant: &Arc<Tenant>) -> bool {
        let hash = self.hash(key);
        self.tenants.insert(hash, Arc::clone(tenant)).is_none()
    }

    /// The tenant whose key this is.
    pub(crate) fn find(&self, key: &ApiKey) -> Option<&Arc<Tenant>> {
        self.tenants.get(&self.hash(key))
    }

    fn hash(&self, key: &ApiKey) -> blake3::Hash {
        blake3::keyed_hash(&self.secret, key.0.as_bytes())
    }
}
