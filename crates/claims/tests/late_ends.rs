//! The end of a request that does not hold its key must not change the claim on that key.

use dalestand_claims::{
    Action, Claim, ClaimHash, ClaimState, Entry, LoadedRecord, Reply, Shard, Ticket,
};
use dalestand_types::{MonotonicTime, RequestId, Revision};

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);

/// Time after [`NOW`] at which the write rate limit allows another write.
const LATER: MonotonicTime = MonotonicTime::from_millis(13_000);

fn claim(request: u128) -> Claim {
    Claim {
        key: ClaimHash::of(None, "key"),
        request: RequestId(request),
        fingerprint: 1,
    }
}

fn next_write(shard: &mut Shard) -> Vec<Entry> {
    match shard.tick(NOW) {
        Some(Action::Write { entries, .. }) => entries,
        other => panic!("a write is due: {other:?}"),
    }
}

#[test]
fn a_late_end_of_a_request_that_lost_its_key_does_not_take_it_from_the_next() {
    let mut shard = Shard::default();
    let freed = claim(3);
    shard.record_end(NOW, freed, ClaimState::Complete);
    shard.claim(NOW, Ticket(4), claim(4));
    assert_eq!(shard.tick(NOW), Some(Action::Load));
    shard.load_succeeded(NOW, LoadedRecord::default());
    let head = next_write(&mut shard);
    shard.write_succeeded(NOW, Revision(1));
    assert_eq!(shard.take_replies(), vec![(Ticket(4), Reply::Granted)]);

    let mut other = Shard::default();
    other.claim(NOW, Ticket(5), claim(5));
    assert_eq!(other.tick(NOW), Some(Action::Load));
    let revision = Some(Revision(1));
    let sealed = Vec::new();
    other.load_succeeded(
        NOW,
        LoadedRecord {
            revision,
            head,
            sealed,
        },
    );
    let held = Reply::Held {
        request: RequestId(4),
        state: ClaimState::Running,
    };
    assert_eq!(other.take_replies(), vec![(Ticket(5), held)]);
}

#[test]
fn an_end_that_frees_the_key_overrides_another_end_of_its_request() {
    let mut shard = Shard::default();
    let first = claim(3);
    shard.claim(NOW, Ticket(3), first);
    assert_eq!(shard.tick(NOW), Some(Action::Load));
    shard.load_succeeded(NOW, LoadedRecord::default());
    next_write(&mut shard);
    shard.write_succeeded(NOW, Revision(1));
    assert_eq!(shard.take_replies(), vec![(Ticket(3), Reply::Granted)]);
    shard.record_end(NOW, first, ClaimState::NotRun);
    shard.record_end(NOW, first, ClaimState::Complete);
    shard.claim(NOW, Ticket(4), claim(4));
    assert!(matches!(shard.tick(LATER), Some(Action::Write { .. })));
    shard.write_succeeded(LATER, Revision(2));
    assert_eq!(shard.take_replies(), vec![(Ticket(4), Reply::Granted)]);
    shard.claim(LATER, Ticket(5), claim(5));
    let held = Reply::Held {
        request: RequestId(4),
        state: ClaimState::Running,
    };
    assert_eq!(shard.take_replies(), vec![(Ticket(5), held)]);
}

#[test]
fn an_end_is_not_dropped_because_of_an_outdated_copy() {
    let mut outdated = Shard::default();
    outdated.claim(NOW, Ticket(1), claim(1));
    assert_eq!(outdated.tick(NOW), Some(Action::Load));
    outdated.load_succeeded(NOW, LoadedRecord::default());
    outdated.tick(NOW);
    outdated.write_succeeded(NOW, Revision(1));
    // Another leader frees the key and grants it to request 4, whose end is reported to this one.
    outdated.record_end(LATER, claim(4), ClaimState::Complete);
    assert_eq!(outdated.tick(LATER), Some(Action::Load));
    let entry = |request, state| Entry {
        key: claim(request).key,
        request: RequestId(request),
        fingerprint: 1,
        state,
    };
    let head = vec![entry(1, ClaimState::NotRun), entry(4, ClaimState::Running)];
    let revision = Some(Revision(2));
    let sealed = Vec::new();
    outdated.load_succeeded(
        LATER,
        LoadedRecord {
            revision,
            head,
            sealed,
        },
    );
    let entries = match outdated.tick(LATER) {
        Some(Action::Write { entries, .. }) => entries,
        other => panic!("a write is due: {other:?}"),
    };
    assert!(entries.contains(&entry(4, ClaimState::Complete)));
}
