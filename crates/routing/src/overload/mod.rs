//! Overload control: shares a pool's capacity among nodes, priorities and tenants when demand exceeds it.
//!
//! Each node decides by itself from figures that nodes exchange, without a message for each request. A pool's capacity
//! is counted in places: requests that its engines hold at a time. A pool is "short" when nearly all of its places are
//! taken.
//!
//! - [`RoomAccount`] estimates how many places this node may use.
//! - [`AdmissionQueue`] orders the requests that wait for a place.
//! - [`RetryAfterSchedule`] spreads the retries of refused callers over time.
//! - [`PoolAdmission`] combines them to admit, queue or refuse requests of one pool.

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

/// Whether a request lies within its tenant's fair share.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ShareStanding {
    /// Within the share, or the tenant's demand does not exceed it.
    #[default]
    Within,
    /// Beyond the share, by which the tenant is limited.
    Over,
}
