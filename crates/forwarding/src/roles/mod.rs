//! The lease under which one node acts for all, and the engines' roles.

pub(crate) mod demand;
pub(crate) mod fleet_lease;
pub(crate) mod lease_keeper;
pub(crate) mod role_control;
