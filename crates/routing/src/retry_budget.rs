//! Retries within a budget, and never of what may have run and may not run again.
//!
//! Each first attempt earns a share of a retry. While an engine group is lost, retries end as soon
//! as the savings are spent, so that they do not load what is left with a multiple of the demand.

/// Bounds on retries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetConfig {
    /// Share of a retry earned by each first attempt.
    pub earned: f64,
    /// Most retries saved up.
    pub saved: f64,
    /// Most retries of one request.
    pub per_request: u32,
}

impl Default for RetryBudgetConfig {
    fn default() -> Self {
        Self {
            earned: 0.1,
            saved: 20.0,
            per_request: 2,
        }
    }
}

/// What is known of an attempt that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureKind {
    /// No byte was sent.
    NotSent,
    /// The engine refused it and did not run it.
    Refused,
    /// Bytes were sent and the engine gave no proof that it did not run.
    MayHaveRun,
}

/// A request whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FailedAttempt {
    /// What is known of the attempt.
    pub kind: FailureKind,
    /// Whether the request may run again.
    pub repeatable: bool,
    /// Retries of the request so far.
    pub retries: u32,
}

/// Whether to try again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another engine.
    Retry,
    /// The request may have run and may not run again: its result is unknown.
    MayHaveRun,
    /// The request has used its retries.
    RequestLimitReached,
    /// The node has used its retries.
    BudgetExhausted,
}

/// The retries a node may make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    config: RetryBudgetConfig,
    savings: f64,
}

impl RetryBudget {
    /// A budget with full savings.
    pub fn new(config: RetryBudgetConfig) -> Self {
        Self {
            savings: config.saved,
            config,
        }
    }

    /// Notes a request's first attempt.
    pub fn record_first_attempt(&mut self) {
        self.savings = (self.savings + self.config.earned).min(self.config.saved);
    }

    /// Decides on a retry and, if it is made, pays for it.
    pub fn decide(&mut self, attempt: &FailedAttempt) -> RetryDecision {
        if attempt.kind == FailureKind::MayHaveRun && !attempt.repeatable {
            return RetryDecision::MayHaveRun;
        }
        if attempt.retries >= self.config.per_request {
            return RetryDecision::RequestLimitReached;
        }
        if self.savings < 1.0 {
            return RetryDecision::BudgetExhausted;
        }
        self.savings -= 1.0;
        RetryDecision::Retry
    }
}
