//! Frames in any order yield exactly the complete answer of their own attempt, or an error.

use dalestand_gateway::assembler::{AnswerPart, FrameAssembler, FrameOutcome};
use dalestand_gateway::stop_sequence::{Released, StopSequences};
use dalestand_types::{AttemptId, FinishReason, GenerationFrame, Usage};
use proptest::prelude::*;

const MINE: AttemptId = AttemptId(1);

fn token(attempt: AttemptId, position: u32) -> GenerationFrame {
    let text = format!("{}-{position} ", attempt.0);
    GenerationFrame::Token {
        attempt,
        position,
        text,
    }
}

fn end(attempt: AttemptId, tokens: u32) -> GenerationFrame {
    GenerationFrame::Finished {
        attempt,
        tokens,
        reason: FinishReason::Length,
        usage: Usage::default(),
    }
}

fn settings() -> ProptestConfig {
    ProptestConfig {
        cases: 300,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// Frames of attempt `MINE` (each at least once) and of other attempts, in any order.
fn frames() -> impl Strategy<Value = (u32, Vec<GenerationFrame>)> {
    (0..40_u32).prop_flat_map(|tokens| {
        let mut mine: Vec<_> = (0..tokens).map(|position| token(MINE, position)).collect();
        mine.push(end(MINE, tokens));
        let repeated = prop::collection::vec(0..mine.len(), 0..20);
        let foreign = prop::collection::vec((2..4_u128, 0..50_u32), 0..20);
        (repeated, foreign).prop_flat_map(move |(repeated, foreign)| {
            let mut all = mine.clone();
            all.extend(repeated.into_iter().map(|index| mine[index].clone()));
            let foreign = foreign.into_iter().map(|(other, position)| match position {
                0 => end(AttemptId(other), 0),
                _ => token(AttemptId(other), position),
            });
            all.extend(foreign);
            (Just(tokens), Just(all).prop_shuffle())
        })
    })
}

proptest! {
    #![proptest_config(settings())]

    #[test]
    fn late_repeated_reordered_and_foreign_frames_yield_the_complete_answer(
        (tokens, frames) in frames()
    ) {
        let mut assembler = FrameAssembler::new(MINE, 0);
        let mut text = String::new();
        let mut ended = None;
        for frame in frames {
            let foreign = frame.attempt() != MINE;
            let outcome = assembler.push(frame);
            prop_assert_eq!(outcome == Ok(FrameOutcome::Foreign), foreign);
            while ended.is_none() {
                match assembler.next_part() {
                    Some(AnswerPart::Token(part)) => text.push_str(&part),
                    Some(AnswerPart::End(end)) => ended = Some(end.tokens),
                    None => break,
                }
            }
        }
        let expected: String = (0..tokens).map(|position| format!("1-{position} ")).collect();
        prop_assert_eq!(text, expected);
        prop_assert_eq!(ended, Some(tokens));
    }

    #[test]
    fn an_answer_with_a_missing_token_never_ends(tokens in 1..40_u32, missing in 0..40_u32) {
        prop_assume!(missing < tokens);
        let mut assembler = FrameAssembler::new(MINE, 0);
        let present = (0..tokens).filter(|position| *position != missing);
        for frame in present.map(|position| token(MINE, position)).chain([end(MINE, tokens)]) {
            prop_assert!(assembler.push(frame).is_ok());
        }
        let mut given = 0;
        while let Some(part) = assembler.next_part() {
            prop_assert!(matches!(part, AnswerPart::Token(_)));
            given += 1;
        }
        prop_assert_eq!(given, missing);
    }

    #[test]
    fn a_stop_sequence_ends_the_text_however_it_is_split_into_tokens(
        text in "[ab]{0,30}", stop in "[ab]{1,4}", cuts in prop::collection::vec(1..4_usize, 30)
    ) {
        let mut stops = StopSequences::new(vec![stop.clone()]);
        let mut released = String::new();
        let mut stopped = false;
        let mut rest = text.as_str();
        for cut in cuts {
            let (token, after) = rest.split_at(cut.min(rest.len()));
            rest = after;
            stops.push(token.to_owned());
            while let Some(part) = stops.next_released() {
                match part {
                    Released::Token(token) => released.push_str(&token),
                    Released::Stopped(token) => {
                        released.push_str(&token);
                        stopped = true;
                    }
                }
            }
            if stopped {
                break;
            }
        }
        stops.finish();
        while let Some(Released::Token(token)) = stops.next_released() {
            released.push_str(&token);
        }
        let expected = text.split(&stop).next().unwrap_or_default();
        prop_assert_eq!(released, expected);
        prop_assert_eq!(stopped, text.contains(&stop));
    }
}

#[test]
fn an_end_that_contradicts_the_tokens_is_an_error() {
    let mut assembler = FrameAssembler::new(MINE, 0);
    assert!(assembler.push(token(MINE, 5)).is_ok());
    assert!(assembler.push(end(MINE, 3)).is_err());
    let mut assembler = FrameAssembler::new(MINE, 0);
    assert!(assembler.push(end(MINE, 3)).is_ok());
    assert!(assembler.push(token(MINE, 3)).is_err());
}
