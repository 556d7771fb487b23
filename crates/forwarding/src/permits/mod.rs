//! Leave to send requests to engines that take only so many a second of all nodes together.
//!
//! One relay issues an engine's permits: the first of all relays, in an order of the engine's own, that is heard.
//! A node that knows of the limit asks that relay before each request ([`passage`], [`requester`]); no answer means
//! no permit, and the request goes to another engine. Nothing is sent for engines without a limit.

pub(crate) mod grants;
mod issuer;
pub(crate) mod passage;
pub(crate) mod requester;
pub(crate) mod state;
