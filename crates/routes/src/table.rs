//! The validated form of a declaration, in which requests are looked up.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use dalestand_types::{PoolName, Revision, TenantName};

use crate::file::{CallerLimits, PoolConfig, RouteConfig, RouteFile};
use crate::tenant::{Caller, KeyIndex, PresentedKey, Tenant, TenantConfig, Unauthorized};

/// Why a declaration is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RouteFileError {
    /// The text cannot be parsed as a declaration.
    #[error("not a route file: {0}")]
    Syntax(String),
    /// A path prefix does not begin and end with a slash.
    #[error("route {route}: path_prefix {prefix} must begin and end with a slash")]
    InvalidPrefix { route: String, prefix: String },
    /// Two routes have the same host and prefix.
    #[error("routes {first} and {second} have the same host and path_prefix")]
    DuplicateRoute { first: String, second: String },
    /// A route has no pool with a weight above 0.
    #[error("route {route}: no pool has a weight above 0")]
    NoPool { route: String },
    /// A route names a pool that is not declared.
    #[error("route {route}: pool {pool} is not declared")]
    UnknownPool { route: String, pool: PoolName },
    /// A number that must be above 0 is 0.
    #[error("route {route}: {field} must be above 0")]
    ZeroValue { route: String, field: &'static str },
    /// Two tenants have the same name.
    #[error("tenant {0} is declared twice")]
    DuplicateTenant(TenantName),
    /// A key is empty. Errors never contain keys.
    #[error("tenant {0}: a key is empty")]
    EmptyKey(TenantName),
    /// A key is declared twice, by one tenant or by two.
    #[error("tenant {0}: a key is declared twice")]
    DuplicateKey(TenantName),
    /// A weight is not a finite number above 0.
    #[error("tenant {tenant}: weight {weight} must be a number above 0")]
    InvalidWeight { tenant: TenantName, weight: f64 },
}

/// Routes by host and path, with the declared pools and tenants.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    revision: Revision,
    /// Routes by host, longest prefix first.
    hosts: HashMap<String, Vec<Arc<RouteConfig>>>,
    pools: HashMap<PoolName, Arc<PoolConfig>>,
    callers: CallerLimits,
    /// Pools whose requests may differ in priority.
    mixed_priority_pools: HashSet<PoolName>,
    tenants: Vec<Arc<Tenant>>,
    /// Tenants by API key; `None` if no tenants are declared.
    keys: Option<KeyIndex>,
}

impl RouteTable {
    /// Parses and validates a declaration in TOML.
    pub fn parse(text: &str) -> Result<Self, Vec<RouteFileError>> {
        let file = toml::from_str(text);
        let file = file.map_err(|error| vec![RouteFileError::Syntax(error.to_string())])?;
        Self::new(file)
    }

    /// Validates a declaration. Returns all errors, not only the first.
    pub fn new(file: RouteFile) -> Result<Self, Vec<RouteFileError>> {
        let mut table = Self {
            revision: file.revision,
            callers: file.callers,
            ..Self::default()
        };
        for pool in file.pools {
            table.pools.insert(pool.name.clone(), Arc::new(pool));
        }
        let mut errors = Vec::new();
        for route in file.routes {
            table.validate_route(&route, &mut errors);
            let routes = table.hosts.entry(normalized_host(&route.host)).or_default();
            routes.push(Arc::new(route));
        }
        let any_tenant_priority = file.tenants.iter().any(|tenant| tenant.priority.is_some());
        table.mixed_priority_pools = table.find_mixed_priority_pools(any_tenant_priority);
        if !file.tenants.is_empty() {
            let (keys, tenants) = index_keys(file.tenants, &mut errors);
            table.keys = Some(keys);
            table.tenants = tenants;
        }
        for routes in table.hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        if errors.is_empty() {
            Ok(table)
        } else {
            Err(errors)
        }
    }

    /// Whether both tables declare the same pools with the same configuration.
    pub fn has_same_pools(&self, other: &Self) -> bool {
        self.pools == other.pools
    }

    /// Validates a route against the pools and the routes added before it.
    fn validate_route(&self, route: &RouteConfig, errors: &mut Vec<RouteFileError>) {
        let prefix = &route.path_prefix;
        if !prefix.starts_with('/') || !prefix.ends_with('/') {
            errors.push(RouteFileError::InvalidPrefix {
                route: route.name.clone(),
                prefix: prefix.clone(),
            });
        }
        let routes_of_host = self.hosts.get(&normalized_host(&route.host));
        let duplicate =
            routes_of_host.and_then(|routes| routes.iter().find(|one| one.path_prefix == *prefix));
        if let Some(first) = duplicate {
            errors.push(RouteFileError::DuplicateRoute {
                first: first.name.clone(),
                second: route.name.clone(),
            });
        }
        if route.pools.iter().all(|part| part.weight == 0) {
            errors.push(RouteFileError::NoPool {
                route: route.name.clone(),
            });
        }
        for part in &route.pools {
            if !self.pools.contains_key(&part.pool) {
                errors.push(RouteFileError::UnknownPool {
                    route: route.name.clone(),
                    pool: part.pool.clone(),
                });
            }
        }
        let positive = [
            ("time_limit_ms", route.time_limit_ms),
            ("max_attempts", u64::from(route.max_attempts)),
        ];
        for (field, value) in positive {
            if value == 0 {
                errors.push(RouteFileError::ZeroValue {
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

    /// Limits on callers' requests and connections.
    pub fn callers(&self) -> &CallerLimits {
        &self.callers
    }

    /// The route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteConfig>> {
        let routes = self.hosts.get(&normalized_host(host))?;
        let mut routes = routes.iter();
        routes.find(|route| path.starts_with(&route.path_prefix))
    }

    /// Identifies the caller of a request on `route` by its API key.
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

    /// The configuration of a pool.
    pub fn pool(&self, name: &PoolName) -> Option<&Arc<PoolConfig>> {
        self.pools.get(name)
    }

    /// The configurations of all pools, in no particular order.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<PoolConfig>> {
        self.pools.values()
    }

    /// Whether a pool's requests may differ in priority: its routes have different priorities, or a
    /// tenant overrides them.
    pub fn has_mixed_priorities(&self, pool: &PoolName) -> bool {
        self.mixed_priority_pools.contains(pool)
    }

    /// Whether requests for a pool are ordered by priority or tenant, and not only by arrival.
    pub fn ranks_requests(&self, pool: &PoolName) -> bool {
        self.keys.is_some() || self.has_mixed_priorities(pool)
    }

    /// Pools whose requests may differ in priority.
    fn find_mixed_priority_pools(&self, any_tenant_priority: bool) -> HashSet<PoolName> {
        if any_tenant_priority {
            return self.pools.keys().cloned().collect();
        }
        let mut first_priorities = HashMap::new();
        let mut mixed = HashSet::new();
        for route in self.hosts.values().flatten() {
            for part in route.pools.iter().filter(|part| part.weight > 0) {
                if *first_priorities.entry(&part.pool).or_insert(route.priority) != route.priority {
                    mixed.insert(part.pool.clone());
                }
            }
        }
        mixed
    }

    /// The declared tenants.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.tenants.iter()
    }

    /// All priorities that requests may have.
    pub fn priorities(&self) -> BTreeSet<u8> {
        let routes = self.hosts.values().flatten().map(|route| route.priority);
        let tenants = self.tenants.iter().filter_map(|tenant| tenant.priority);
        routes.chain(tenants).collect()
    }

    /// Longest time limit of a request on any route; zero without routes.
    pub fn max_time_limit(&self) -> Duration {
        let routes = self.hosts.values().flatten();
        let longest = routes.map(|route| route.time_limit_ms).max();
        Duration::from_millis(longest.unwrap_or(0))
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}

/// Validates the tenants and indexes them by API key.
fn index_keys(
    tenants: Vec<TenantConfig>,
    errors: &mut Vec<RouteFileError>,
) -> (KeyIndex, Vec<Arc<Tenant>>) {
    let mut keys = KeyIndex::new();
    let mut declared = Vec::new();
    let mut names = HashSet::new();
    for config in tenants {
        if !names.insert(config.name.clone()) {
            errors.push(RouteFileError::DuplicateTenant(config.name.clone()));
        }
        if let Some(weight) = config.weight
            && !(weight.is_finite() && weight > 0.0)
        {
            errors.push(RouteFileError::InvalidWeight {
                tenant: config.name.clone(),
                weight,
            });
        }
        let tenant = Arc::new(Tenant {
            name: config.name.clone(),
            priority: config.priority,
            weight: config.weight,
        });
        for key in &config.keys {
            if key.is_empty() {
                errors.push(RouteFileError::EmptyKey(config.name.clone()));
            } else if !keys.add(key, &tenant) {
                errors.push(RouteFileError::DuplicateKey(config.name.clone()));
            }
        }
        declared.push(tenant);
    }
    (keys, declared)
}

/// The host in lower case, without port and trailing dot.
fn normalized_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    name.trim_end_matches('.').to_ascii_lowercase()
}
