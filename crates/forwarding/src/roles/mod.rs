//! The lease under which one node acts for all, and the engines' roles.

pub(crate) mod authority;
pub(crate) mod demand;
pub(crate) mod hold;
pub(crate) mod role_control;
