//! Intervals between messages.

use std::time::Duration;

use crate::node::settings::ForwardingSettings;

/// Shortest interval between two reports of a member, and between two exchanges of a relay with
/// members. State takes a report, an exchange and a table to reach other members; with this interval
/// the work known to a member is 50 to 100 ms old on average.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(25);

/// Interval between a relay's exchanges per other relay. It limits a relay to 680 messages per second
/// whatever their number; the age of the work grows instead, to 50 ms at 36 relays.
const EXCHANGE_INTERVAL_PER_RELAY: Duration = Duration::from_micros(1_470);

/// Shortest interval between two exchanges of a relay with members.
pub(super) fn exchange_interval(other_relays: usize) -> Duration {
    let others = u32::try_from(other_relays).unwrap_or(u32::MAX);
    REPORT_INTERVAL.max(EXCHANGE_INTERVAL_PER_RELAY.saturating_mul(others))
}

/// Maximum share of the node's link for messages between nodes.
pub(super) const MAX_LINK_SHARE: f64 = 0.5;

/// Longest pause between two messages. Reports do not remain valid much longer.
pub(super) const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Pause after sending `sent_bytes`, so that messages use a bounded share of the node's link, which
/// also carries callers' requests.
pub(super) fn pause_after(settings: &ForwardingSettings, sent_bytes: usize) -> Duration {
    let carried = settings.link_time(sent_bytes);
    carried.mul_f64(1.0 / MAX_LINK_SHARE).min(MAX_PAUSE)
}
