//! Origins of streams: the pool and software version of the engine that sent a stream's first event.
//!
//! Every node records the origins of the streams that it begins. While streams of a pool may be of several versions,
//! it sends them to relays at once ([`share`]); a node to which a caller comes to resume a stream asks these
//! ([`lookup`]). No stream begins at an engine before its version is in the key-value service ([`stored_versions`], [`begin`]). A
//! stream of which no node has a record is resumed only if the service, asked for it then, names one version.

pub(crate) mod begin;
pub(crate) mod lookup;
pub(crate) mod resume;
pub(crate) mod share;
pub(crate) mod state;
pub(crate) mod stored_versions;
