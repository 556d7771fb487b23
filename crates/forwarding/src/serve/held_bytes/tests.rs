//! Held bytes stay within the limit, and reservations are released.

use bytes::Bytes;
use futures_util::StreamExt as _;

use super::{CHUNK_BYTES, HeldBytes, in_chunks};

const MAX_HELD_BYTES: usize = 16 << 20;

const LONG: usize = 1_000_000;

#[test]
fn reservations_never_exceed_the_limit() {
    let held = HeldBytes::new(MAX_HELD_BYTES);
    let reservations: Vec<_> = (0..500).filter_map(|_| held.reserve(LONG)).collect();
    assert_eq!(reservations.len(), MAX_HELD_BYTES / LONG);
    assert!(held.get() <= MAX_HELD_BYTES);
    assert!(held.reserve(MAX_HELD_BYTES - held.get()).is_some());
    drop(reservations);
    assert_eq!(held.get(), 0);
}

#[test]
fn a_reservation_is_resized_to_the_length_of_the_answer() {
    let held = HeldBytes::new(MAX_HELD_BYTES);
    let mut reservation = held.reserve(64).expect("reservation");
    reservation.resize(LONG);
    assert_eq!(held.get(), LONG);
    reservation.resize(10);
    assert_eq!(held.get(), 10);
}

/// Guards against answers of unknown length that hold more than was reserved for them.
#[test]
fn a_reservation_is_not_extended_beyond_the_limit() {
    let held = HeldBytes::new(MAX_HELD_BYTES);
    let mut first = held.reserve(64).expect("reservation");
    let mut second = held.reserve(64).expect("reservation");
    assert!(first.extend(MAX_HELD_BYTES - 64));
    assert!(!second.extend(65));
    assert_eq!(held.get(), MAX_HELD_BYTES);
    drop(first);
    assert!(second.extend(65));
    assert_eq!(held.get(), 65);
}

#[actix_rt::test]
async fn an_answer_is_streamed_in_chunks_and_then_released() {
    let held = HeldBytes::new(MAX_HELD_BYTES);
    let body = Bytes::from(vec![b'x'; LONG]);
    let reservation = held.reserve(LONG).expect("reservation");
    let mut chunks = Box::pin(in_chunks(body, reservation));
    let mut handed = 0;
    while let Some(chunk) = chunks.next().await {
        let chunk = chunk.expect("a chunk");
        assert!(chunk.len() <= CHUNK_BYTES);
        assert_eq!(held.get(), LONG, "held until the last is handed on");
        handed += chunk.len();
    }
    assert_eq!((handed, held.get()), (LONG, 0));
}

#[actix_rt::test]
async fn bytes_are_released_when_the_caller_disconnects() {
    let held = HeldBytes::new(MAX_HELD_BYTES);
    let reservation = held.reserve(LONG).expect("reservation");
    let mut chunks = Box::pin(in_chunks(Bytes::from(vec![b'x'; LONG]), reservation));
    chunks.next().await.expect("a chunk").expect("bytes");
    drop(chunks);
    assert_eq!(held.get(), 0);
}
