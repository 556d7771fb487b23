//! Actions of a controller, carried out by its driver.

use dalestand_types::{EngineId, Epoch, Order};

/// Number of a call, unique within a controller, by which answers are matched to calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Identifies one call to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    /// Engine to call.
    pub engine: EngineId,
    /// Lease epoch under which the call is made.
    pub epoch: Epoch,
    /// Number of the call.
    pub id: CallId,
}

/// Action for the driver, which reports back the result of each except [`Action::ReleaseLease`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Acquire the group's lease from the key-value service.
    AcquireLease,
    /// Renew the lease.
    RenewLease { lease: u64 },
    /// Release a lease that is no longer used, so that others need not wait for its expiry.
    ReleaseLease { lease: u64 },
    /// Raise the fencing epoch of an engine and read its order state.
    RaiseEpoch { call: EngineCall },
    /// Read an engine's order state.
    ReadOrders { call: EngineCall },
    /// Send an order to an engine.
    SendOrder { call: EngineCall, order: Order },
}
