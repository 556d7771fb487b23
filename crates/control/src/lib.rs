//! Controller of an engine group: holds the group's lease and orders roles and models.
//!
//! The controller does no I/O. Inputs are method calls with a time, and outputs are [`Action`]s for a
//! driver. The driver passes the result of each action back with its [`EngineCall`], so that late or
//! duplicate answers can be recognized.

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
