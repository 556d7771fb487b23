//! The policies that are compared.

use dalestand_planner::Composition;

/// How a policy chooses engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Routing {
    /// One engine after the other.
    RoundRobin,
    /// The engine that holds the least, by the last digest.
    LeastLoaded,
    /// The node's router.
    Dalestand,
}

/// How a policy gives roles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Roles {
    /// Every engine does both.
    Mixed,
    /// A fixed split of every pool that may be split.
    Fixed(Composition),
    /// Half and half, and a change when one side is busy and the other is not.
    Threshold,
    /// The planner of a group's lease holder.
    Dalestand,
}

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Policy {
    pub(crate) name: &'static str,
    pub(crate) routing: Routing,
    pub(crate) roles: Roles,
}

impl Policy {
    pub(crate) const ROUND_ROBIN: Self = Self {
        name: "round-robin",
        routing: Routing::RoundRobin,
        roles: Roles::Mixed,
    };

    pub(crate) const LEAST_LOADED: Self = Self {
        name: "least-loaded",
        routing: Routing::LeastLoaded,
        roles: Roles::Mixed,
    };

    pub(crate) const THRESHOLD: Self = Self {
        name: "threshold",
        routing: Routing::Dalestand,
        roles: Roles::Threshold,
    };

    pub(crate) const DALESTAND: Self = Self {
        name: "dalestand",
        routing: Routing::Dalestand,
        roles: Roles::Dalestand,
    };

    /// A fixed split, with the node's router.
    pub(crate) const fn fixed(split: Composition) -> Self {
        Self {
            name: "static",
            routing: Routing::Dalestand,
            roles: Roles::Fixed(split),
        }
    }
}
