//! When connections are opened to an engine that resets some.

use std::time::Duration;

use dalestand_clock::BootInstant;
use proptest::prelude::*;

use super::{CONTENDED_FOR, MAX_PAUSE, MIN_PAUSE, Rejections};

/// A time within a test.
fn at(start: BootInstant, ms: u64) -> BootInstant {
    start + Duration::from_millis(ms)
}

proptest! {
    /// Guards against storms of connections to an engine that resets all, and against nodes that never come back to it.
    #[test]
    fn a_full_engine_gets_single_connections_and_is_found_free_soon(
        steps in proptest::collection::vec(1_u64..40, 1..400),
        answer_after_ms in 0_u64..60,
    ) {
        let start = BootInstant::now();
        let mut rejections = Rejections::default();
        rejections.record_rejected(start);
        let (mut now_ms, mut last_open_ms) = (0, 0);
        let mut unanswered = Vec::new();
        for step in steps {
            now_ms += step;
            unanswered.retain(|opened_ms| {
                let is_answered = opened_ms + answer_after_ms <= now_ms;
                if is_answered {
                    rejections.record_rejected(at(start, now_ms));
                }
                !is_answered
            });
            let since_open = Duration::from_millis(now_ms - last_open_ms);
            let opens = rejections.begin_open(at(start, now_ms));
            if opens {
                prop_assert!(since_open >= MIN_PAUSE);
                last_open_ms = now_ms;
                unanswered.push(now_ms);
            } else {
                // A rejection begins a pause when it arrives, at most one step late.
                let longest = MAX_PAUSE + Duration::from_millis(answer_after_ms + 40);
                prop_assert!(since_open < longest);
            }
            prop_assert!(rejections.is_contended(at(start, now_ms)));
        }
        rejections.record_accepted();
        for _ in 0..3 {
            prop_assert!(rejections.begin_open(at(start, now_ms)));
        }
        prop_assert!(!rejections.is_contended(at(start, now_ms) + CONTENDED_FOR));
    }
}
