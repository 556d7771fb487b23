//! Speeds learnt from what engines did.

use dalestand_planner::{EngineSpeeds, SpeedEstimate, SpeedSample};
use dalestand_types::Role;

fn sample(role: Role, elapsed_s: f64, prefill_tokens: f64, decode_tokens: f64) -> SpeedSample {
    SpeedSample {
        role,
        elapsed_s,
        prefill_tokens,
        decode_tokens,
        running: 40.0,
        queued: true,
    }
}

#[test]
fn speeds_of_engines_that_do_one_phase_are_learnt() {
    let mut estimate = SpeedEstimate::new(EngineSpeeds::default());
    for _ in 0..200 {
        // 100 microseconds a prompt token; 20 ms and 100 microseconds a sequence for a step.
        estimate.observe(&sample(Role::Prefill, 1.0, 10_000.0, 0.0));
        estimate.observe(&sample(Role::Decode, 2.4, 0.0, 100.0 * 40.0));
    }
    let speeds = estimate.speeds();
    let step_s = speeds.decode_step_s + 40.0 * speeds.decode_token_s;
    assert!((speeds.prefill_token_s - 100e-6).abs() < 5e-6, "{speeds:?}");
    assert!((step_s - 24e-3).abs() < 2e-3, "{speeds:?}");
}

#[test]
fn a_prior_that_is_too_slow_is_left_behind_without_any_engine_of_one_phase() {
    let mut estimate = SpeedEstimate::new(EngineSpeeds::default());
    for _ in 0..400 {
        let mut busy = sample(Role::Mixed, 1.0, 100_000.0, 400.0);
        busy.queued = false;
        estimate.observe(&busy);
    }
    let speeds = estimate.speeds();
    assert!(speeds.prefill_token_s < 12e-6, "{speeds:?}");
}

#[test]
fn uncertain_times_of_reports_do_not_make_engines_look_fast() {
    let mut estimate = SpeedEstimate::new(EngineSpeeds::default());
    // 90% busy, by reports that come half a second apart and look 0.2 or 0.8 s apart.
    for number in 0..2_000 {
        let elapsed_s = if number % 2 == 0 { 0.2 } else { 0.8 };
        let mut report = sample(Role::Mixed, elapsed_s, 0.5 * 15_000.0, 0.5 * 1_200.0);
        report.queued = false;
        estimate.observe(&report);
    }
    let speeds = estimate.speeds();
    let prior = EngineSpeeds::default();
    assert!(
        speeds.decode_step_s > 0.9 * prior.decode_step_s,
        "{speeds:?}"
    );
}
