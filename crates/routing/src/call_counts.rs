//! Which calls of one request are repeated ones, as the budget of repeated sends counts them.
//!
//! Every call that reaches an engine counts, whatever it is for and whatever comes of it, but for the first
//! prefill that an engine takes up. Repeated are all that count beyond the first.

/// What a call to an engine is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPurpose {
    /// To prefill the prompt.
    Prefill,
    /// To run the request.
    Run,
}

/// What is known of a call once it is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The engine took it up.
    Accepted,
    /// The engine refused it, or nothing shows that it took it up.
    NotAccepted,
    /// Nothing of it reached the engine.
    NotDelivered,
}

/// The calls of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that count.
    counted: u32,
    /// Whether an engine took a prefill up.
    is_prefilled: bool,
}

impl CallCounts {
    /// Whether a call that is about to be made must be taken from the budget. A prefill is taken before it
    /// is known whether it counts.
    pub fn is_repeat(&self) -> bool {
        self.counted > 0
    }

    /// Notes how a call came out; whether it does not count, so that what was taken for it is given back.
    pub fn record(&mut self, purpose: CallPurpose, outcome: CallOutcome) -> bool {
        let is_first_prefill = purpose == CallPurpose::Prefill && !self.is_prefilled;
        match outcome {
            CallOutcome::NotDelivered => true,
            CallOutcome::Accepted if is_first_prefill => {
                self.is_prefilled = true;
                true
            }
            CallOutcome::Accepted | CallOutcome::NotAccepted => {
                self.counted += 1;
                false
            }
        }
    }
}
