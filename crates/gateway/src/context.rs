//! What the requests of one arbiter share.

use std::cell::RefCell;
use std::sync::Arc;

use rand::rngs::StdRng;

use crate::engines::EngineClients;
use crate::identity::TenantIndex;
use crate::shared::SharedState;

/// State of one arbiter that serves callers.
pub(crate) struct Context {
    /// State of the node.
    pub(crate) shared: Arc<SharedState>,
    /// Source of identifiers and of sampling.
    pub(crate) random: RefCell<StdRng>,
    /// Clients of engines.
    pub(crate) engines: EngineClients,
    /// Tenants by key.
    pub(crate) tenants: TenantIndex,
    /// Most requests in flight on the node.
    pub(crate) max_requests: usize,
}
