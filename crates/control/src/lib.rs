//! Lease and order state of an engine group's controller.
//!
//! Pure: inputs are method calls with the time they happened at, outputs are [`Action`]s that a
//! driver carries out. The driver reports each action's result back.

mod authority;
mod controller;

pub use authority::{Authority, LeaseGrant};
pub use controller::{Action, DesiredEngine, DesiredModel, EngineStatus, GroupController};
