//! Permits for engines with a request rate limit that applies to all nodes together.
//!
//! For each engine, one relay issues the permits: the first in the engine's rendezvous order that
//! is reachable. A node that knows of the limit requests permits from that relay before it sends a
//! request ([`send_permission`], [`requester`]). Without an answer there is no permit, and the
//! request goes to another engine. Engines without a limit cause no traffic.

pub(crate) mod grants;
mod issuer;
pub(crate) mod requester;
pub(crate) mod send_permission;
pub(crate) mod state;
