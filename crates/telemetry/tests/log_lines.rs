//! The log line queue keeps high-priority lines, and logging never waits for the output.

use std::io::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dalestand_telemetry::{
    Event, LinePriority, LineQueue, LineQueueLimits, LogLine, json_logger, log_event,
};
use proptest::prelude::*;

const LIMITS: LineQueueLimits = LineQueueLimits {
    lines: 8,
    bytes: 200,
};

fn line(priority: LinePriority, length: usize) -> LogLine {
    let message = match priority {
        LinePriority::Low => "low",
        LinePriority::High => "high",
    };
    LogLine {
        priority,
        message: message.to_owned(),
        bytes: vec![b'x'; length],
    }
}

#[test]
fn high_priority_lines_evict_low_priority_lines_and_are_written_first() {
    let mut queue = LineQueue::new(LIMITS);
    for _ in 0..10 {
        queue.push(line(LinePriority::Low, 10));
    }
    for _ in 0..3 {
        queue.push(line(LinePriority::High, 10));
    }
    assert_eq!(queue.len(), 8);
    assert_eq!(queue.take_dropped().get("low"), Some(&5));
    let order: Vec<LinePriority> = std::iter::from_fn(|| queue.pop())
        .map(|line| line.priority)
        .collect();
    assert_eq!(order[..3], [LinePriority::High; 3]);
    assert_eq!(order[3..], [LinePriority::Low; 5]);
}

proptest! {
    /// A high-priority line is dropped only while no low-priority line is queued, the limits hold, and every
    /// line is either written or counted as dropped.
    #[test]
    fn no_high_priority_line_is_dropped_while_a_low_priority_line_is_queued(
        steps in proptest::collection::vec((0_u8..3, 1_usize..80), 1..300),
    ) {
        let mut queue = LineQueue::new(LIMITS);
        let (mut pushed, mut written, mut dropped) = (0_u64, 0_u64, 0_u64);
        let mut low_queued = 0_i64;
        for (step, length) in steps {
            if step == 0 {
                if let Some(line) = queue.pop() {
                    written += 1;
                    low_queued -= i64::from(line.priority == LinePriority::Low);
                }
                continue;
            }
            let priority = if step == 1 { LinePriority::Low } else { LinePriority::High };
            pushed += 1;
            queue.push(line(priority, length));
            let lost = queue.take_dropped();
            let low_lost = lost.get("low").copied().unwrap_or_default();
            low_queued += i64::from(priority == LinePriority::Low) - low_lost as i64;
            dropped += lost.values().sum::<u64>();
            if lost.contains_key("high") {
                prop_assert_eq!(low_queued, 0);
            }
            prop_assert!(queue.len() <= LIMITS.lines);
        }
        prop_assert_eq!(pushed, written + dropped + queue.len() as u64);
    }
}

/// An output that blocks while `blocked` is locked.
#[derive(Clone, Default)]
struct BlockedOutput {
    blocked: Arc<Mutex<()>>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        let _guard = self.blocked.lock().expect("no panic");
        self.written.lock().expect("no panic").extend(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn logging_does_not_wait_for_the_output_and_reports_dropped_lines() {
    let output = BlockedOutput::default();
    let logger = json_logger(output.clone());
    let guard = output.blocked.lock().expect("no panic");
    let started = Instant::now();
    for request in 0..20_000 {
        log_event!(logger, Event::RequestComplete, "request" => request);
    }
    for request in 0..100 {
        log_event!(logger, Event::RequestFailed, "request" => request);
    }
    assert!(
        started.elapsed() < Duration::from_secs(20),
        "logging waited for the blocked output"
    );
    std::thread::sleep(Duration::from_millis(1_100));
    drop(guard);
    drop(logger);
    let written = output.written.lock().expect("no panic").clone();
    let written = String::from_utf8(written).expect("text");
    let failed = written.matches("\"event\":1502").count();
    assert_eq!(failed, 100, "no line of a failure is dropped for a success");
    let dropped = written
        .lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .find(|line| line["event"] == 1007)
        .expect("a line that reports dropped lines");
    assert!(dropped["dropped"]["request complete"].as_u64() > Some(10_000));
    assert!(written.contains("since_start_ms"));
}
