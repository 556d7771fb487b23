//! Learning of engine speeds from samples.

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
fn speeds_are_learned_from_engines_that_run_one_phase() {
    let mut estimate = SpeedEstimate::new(EngineSpeeds::default());
    for _ in 0..200 {
        // 100 microseconds per prompt token; 20 ms per step plus 100 microseconds per sequence.
        estimate.observe(&sample(Role::Prefill, 1.0, 10_000.0, 0.0));
        estimate.observe(&sample(Role::Decode, 2.4, 0.0, 100.0 * 40.0));
    }
    let speeds = estimate.speeds();
    let step_s = speeds.decode_step_s + 40.0 * speeds.decode_token_s;
    assert!((speeds.prefill_token_s - 100e-6).abs() < 5e-6, "{speeds:?}");
    assert!((step_s - 24e-3).abs() < 2e-3, "{speeds:?}");
}

#[test]
fn a_slow_prior_is_corrected_from_mixed_engines_alone() {
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
fn jitter_in_report_times_does_not_lower_the_time_costs() {
    let mut estimate = SpeedEstimate::new(EngineSpeeds::default());
    // Engines are 90% busy; reports are 0.5 s apart but appear to be 0.2 or 0.8 s apart.
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
