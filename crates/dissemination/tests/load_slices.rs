//! Loads of any number of engines are split into messages that fit a datagram, without loss.

use std::collections::HashSet;

use dalestand_dissemination::{EngineCode, EngineLoad, LoadSlice};
use proptest::prelude::*;
use rstest::rstest;

fn load(code: u32) -> EngineLoad {
    EngineLoad {
        engine: EngineCode(code),
        requests: 12,
        starting: 3,
        unprefilled_tokens: 17_000,
    }
}

/// Evenly distributed codes, like hashes.
fn loads(count: u32) -> Vec<EngineLoad> {
    let codes: HashSet<u32> = (0..count)
        .map(|number| number.wrapping_mul(0x9e37_79b9))
        .collect();
    let mut loads: Vec<EngineLoad> = codes.into_iter().map(load).collect();
    loads.sort_by_key(|load| load.engine);
    loads
}

/// All engines of a fleet are busy: a message with all loads would exceed the largest datagram.
#[rstest]
#[case::idle_fleet(0, 1)]
#[case::one_message(400, 1)]
#[case::large_fleet(9_560, 32)]
#[case::very_large_fleet(19_120, 64)]
fn slices_fit_a_message(#[case] count: u32, #[case] slices: usize) {
    let split = LoadSlice::split(loads(count));
    assert_eq!(split.len(), slices);
    let all: usize = split.iter().map(|slice| slice.loads.len()).sum();
    assert_eq!(all, count as usize);
    // 13 bytes per load; a table contains about 4 KB besides its loads.
    for slice in split {
        assert!(slice.is_valid());
        assert!(slice.loads.len() <= 600, "{}", slice.loads.len());
    }
}

proptest! {
    /// While the number of slices stays the same, an engine's slice does not depend on other engines.
    #[test]
    fn an_engine_keeps_its_slice(count in 1_u32..1_500, code in any::<u32>()) {
        let mut first = loads(count);
        first.push(load(code));
        let slice_of = |split: &[LoadSlice]| {
            let holds = |slice: &&LoadSlice| slice.loads.iter().any(|one| one.engine.0 == code);
            split.iter().find(holds).map(|slice| (slice.slice, slice.slices))
        };
        let split = LoadSlice::split(first);
        let alone = LoadSlice::split(vec![load(code)]);
        prop_assert_eq!(slice_of(&alone), Some((0, 1)));
        let (slice, slices) = slice_of(&split).expect("a slice");
        prop_assert_eq!(u64::from(slice), (u64::from(code) * u64::from(slices)) >> 32);
    }
}

#[rstest]
#[case::index_out_of_range(1, 1)]
#[case::no_slices(0, 0)]
#[case::too_many(1, 65_535)]
fn an_impossible_slice_is_invalid(#[case] slice: u16, #[case] slices: u16) {
    let forged = LoadSlice {
        slice,
        slices,
        loads: Vec::new(),
    };
    assert!(!forged.is_valid());
}
