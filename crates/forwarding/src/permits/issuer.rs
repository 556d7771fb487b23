//! Determines which node issues an engine's permits.

use std::time::Duration;

use dalestand_dissemination::Relay;
use dalestand_routing::staged::EngineKey;
use dalestand_types::MonotonicTime;

use crate::context::Context;

/// Time after start during which a node neither issues nor requests permits. A node that does not
/// yet know the others would issue permits that another node issues already; it reads their entries
/// within a second.
const STARTUP_DELAY: Duration = Duration::from_secs(2);

/// The node that issues an engine's permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum IssuerLocation {
    /// This node.
    Local,
    /// Another node.
    Remote(Relay),
    /// Not known.
    Unknown,
}

/// Finds the node that issues an engine's permits.
///
/// A relay skips other relays only if it no longer hears from them, not because permit requests
/// went unanswered: after mere packet loss, it would start to issue permits while another relay
/// still does.
pub(super) fn issuer_of(context: &Context, engine: EngineKey) -> IssuerLocation {
    let now = context.now();
    let dissemination = &context.dissemination;
    if now.since(MonotonicTime::ZERO) < STARTUP_DELAY {
        return IssuerLocation::Unknown;
    }
    let is_relay = dissemination.role(now).is_relay;
    for relay in dissemination.permit_issuers(engine, is_relay) {
        if relay.number == dissemination.node {
            return if dissemination.has_listed_nodes() {
                IssuerLocation::Local
            } else {
                IssuerLocation::Unknown
            };
        }
        let is_reachable = if is_relay {
            dissemination.was_heard_recently(relay.address, now)
        } else {
            !context.permits.is_skipped(relay.number, now)
        };
        if is_reachable {
            return IssuerLocation::Remote(relay);
        }
    }
    IssuerLocation::Unknown
}
