//! State shared by the requests of one arbiter.

use std::cell::RefCell;
use std::sync::Arc;

use rand::rngs::StdRng;

use crate::engines::EngineClients;
use crate::identity::TenantIndex;
use crate::shared::SharedState;

/// State of one arbiter (a thread with its own event loop) that serves callers.
pub(crate) struct Context {
    /// State shared by the arbiters of the node.
    pub(crate) shared: Arc<SharedState>,
    /// Random numbers for identifiers and for sampling of engines.
    pub(crate) random: RefCell<StdRng>,
    pub(crate) engines: EngineClients,
    /// Finds tenants by the API key.
    pub(crate) tenants: TenantIndex,
    /// Maximum number of requests in flight on the node.
    pub(crate) max_requests: usize,
}
