//! Which calls an engine is closed to at the moment of sending.

use std::sync::Arc;

use dalestand_routing::staged::ClosedReason;
use dalestand_types::MonotonicTime;
use rstest::rstest;

use super::CallContent;

const BACKOFF: ClosedReason = ClosedReason::Backoff(MonotonicTime(5));

/// Guards against requests to an engine whose entry went while a connection to it was being opened.
#[rstest]
#[case::open(None, true, None, None)]
#[case::its_entry_is_gone(None, false, Some(ClosedReason::Removed), None)]
#[case::draining(
    Some(ClosedReason::Draining),
    false,
    Some(ClosedReason::Draining),
    None
)]
#[case::backing_off(Some(BACKOFF), true, Some(BACKOFF), Some(BACKOFF))]
#[case::backing_off_and_gone(Some(BACKOFF), false, Some(BACKOFF), Some(BACKOFF))]
fn an_engine_is_closed_to_requests_unless_it_accepts_work(
    #[case] signalled: Option<ClosedReason>,
    #[case] is_accepting: bool,
    #[case] to_requests: Option<ClosedReason>,
    #[case] to_internal_calls: Option<ClosedReason>,
) {
    let request = CallContent::Request(Some(Arc::from("id")));
    assert_eq!(request.closed(signalled, is_accepting), to_requests);
    assert_eq!(
        CallContent::Internal.closed(signalled, is_accepting),
        to_internal_calls
    );
}
