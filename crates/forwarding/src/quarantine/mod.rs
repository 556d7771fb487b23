//! Requests that end the engines that run them: what this node saw of them, what others tell, and
//! which are stopped.
//!
//! What a node learns must outlive the caller's attempt and reach all nodes, as the request comes
//! again anywhere. Evidence goes to all with the news between nodes; what is stopped is repeated by
//! relays, for nodes that were cut off, and is kept in the key-value service, for fleets that were
//! lost as a whole.

pub(crate) mod engine_end;
mod engine_runs;
pub(crate) mod evidence;
pub(crate) mod fleet_key;
pub(crate) mod operator;
pub(crate) mod run_watch;
pub(crate) mod state;
pub(crate) mod stopped_entries;
pub(crate) mod trial;
