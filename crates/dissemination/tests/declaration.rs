//! Declarations arrive complete despite packet loss, and an older one never replaces a newer one.

use std::time::Duration;

use dalestand_dissemination::{
    DeclarationPart, DeclarationRequest, DeclarationSync, NodeNumber, declaration_parts,
};
use dalestand_types::MonotonicTime;
use proptest::prelude::*;
use rstest::rstest;

const NODE: NodeNumber = NodeNumber(7);

/// Payload that fits one packet.
const PACKET_BYTES: usize = 1_400;

fn request_all(revision: u64) -> DeclarationRequest {
    DeclarationRequest {
        node: NODE,
        revision,
        missing: Vec::new(),
    }
}

proptest! {
    /// Repeated requests yield the text although messages are lost and reordered.
    #[test]
    fn the_text_arrives_whole_despite_loss(
        text in "[a-zäöü{}\" ]{1,6000}",
        arrives in proptest::collection::vec(any::<bool>(), 60),
    ) {
        let mut sync = DeclarationSync::default();
        let mut arrives = arrives.into_iter();
        let mut now = MonotonicTime::ZERO;
        let mut taken = None;
        for _ in 0..100 {
            now = now + Duration::from_secs(1);
            let Some(request) = sync.next_request(now, NODE, 3, 9) else { continue };
            for part in declaration_parts(9, &text, &request).into_iter().rev() {
                if arrives.next().unwrap_or(true) {
                    taken = taken.or(sync.add_part(part));
                }
            }
            if taken.is_some() {
                break;
            }
        }
        prop_assert_eq!(taken, Some(text));
    }

    #[test]
    fn parts_fit_packets(text in "[ -~äöü€]{0,9000}") {
        for part in declaration_parts(1, &text, &request_all(1)) {
            prop_assert!(part.text.len() <= PACKET_BYTES);
        }
    }
}

#[rstest]
fn a_declaration_that_is_not_newer_is_not_requested() {
    let mut sync = DeclarationSync::default();
    assert_eq!(sync.next_request(MonotonicTime::ZERO, NODE, 9, 9), None);
    assert_eq!(sync.next_request(MonotonicTime::ZERO, NODE, 9, 4), None);
}

/// A relay names its revision ten times a second; requests must not follow at that rate.
#[rstest]
fn the_text_is_not_requested_for_each_message() {
    let mut sync = DeclarationSync::default();
    let asked = (0..1_000).filter(|millisecond| {
        let now = MonotonicTime::from_millis(*millisecond);
        sync.next_request(now, NODE, 1, 2).is_some()
    });
    // After 0.4 s, 0.5 s and 0.7 s.
    assert_eq!(asked.count(), 3);
}

/// A newer declaration restarts the transfer; late parts of the previous one must not mix with it.
#[rstest]
fn parts_of_two_declarations_do_not_mix() {
    let (old, new) = ("a".repeat(2_500), "b".repeat(2_500));
    let mut sync = DeclarationSync::default();
    let mut now = MonotonicTime::ZERO;
    let mut asks = |sync: &mut DeclarationSync, revision| {
        assert_eq!(
            sync.next_request(now, NODE, 1, revision),
            None,
            "the node's own watch may deliver it first"
        );
        now = now + Duration::from_secs(1);
        sync.next_request(now, NODE, 1, revision).is_some()
    };
    assert!(asks(&mut sync, 2));
    let mut old_parts = declaration_parts(2, &old, &request_all(2));
    assert_eq!(sync.add_part(old_parts.remove(0)), None);
    assert!(asks(&mut sync, 3));
    let new_parts = declaration_parts(3, &new, &request_all(3));
    let mut taken = None;
    for (late, part) in old_parts.into_iter().zip(&new_parts) {
        assert_eq!(sync.add_part(late), None);
        taken = taken.or(sync.add_part(part.clone()));
    }
    for part in new_parts {
        taken = taken.or(sync.add_part(part));
    }
    assert_eq!(taken, Some(new));
}

#[rstest]
#[case::index_out_of_range(5, 5)]
#[case::no_parts(0, 0)]
#[case::too_many(1, 60_000)]
fn an_invalid_part_changes_nothing(#[case] part: u16, #[case] parts: u16) {
    let mut sync = DeclarationSync::default();
    let forged = DeclarationPart {
        revision: 5,
        part,
        parts,
        text: "x".to_owned(),
    };
    assert_eq!(sync.add_part(forged), None);
}
