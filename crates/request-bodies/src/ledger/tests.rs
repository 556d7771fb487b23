//! Who gets memory, and who gives way.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use rstest::rstest;

use super::{Decision, EntryId, Ledger, Owner, SMALL_BODY_BYTES, STALL_TIME};

const LIMIT: usize = 16 * SMALL_BODY_BYTES;

const FIRST: Owner = Owner::Tenant(1);
const SECOND: Owner = Owner::Tenant(2);

/// A ledger and its time.
struct Case {
    ledger: Ledger,
    now: Instant,
}

impl Case {
    fn new() -> Self {
        Self {
            ledger: Ledger::new(LIMIT),
            now: Instant::now(),
        }
    }

    fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    /// A body of which `bytes` have arrived at once.
    fn receive(&mut self, owner: Owner, bytes: usize) -> EntryId {
        let id = self.ledger.open(owner, self.now);
        assert_eq!(self.grow(id, bytes), Decision::Granted);
        id
    }

    fn grow(&mut self, id: EntryId, bytes: usize) -> Decision {
        self.ledger.record_progress(id, self.now);
        self.ledger.grow(id, bytes, self.now)
    }
}

/// All memory that large bodies may use, in the hands of bodies of one owner.
fn full(owner: Owner) -> (Case, Vec<EntryId>) {
    let mut case = Case::new();
    let ids = (0..6).map(|_| case.receive(owner, 2 * SMALL_BODY_BYTES));
    let ids = ids.collect();
    (case, ids)
}

#[rstest]
fn a_body_without_progress_gives_way() {
    let (mut case, ids) = full(FIRST);
    case.pass(STALL_TIME);
    for id in &ids[1..] {
        case.ledger.record_progress(*id, case.now);
    }
    let late = case.ledger.open(FIRST, case.now);
    assert_eq!(
        case.grow(late, 2 * SMALL_BODY_BYTES),
        Decision::Displaces(vec![ids[0]])
    );
    assert_eq!(case.grow(ids[0], 1), Decision::Refused);
    case.ledger.close(ids[0]);
    assert_eq!(case.grow(late, 2 * SMALL_BODY_BYTES), Decision::Granted);
}

#[rstest]
fn bodies_that_progress_or_are_complete_keep_their_memory() {
    let (mut case, ids) = full(FIRST);
    let late = case.ledger.open(FIRST, case.now);
    assert_eq!(case.grow(late, 2 * SMALL_BODY_BYTES), Decision::Refused);
    ids.iter().for_each(|id| case.ledger.complete(*id));
    case.pass(10 * STALL_TIME);
    assert_eq!(case.grow(late, 2 * SMALL_BODY_BYTES), Decision::Refused);
    assert_eq!(case.ledger.usage().refused, 2);
}

#[rstest]
fn an_owner_that_holds_more_gives_way_even_if_its_bodies_progress() {
    let (mut case, ids) = full(FIRST);
    let late = case.ledger.open(SECOND, case.now);
    let decision = case.grow(late, 2 * SMALL_BODY_BYTES);
    assert!(matches!(&decision, Decision::Displaces(chosen) if chosen.len() == 1));
    assert!(ids.iter().any(|id| case.ledger.is_displaced(*id)));
}

#[rstest]
fn an_owner_that_holds_less_keeps_its_memory() {
    let (mut case, ids) = full(FIRST);
    case.ledger.close(ids[0]);
    let of_second = case.receive(SECOND, 2 * SMALL_BODY_BYTES);
    case.pass(STALL_TIME);
    for id in &ids {
        case.ledger.record_progress(*id, case.now);
    }
    let late = case.ledger.open(FIRST, case.now);
    let decision = case.grow(late, 2 * SMALL_BODY_BYTES);
    assert_eq!(decision, Decision::Refused);
    assert!(!case.ledger.is_displaced(of_second));
}

#[rstest]
fn small_bodies_have_memory_that_large_ones_cannot_use() {
    let (mut case, _) = full(FIRST);
    let small = case.ledger.open(FIRST, case.now);
    assert_eq!(case.grow(small, SMALL_BODY_BYTES), Decision::Granted);
    assert_eq!(case.grow(small, 1), Decision::Refused, "it would be large");
}

#[rstest]
fn no_body_gives_way_where_that_is_not_enough() {
    let (mut case, ids) = full(FIRST);
    ids[1..].iter().for_each(|id| case.ledger.complete(*id));
    case.pass(STALL_TIME);
    let late = case
        .ledger
        .open(Owner::Address(IpAddr::V4(Ipv4Addr::LOCALHOST)), case.now);
    assert_eq!(case.grow(late, LIMIT), Decision::Refused);
    assert!(!case.ledger.is_displaced(ids[0]));
}
