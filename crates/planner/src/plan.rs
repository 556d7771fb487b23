//! Role plan with its reason and inputs, which are kept in decision records.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use dalestand_types::{EngineId, Role};

use crate::composition::Composition;
use crate::demand::Demand;
use crate::speeds::EngineSpeeds;

/// Reason for a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlanReason {
    /// No engine has reported yet.
    NoReports,
    /// No change is worth its cost.
    Keep,
    /// The limit on simultaneous changes is reached.
    ChangesInProgress { engines: usize },
    /// A change would leave a phase without an engine.
    WouldLeavePhaseEmpty,
    /// A group whose engine has less to drain changes first.
    OtherGroupFirst,
    /// The gain of a change exceeds its cost; both in seconds of full service.
    Gain { gain: f64, cost: f64 },
}

impl fmt::Display for PlanReason {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoReports => formatter.write_str("no engine has reported yet"),
            Self::Keep => formatter.write_str("no other composition is worth its cost"),
            Self::ChangesInProgress { engines } => {
                write!(
                    formatter,
                    "{engines} engines are changing their role already"
                )
            }
            Self::WouldLeavePhaseEmpty => {
                formatter.write_str("a change now would leave a phase without any engine")
            }
            Self::OtherGroupFirst => {
                formatter.write_str("a group whose engine has less to drain goes first")
            }
            Self::Gain { gain, cost } => write!(
                formatter,
                "expected gain {gain:.2} s of the demand against a cost of {cost:.2} s"
            ),
        }
    }
}

/// Inputs of a plan.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlanInputs {
    /// Measured demand.
    pub demand: Demand,
    /// Forecast demand at the time when a change would complete.
    pub forecast: Demand,
    /// Engine speeds, learned or configured.
    pub speeds: EngineSpeeds,
    /// Engines by assigned role, including those that are changing.
    pub current: Composition,
    /// Target composition.
    pub target: Composition,
    /// Expected remaining duration of the current mix.
    pub expected_mix_duration: Duration,
    /// Age of the oldest report.
    pub information_age: Duration,
}

impl fmt::Display for PlanInputs {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "demand {:.0} prompt and {:.0} output tokens/s, forecast {:.0} and {:.0}, expected to \
             last {} s; prefill/decode/mixed engines {}/{}/{}, aim {}/{}/{}",
            self.demand.prefill_tokens_per_s,
            self.demand.decode_tokens_per_s,
            self.forecast.prefill_tokens_per_s,
            self.forecast.decode_tokens_per_s,
            self.expected_mix_duration.as_secs(),
            self.current.prefill,
            self.current.decode,
            self.current.mixed,
            self.target.prefill,
            self.target.decode,
            self.target.mixed,
        )
    }
}

/// Planned roles of the engines of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct RolePlan {
    /// Roles by engine. An engine that has not reported is absent and keeps its role.
    pub roles: BTreeMap<EngineId, Role>,
    /// Reason for the plan.
    pub reason: PlanReason,
    /// Inputs of the plan.
    pub inputs: PlanInputs,
}
