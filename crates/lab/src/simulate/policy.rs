//! The policies to compare.

use dalestand_planner::Composition;

/// How a policy chooses engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Routing {
    /// Engines in turn.
    RoundRobin,
    /// The engine with the fewest requests in its last digest.
    LeastLoaded,
    /// The product's router.
    Dalestand,
}

/// How a policy assigns roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RoleAssignment {
    /// All engines are mixed.
    Mixed,
    /// A fixed split of each pool with more than one role.
    Fixed(Composition),
    /// Half prefill and half decode; engines move when one half is busy and the other idle.
    Threshold,
    /// The product's role planner.
    Dalestand,
}

/// A policy for routing and roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Policy {
    pub(crate) name: &'static str,
    pub(crate) routing: Routing,
    pub(crate) roles: RoleAssignment,
}

impl Policy {
    pub(crate) const ROUND_ROBIN: Self = Self {
        name: "round-robin",
        routing: Routing::RoundRobin,
        roles: RoleAssignment::Mixed,
    };

    pub(crate) const LEAST_LOADED: Self = Self {
        name: "least-loaded",
        routing: Routing::LeastLoaded,
        roles: RoleAssignment::Mixed,
    };

    pub(crate) const THRESHOLD: Self = Self {
        name: "threshold",
        routing: Routing::Dalestand,
        roles: RoleAssignment::Threshold,
    };

    pub(crate) const DALESTAND: Self = Self {
        name: "dalestand",
        routing: Routing::Dalestand,
        roles: RoleAssignment::Dalestand,
    };

    /// A fixed split with the product's router.
    pub(crate) const fn fixed(split: Composition) -> Self {
        Self {
            name: "static",
            routing: Routing::Dalestand,
            roles: RoleAssignment::Fixed(split),
        }
    }
}
