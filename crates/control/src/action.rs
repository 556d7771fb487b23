//! What the driver is to do.

use dalestand_types::{EngineId, Epoch, Order};

/// Numbers the calls of one controller, so that an answer is matched to its call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One call to one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineCall {
    /// The engine.
    pub engine: EngineId,
    /// The epoch it is made under.
    pub epoch: Epoch,
    /// Its number.
    pub id: CallId,
}

/// What the driver is to do. Each action's result is reported back, but for
/// [`Action::ReleaseLease`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Ask the key-value service for the group's lease.
    AcquireLease,
    /// Renew the lease.
    RenewLease { lease: u64 },
    /// Give a lease up that is of no use any more, so that it need not run out.
    ReleaseLease { lease: u64 },
    /// Raise the epoch on an engine and read its order state back.
    RaiseEpoch { call: EngineCall },
    /// Read an engine's order state.
    ReadOrders { call: EngineCall },
    /// Give an engine an order.
    SendOrder { call: EngineCall, order: Order },
}
