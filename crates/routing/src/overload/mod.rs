//! Room of a pool that is short, kept by all nodes together without a call for each request.
//!
//! Answers a load above what a pool's engines serve, from callers of several priorities and tenants, at nodes that
//! share the engines. [`RoomAccount`] says what is free for this node, [`AdmissionQueue`] who gets it, [`RetryAfterSchedule`]
//! when those may come back who get none; [`PoolAdmission`] decides by them for one pool.

mod class_scheduler;
mod pool_admission;
mod queue;
mod retry_after;
mod room_account;
pub mod shares;
pub mod shortage;
pub mod tenant_meters;

pub use class_scheduler::{ClassScheduler, MIN_CLASS_SHARE, QueueEntry};
pub use pool_admission::{AdmissionDecision, AdmissionOutcome, AdmissionRequest, PoolAdmission};
pub use queue::{AdmissionQueue, QueuedAhead, WaiterId};
pub use retry_after::{RetryAfterBounds, RetryAfterSchedule, RetryAfterSlot};
pub use room_account::{CapacityFactor, PoolLoad, RoomAccount};

/// How a request stands against its tenant's fair share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShareStanding {
    /// Its tenant asks for no more than its share, or the request lies within it.
    #[default]
    Within,
    /// It lies beyond its tenant's share.
    Over,
}
