//! The checked form of a declaration, in which requests are looked up.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use dalestand_types::{PoolName, Revision, TenantName};

use crate::file::{CallerLimits, PoolConfig, RouteConfig, RouteFile};
use crate::tenant::{Caller, KeyIndex, PresentedKey, Tenant, TenantConfig, Unauthorized};

/// Why a declaration cannot come into force.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RouteFileError {
    /// The text is not a declaration.
    #[error("not a route file: {0}")]
    Unreadable(String),
    /// A path prefix does not begin and end with a slash.
    #[error("route {route}: path_prefix {prefix} must begin and end with a slash")]
    Prefix { route: String, prefix: String },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} have the same host and path_prefix")]
    Twice { first: String, second: String },
    /// A route has no pool of a weight above 0.
    #[error("route {route}: no pool has a weight")]
    NoPool { route: String },
    /// A route names a pool that is not declared.
    #[error("route {route}: pool {pool} is not declared")]
    UnknownPool { route: String, pool: PoolName },
    /// A figure that must be above 0 is not.
    #[error("route {route}: {field} must be above 0")]
    Zero { route: String, field: &'static str },
    /// Two tenants have the same name.
    #[error("tenant {0} is declared twice")]
    TenantTwice(TenantName),
    /// A key is empty. Keys themselves are never shown.
    #[error("tenant {0}: a key is empty")]
    EmptyKey(TenantName),
    /// A key is declared twice.
    #[error("tenant {0}: a key is declared twice")]
    KeyTwice(TenantName),
    /// A weight is no number above 0.
    #[error("tenant {tenant}: weight {weight} must be a number above 0")]
    Weight { tenant: TenantName, weight: f64 },
}

/// Routes by host and path.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    revision: Revision,
    /// Routes of a host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<RouteConfig>>>,
    pools: HashMap<PoolName, Arc<PoolConfig>>,
    callers: CallerLimits,
    /// Pools whose requests are not all as urgent as each other.
    ranked: HashSet<PoolName>,
    tenants: Vec<Arc<Tenant>>,
    /// `None` where no tenants are declared.
    keys: Option<KeyIndex>,
}

impl RouteTable {
    /// Parses and checks a declaration in TOML.
    pub fn parse(text: &str) -> Result<Self, Vec<RouteFileError>> {
        let file = toml::from_str(text);
        let file = file.map_err(|error| vec![RouteFileError::Unreadable(error.to_string())])?;
        Self::new(file)
    }

    /// Checks a declaration; every fault is listed.
    pub fn new(file: RouteFile) -> Result<Self, Vec<RouteFileError>> {
        let mut table = Self {
            revision: file.revision,
            callers: file.callers,
            ..Self::default()
        };
        for pool in file.pools {
            table.pools.insert(pool.name.clone(), Arc::new(pool));
        }
        let mut faults = Vec::new();
        for route in file.routes {
            table.check(&route, &mut faults);
            let routes = table.hosts.entry(host_of(&route.host)).or_default();
            routes.push(Arc::new(route));
        }
        let tenants_ranked = file.tenants.iter().any(|tenant| tenant.priority.is_some());
        table.ranked = table.ranked_pools(tenants_ranked);
        if !file.tenants.is_empty() {
            let (keys, tenants) = index_keys(file.tenants, &mut faults);
            table.keys = Some(keys);
            table.tenants = tenants;
        }
        for routes in table.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        if faults.is_empty() {
            Ok(table)
        } else {
            Err(faults)
        }
    }

    /// Whether the pools of `other` are declared alike here, and no others.
    pub fn has_same_pools(&self, other: &Self) -> bool {
        self.pools == other.pools
    }

    fn check(&self, route: &RouteConfig, faults: &mut Vec<RouteFileError>) {
        let prefix = &route.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            faults.push(RouteFileError::Prefix {
                route: route.name.clone(),
                prefix: prefix.clone(),
            });
        }
        let known = self.hosts.get(&host_of(&route.host));
        let same = known.and_then(|routes| routes.iter().find(|one| one.path_prefix == *prefix));
        if let Some(first) = same {
            faults.push(RouteFileError::Twice {
                first: first.name.clone(),
                second: route.name.clone(),
            });
        }
        if route.pools.iter().all(|part| part.weight == 0) {
            faults.push(RouteFileError::NoPool {
                route: route.name.clone(),
            });
        }
        for part in &route.pools {
            if !self.pools.contains_key(&part.pool) {
                faults.push(RouteFileError::UnknownPool {
                    route: route.name.clone(),
                    pool: part.pool.clone(),
                });
            }
        }
        let figures = [
            ("time_limit_ms", route.time_limit_ms),
            ("max_attempts", u64::from(route.max_attempts)),
        ];
        for (field, value) in figures {
            if value == 0 {
                faults.push(RouteFileError::Zero {
                    route: route.name.clone(),
                    field,
                });
            }
        }
    }

    /// Revision of the declaration.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Bounds on callers.
    pub fn callers(&self) -> &CallerLimits {
        &self.callers
    }

    /// The route of the longest prefix that begins `path`, among those of `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteConfig>> {
        let routes = self.hosts.get(&host_of(host))?;
        let mut routes = routes.iter();
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Whose request it is that came on `route` with `key`.
    pub fn authenticate(
        &self,
        route: &RouteConfig,
        key: &PresentedKey,
    ) -> Result<Caller, Unauthorized> {
        let Some(keys) = &self.keys else {
            return Ok(Caller::Untenanted);
        };
        match key {
            PresentedKey::Absent if route.allow_anonymous => Ok(Caller::Anonymous),
            PresentedKey::Absent | PresentedKey::Malformed => Err(Unauthorized),
            PresentedKey::Key(key) => {
                let tenant = keys.find(key).ok_or(Unauthorized)?;
                Ok(Caller::Tenant(Arc::clone(tenant)))
            }
        }
    }

    /// Whether tenants are declared.
    pub fn has_tenants(&self) -> bool {
        self.keys.is_some()
    }

    /// A pool by its name.
    pub fn pool(&self, name: &PoolName) -> Option<&Arc<PoolConfig>> {
        self.pools.get(name)
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<PoolConfig>> {
        self.pools.values()
    }

    /// Whether routes of a pool differ in priority, or tenants have priorities of their own.
    pub fn has_mixed_priorities(&self, pool: &PoolName) -> bool {
        self.ranked.contains(pool)
    }

    /// Whether requests for a pool compete by anything but the time they come: by priority, or by tenant.
    pub fn ranks_requests(&self, pool: &PoolName) -> bool {
        self.keys.is_some() || self.has_mixed_priorities(pool)
    }

    /// Pools whose requests differ in priority.
    fn ranked_pools(&self, tenants_ranked: bool) -> HashSet<PoolName> {
        if tenants_ranked {
            return self.pools.keys().cloned().collect();
        }
        let mut first = HashMap::new();
        let mut ranked = HashSet::new();
        for route in self.hosts.values().flatten() {
            for part in route.pools.iter().filter(|part| part.weight > 0) {
                if *first.entry(&part.pool).or_insert(route.priority) != route.priority {
                    ranked.insert(part.pool.clone());
                }
            }
        }
        ranked
    }

    /// The declared tenants.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants.iter()
    }

    /// The priorities that requests may have.
    pub fn priorities(&self) -> BTreeSet<u8> {
        let routes = self.hosts.values().flatten().map(|route| route.priority);
        let tenants = self.tenants.iter().filter_map(|tenant| tenant.priority);
        routes.chain(tenants).collect()
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

/// Keeps the keys of all tenants, as hashes, and the tenants themselves.
fn index_keys(
    tenants: Vec<TenantConfig>,
    faults: &mut Vec<RouteFileError>,
) -> (KeyIndex, Vec<Arc<Tenant>>) {
    let mut keys = KeyIndex::new();
    let mut known = Vec::new();
    let mut names = HashSet::new();
    for terms in tenants {
        if !names.insert(terms.name.clone()) {
            faults.push(RouteFileError::TenantTwice(terms.name.clone()));
        }
        if let Some(weight) = terms.weight
            && !(weight.is_finite() && weight > 0.0)
        {
            faults.push(RouteFileError::Weight {
                tenant: terms.name.clone(),
                weight,
            });
        }
        let tenant = Arc::new(Tenant {
            name: terms.name.clone(),
            priority: terms.priority,
            weight: terms.weight,
        });
        for key in &terms.keys {
            if key.is_empty() {
                faults.push(RouteFileError::EmptyKey(terms.name.clone()));
            } else if !keys.add(key, &tenant) {
                faults.push(RouteFileError::KeyTwice(terms.name.clone()));
            }
        }
        known.push(tenant);
    }
    (keys, known)
}

/// Host names are compared without case, port and trailing dot.
fn host_of(text: &str) -> String {
    let name = match text.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => text,
    };
    name.trim_end_matches('.').to_ascii_lowercase()
}
