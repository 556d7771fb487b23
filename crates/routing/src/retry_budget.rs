//! Limits retries to a budget, and refuses to retry non-repeatable requests that may have run.
//!
//! Each first attempt adds a fraction of a retry to the budget. When a group of engines fails, retries stop as soon as
//! the budget is exhausted, so that they do not multiply the load on the remaining engines.

/// Configuration of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Retries added to the budget by each first attempt.
    pub retries_per_attempt: f64,
    /// Largest budget, which is also the initial one.
    pub max_budget: f64,
    /// Most retries per request.
    pub max_per_request: u32,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            retries_per_attempt: 0.1,
            max_budget: 20.0,
            max_per_request: 2,
        }
    }
}

/// Whether a failed attempt may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No byte was sent to the engine.
    NotSent,
    /// The engine refused the request without running it.
    Refused,
    /// Bytes were sent, and there is no proof that the engine did not run it.
    MayHaveRun,
}

/// A failed attempt at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// Whether the attempt may have run.
    pub kind: FailureKind,
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Number of retries of the request so far.
    pub retries: u32,
}

/// Decision about a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at another engine.
    Retry,
    /// No retry: the request may have run and is not repeatable, so its result is unknown.
    MayHaveRun,
    /// No retry: the request has reached its limit of retries.
    RequestLimitReached,
    /// No retry: the node's budget is exhausted.
    BudgetExhausted,
}

/// Retry budget of a node.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    available: f64,
}

impl RetryBudget {
    /// A full budget.
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self {
            available: config.max_budget,
            config,
        }
    }

    /// Records the first attempt of a request.
    pub fn record_first_attempt(&mut self) {
        self.available =
            (self.available + self.config.retries_per_attempt).min(self.config.max_budget);
    }

    /// Decides about a retry and takes it from the budget if it is allowed.
    pub fn decide(&mut self, attempt: &FailedAttempt) -> RetryDecision {
        if attempt.kind == FailureKind::MayHaveRun && !attempt.repeatable {
            return RetryDecision::MayHaveRun;
        }
        if attempt.retries >= self.config.max_per_request {
            return RetryDecision::RequestLimitReached;
        }
        if self.available < 1.0 {
            return RetryDecision::BudgetExhausted;
        }
        self.available -= 1.0;
        RetryDecision::Retry
    }
}
