//! What is held stays within the bound, and is given back.

use bytes::Bytes;
use futures_util::StreamExt as _;

use super::{HeldBytes, MOST_HELD, PIECE_BYTES, in_pieces};

const LONG: usize = 1_000_000;

#[test]
fn no_more_is_held_than_the_bound_whoever_does_not_read() {
    let held = HeldBytes::default();
    let rooms: Vec<_> = (0..500).filter_map(|_| held.reserve(LONG)).collect();
    assert_eq!(rooms.len(), MOST_HELD / LONG);
    assert!(held.get() <= MOST_HELD);
    assert!(held.reserve(MOST_HELD - held.get()).is_some());
    drop(rooms);
    assert_eq!(held.get(), 0);
}

#[test]
fn an_answer_counts_as_long_as_it_is() {
    let held = HeldBytes::default();
    let mut room = held.reserve(64).expect("room");
    room.resize(LONG);
    assert_eq!(held.get(), LONG);
    room.resize(10);
    assert_eq!(held.get(), 10);
}

#[actix_rt::test]
async fn an_answer_is_handed_on_piece_by_piece_and_then_no_longer_held() {
    let held = HeldBytes::default();
    let body = Bytes::from(vec![b'x'; LONG]);
    let room = held.reserve(LONG).expect("room");
    let mut pieces = Box::pin(in_pieces(body, room));
    let mut handed = 0;
    while let Some(piece) = pieces.next().await {
        let piece = piece.expect("a piece");
        assert!(piece.len() <= PIECE_BYTES);
        assert_eq!(held.get(), LONG, "held until the last is handed on");
        handed += piece.len();
    }
    assert_eq!((handed, held.get()), (LONG, 0));
}

#[actix_rt::test]
async fn what_a_caller_that_goes_leaves_is_not_held() {
    let held = HeldBytes::default();
    let room = held.reserve(LONG).expect("room");
    let mut pieces = Box::pin(in_pieces(Bytes::from(vec![b'x'; LONG]), room));
    pieces.next().await.expect("a piece").expect("bytes");
    drop(pieces);
    assert_eq!(held.get(), 0);
}
