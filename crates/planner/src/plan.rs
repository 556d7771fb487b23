//! The plan with the typed reason and inputs that a decision record keeps.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use dalestand_types::{EngineId, Role};

use crate::composition::Composition;
use crate::demand::Demand;
use crate::speeds::EngineSpeeds;

/// Why a plan is as it is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlanReason {
    /// No engine has reported yet.
    NoReports,
    /// No other composition is worth its cost.
    Keep,
    /// As many engines are out of service for a change as may be.
    ChangesInProgress { engines: usize },
    /// Changing an engine would leave a phase without any engine.
    WouldLeavePhaseEmpty,
    /// A group with an engine that has less to drain goes first.
    OtherGroupFirst,
    /// Another composition serves more than the change costs; both in shares of the demand times
    /// seconds.
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

/// What a plan was made from.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlanInputs {
    /// The demand as measured.
    pub demand: Demand,
    /// The demand expected when a change would be done.
    pub forecast: Demand,
    /// Speeds assumed, learnt or prior.
    pub speeds: EngineSpeeds,
    /// Engines in service or changing, by role.
    pub current: Composition,
    /// The composition aimed at.
    pub target: Composition,
    /// How long the present mix is expected to last.
    pub expected_stay: Duration,
    /// Age of the oldest report used.
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
            self.expected_stay.as_secs(),
            self.current.prefill,
            self.current.decode,
            self.current.mixed,
            self.target.prefill,
            self.target.decode,
            self.target.mixed,
        )
    }
}

/// The role each engine of a group is to have.
#[derive(Clone, Debug, PartialEq)]
pub struct RolePlan {
    /// Roles by engine; an engine that has never reported is absent and is to be left as it is.
    pub roles: BTreeMap<EngineId, Role>,
    /// Why.
    pub reason: PlanReason,
    /// On what information.
    pub inputs: PlanInputs,
}
