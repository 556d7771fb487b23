//! Lease and order state of an engine group's controller.
//!
//! Pure: inputs are method calls with the time they happened at, outputs are [`Action`]s that a
//! driver carries out. The driver reports each action's result back, with the [`EngineCall`] it
//! belongs to, so that a late or repeated answer is told from the awaited one.

mod action;
mod candidate;
mod controller;
mod desired;
mod drain;
mod engine;
mod lease;

pub use action::{Action, CallId, EngineCall};
pub use candidate::{Candidate, acquire_delay, successor};
pub use controller::{EngineObservation, EngineStatus, GroupController};
pub use desired::{DesiredEngine, DesiredModel};
pub use lease::LeaseGrant;
