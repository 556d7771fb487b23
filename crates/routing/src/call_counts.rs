//! Counts the calls of one request, and determines which of them are repeated sends.
//!
//! Every call that reaches an engine counts, whatever its purpose and outcome, except the first prefill that an engine
//! accepts. Each counted call after the first is a repeated send.

/// Purpose of a call to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPurpose {
    /// Prefills the prompt.
    Prefill,
    /// Runs the request.
    Run,
}

/// Outcome of a call to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The engine accepted it.
    Accepted,
    /// The engine refused it, or there is no proof that it accepted it.
    NotAccepted,
    /// Nothing was sent to the engine.
    NotDelivered,
}

/// The calls of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that count.
    counted: u32,
    /// Whether an engine has accepted a prefill.
    is_prefilled: bool,
}

impl CallCounts {
    /// Whether the next call must be taken from the retry budget before it is sent. If its outcome shows that it does
    /// not count, as for an accepted first prefill, [`Self::record`] returns true.
    pub fn is_repeat(&self) -> bool {
        self.counted > 0
    }

    /// Records the outcome of a call. Returns true if the call does not count; what was taken from the budget for it is
    /// then to be given back.
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
