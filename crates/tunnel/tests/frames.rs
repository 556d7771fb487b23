//! The frames of bytes from engines.

use bytes::BytesMut;
use dalestand_tunnel::{FrameDecoder, MAX_FRAME_BYTES};
use proptest::prelude::*;

fn frame(bytes: &[u8]) -> Vec<u8> {
    let length = u32::try_from(bytes.len()).expect("a short frame");
    [&length.to_be_bytes(), bytes].concat()
}

proptest! {
    /// Guards against a carrying node's end that passes for the engine's: the end is known only by its own frame.
    #[test]
    fn frames_give_their_bytes_and_show_the_end_however_they_arrive(
        bodies in prop::collection::vec(prop::collection::vec(any::<u8>(), 1..200), 0..8),
        is_cut in any::<bool>(),
        read_length in 1..40_usize,
    ) {
        let mut sent: Vec<u8> = bodies.iter().flat_map(|body| frame(body)).collect();
        sent.extend(frame(&[]));
        if is_cut {
            sent.pop();
        }
        let mut decoder = FrameDecoder::default();
        let mut output = BytesMut::new();
        for read in sent.chunks(read_length) {
            decoder.buffer().extend_from_slice(read);
            decoder.decode(&mut output).expect("valid frames");
        }
        prop_assert_eq!(&output[..], &bodies.concat()[..]);
        prop_assert_eq!(decoder.has_ended(), !is_cut);
    }
}

#[test]
fn a_frame_beyond_the_limit_is_refused() {
    let mut decoder = FrameDecoder::default();
    let length = MAX_FRAME_BYTES as u32 + 1;
    decoder.buffer().extend_from_slice(&length.to_be_bytes());
    let refused = decoder.decode(&mut BytesMut::new());
    assert_eq!(refused.expect_err("too long").length, MAX_FRAME_BYTES + 1);
}
