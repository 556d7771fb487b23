//! Quarantine of prompt parts that crash engines: evidence of this node and of others, and the store entries of held
//! parts.

pub(crate) mod evidence;
pub(crate) mod held_entries;
pub(crate) mod state;
