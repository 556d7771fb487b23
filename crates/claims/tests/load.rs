//! Load that one shard puts on the key-value service, in virtual time.

use std::time::Duration;

use dalestand_claims::{
    Action, Claim, ClaimHash, ClaimState, LoadedRecord, Reply, SHARD_COUNT, Shard, Ticket,
    entries_to_text,
};
use dalestand_types::{MonotonicTime, RequestId, Revision};

/// Claims per second of the largest supported fleet.
const FLEET_CLAIMS_PER_SECOND: u64 = 1_100;

/// Limit on the calls per second to the key-value service for the claims of the whole fleet. The
/// total limit is 50; the rest is for group leases.
const FLEET_CALLS_PER_SECOND: u64 = 20;

/// Length of the run; long enough for the initial burst of writes not to matter.
const RUN: Duration = Duration::from_secs(300);

/// Latency of a call to the key-value service.
const CALL_LATENCY: Duration = Duration::from_millis(5);

/// Step of virtual time.
const STEP: Duration = Duration::from_millis(1);

/// Longest wait of a claim: one write interval and the calls.
const MAX_WAIT: Duration = Duration::from_millis(1_400);

#[derive(Default)]
struct Cost {
    calls: u64,
    bytes: u64,
    waits: Vec<Duration>,
}

fn run_shard() -> Cost {
    let per_second = FLEET_CLAIMS_PER_SECOND / u64::from(SHARD_COUNT);
    let mut cost = Cost::default();
    let mut shard = Shard::default();
    let mut now = MonotonicTime::ZERO;
    let mut claimed: Vec<(Claim, MonotonicTime)> = Vec::new();
    let mut in_progress: Option<(MonotonicTime, Action)> = None;
    let mut revision = 0;
    while now < MonotonicTime::ZERO + RUN {
        now = now + STEP;
        while (claimed.len() as u64) < now.0 * per_second / 1_000_000 {
            let number = claimed.len() as u64;
            let claim = Claim {
                key: ClaimHash::of(None, &number.to_string()),
                request: RequestId(u128::from(number)),
                fingerprint: 1,
            };
            claimed.push((claim, now));
            shard.claim(now, Ticket(number), claim);
        }
        if let Some((_, action)) = in_progress.take_if(|(done_at, _)| *done_at <= now) {
            match action {
                Action::Load => shard.load_succeeded(now, LoadedRecord::default()),
                Action::Seal { .. } => shard.segment_sealed(),
                Action::Write { .. } => {
                    revision += 1;
                    shard.write_succeeded(now, Revision(revision));
                }
            }
        }
        for (ticket, reply) in shard.take_replies() {
            assert_eq!(reply, Reply::Granted);
            let (claim, at) = claimed[ticket.0 as usize];
            cost.waits.push(now.since(at));
            shard.record_end(now, claim, ClaimState::Complete);
        }
        if in_progress.is_none()
            && let Some(action) = shard.tick(now)
        {
            cost.calls += 1;
            if let Action::Write { entries, .. } | Action::Seal { entries, .. } = &action {
                cost.bytes += entries_to_text(entries).len() as u64;
            }
            in_progress = Some((now + CALL_LATENCY, action));
        }
    }
    cost
}

#[test]
fn claims_cost_a_bounded_number_of_calls_and_wait_a_bounded_time() {
    let mut cost = run_shard();
    cost.waits.sort();
    let count = cost.waits.len();
    let total: Duration = cost.waits.iter().sum();
    let seconds = RUN.as_secs();
    println!(
        "a shard: {:.2} calls/s, {} bytes/s; wait mean {:?}, p99 {:?}, longest {:?}",
        cost.calls as f64 / seconds as f64,
        cost.bytes / seconds,
        total / count as u32,
        cost.waits[count * 99 / 100],
        cost.waits[count - 1],
    );
    assert!(cost.calls * u64::from(SHARD_COUNT) <= FLEET_CALLS_PER_SECOND * seconds);
    assert!(cost.waits[count - 1] <= MAX_WAIT);
}

#[test]
fn a_lone_claim_waits_for_one_write_only() {
    let mut shard = Shard::default();
    let now = MonotonicTime::from_millis(10);
    let claim = Claim {
        key: ClaimHash::of(None, "key"),
        request: RequestId(1),
        fingerprint: 1,
    };
    shard.claim(now, Ticket(1), claim);
    assert_eq!(shard.tick(now), Some(Action::Load));
    shard.load_succeeded(now, LoadedRecord::default());
    assert!(matches!(shard.tick(now), Some(Action::Write { .. })));
    assert!(
        shard.take_replies().is_empty(),
        "not granted before it is written"
    );
    shard.write_succeeded(now, Revision(1));
    assert_eq!(shard.take_replies(), vec![(Ticket(1), Reply::Granted)]);
}
