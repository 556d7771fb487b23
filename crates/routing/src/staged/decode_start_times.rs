//! Times that decode engines take to start a response from a transferred KV cache, learned from measurements.
//!
//! An engine starts requests one after the other, at a cost that does not depend on the prompt. If few decode
//! engines serve many requests, this is their bottleneck.

use crate::learning::LinearFit;

/// Initial estimate of the start time on an idle engine, in seconds.
const PRIOR_IDLE_S: f64 = 8e-3;

/// Initial estimate of the time added by each request queued before, in seconds.
const PRIOR_PER_REQUEST_S: f64 = 2e-3;

/// The initial estimate counts as observations at zero and at this number of queued requests.
const PRIOR_SPAN_REQUESTS: f64 = 8.0;

/// Model of the start time as a function of the number of requests queued before.
#[derive(Clone, Debug)]
pub struct DecodeStartTimes {
    start_time: LinearFit,
}

impl Default for DecodeStartTimes {
    fn default() -> Self {
        Self {
            start_time: LinearFit::prior(PRIOR_IDLE_S, PRIOR_PER_REQUEST_S, PRIOR_SPAN_REQUESTS),
        }
    }
}

impl DecodeStartTimes {
    /// Expected time until a response starts behind `queued` requests that have not started, in seconds.
    pub fn expected_s(&self, queued: u32) -> f64 {
        self.start_time.at(f64::from(queued))
    }

    /// The share of [`Self::expected_s`] caused by the queued requests.
    pub fn queue_s(&self, queued: u32) -> f64 {
        self.expected_s(queued) - self.expected_s(0)
    }

    /// Records how long a response took to start behind `queued` requests, excluding the KV cache transfer.
    pub fn observe(&mut self, queued: u32, measured_s: f64) {
        self.start_time
            .observe(f64::from(queued), measured_s.max(0.0));
    }
}
