//! How long engines take to begin an answer from memory that another engine holds, learnt from runs.
//!
//! An engine takes up one request after the other, and each costs it some time whatever its prompt:
//! where few engines answer for many, this is what they run out of first.

use crate::learning::LinearFit;

/// Assumed until it is learnt: time with no other request before it, in seconds.
const PRIOR_ALONE_S: f64 = 8e-3;

/// Assumed until it is learnt: time that each request before it adds, in seconds.
const PRIOR_EACH_S: f64 = 2e-3;

/// Requests over which the assumption is spread.
const PRIOR_SPAN: f64 = 8.0;

/// Time to the begin of an answer, by how many requests begin before it.
#[derive(Clone, Debug)]
pub struct DecodeStartTimes {
    begins: LinearFit,
}

impl Default for DecodeStartTimes {
    fn default() -> Self {
        Self {
            begins: LinearFit::prior(PRIOR_ALONE_S, PRIOR_EACH_S, PRIOR_SPAN),
        }
    }
}

impl DecodeStartTimes {
    /// Expected seconds until an answer begins where `before` requests have not begun yet.
    pub fn expected_s(&self, before: u32) -> f64 {
        self.begins.at(f64::from(before))
    }

    /// Expected seconds that the requests before add.
    pub fn queue_s(&self, before: u32) -> f64 {
        self.expected_s(before) - self.expected_s(0)
    }

    /// Notes how long an answer took to begin, without the move of its memory.
    pub fn observe(&mut self, before: u32, seen_s: f64) {
        self.begins.observe(f64::from(before), seen_s.max(0.0));
    }
}
