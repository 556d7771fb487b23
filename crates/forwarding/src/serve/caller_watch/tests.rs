use std::time::Duration;

use dalestand_types::MonotonicTime;

use super::{DepartureLog, RequestPhase};
use crate::serve::line_limit::LOG_INTERVAL;

/// Guards against a log that grows with each stream that a caller cancels, and against rare departures lost among those.
#[test]
fn departures_of_each_phase_are_logged_once_an_interval_with_the_number_of_the_others() {
    let log = DepartureLog::default();
    let start = MonotonicTime(0);
    assert_eq!(log.admit(start, RequestPhase::Answering), Some(0));
    for _ in 0..100 {
        assert_eq!(log.admit(start, RequestPhase::Answering), None);
    }
    assert_eq!(log.admit(start, RequestPhase::Waiting), Some(0));
    let next = start + LOG_INTERVAL;
    let just_before = start + (LOG_INTERVAL - Duration::from_millis(1));
    assert_eq!(log.admit(just_before, RequestPhase::Waiting), None);
    assert_eq!(log.admit(next, RequestPhase::Answering), Some(100));
    assert_eq!(log.admit(next, RequestPhase::Waiting), Some(1));
}
