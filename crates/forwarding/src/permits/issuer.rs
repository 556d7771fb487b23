//! Which node issues an engine's permits.

use std::time::Duration;

use dalestand_dissemination::Relay;
use dalestand_routing::staged::EngineKey;
use dalestand_types::MonotonicTime;

use crate::context::Context;

/// A node that has just started issues nothing for this time: it hears of the other nodes meanwhile, and one that
/// knew only itself would issue what another issues already. Entries are read within a second.
const LEARNING: Duration = Duration::from_secs(2);

/// Who issues an engine's permits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum IssuerPlace {
    /// This node.
    Here,
    /// Another one.
    At(Relay),
    /// It is not known.
    Unknown,
}

/// Who issues an engine's permits, as far as this node knows.
///
/// A relay judges the others by what it hears of them, and never by questions alone that were lost on their way:
/// it would issue itself while another does.
pub(super) fn issuer_of(context: &Context, engine: EngineKey) -> IssuerPlace {
    let now = context.now();
    let dissemination = &context.dissemination;
    if now.since(MonotonicTime::ZERO) < LEARNING {
        return IssuerPlace::Unknown;
    }
    let is_relay = dissemination.role(now).is_relay;
    for relay in dissemination.permit_issuers(engine, is_relay) {
        if relay.number == dissemination.node {
            return if dissemination.has_listed_nodes() {
                IssuerPlace::Here
            } else {
                IssuerPlace::Unknown
            };
        }
        let is_there = if is_relay {
            dissemination.was_heard_recently(relay.address, now)
        } else {
            !context.permits.is_passed_over(relay.number, now)
        };
        if is_there {
            return IssuerPlace::At(relay);
        }
    }
    IssuerPlace::Unknown
}
