//! Engines and nodes, as known from the key-value service and from relays.

pub(crate) mod declaration;
pub(crate) mod declaration_text;
pub(crate) mod engine_entries;
pub(crate) mod engine_runs;
pub(crate) mod engines;
pub(crate) mod entries_proof;
pub(crate) mod entry_text;
pub(crate) mod follow;
pub(crate) mod part_recovery;
pub(crate) mod placements;
pub(crate) mod registration;
pub(crate) mod restored_entries;
pub(crate) mod run_check;
pub(crate) mod signals;
