//! The fleet lease, which lets one node act for the whole fleet, and control of engine roles.

pub(crate) mod demand;
pub(crate) mod fleet_lease;
pub(crate) mod lease_keeper;
pub(crate) mod role_control;
