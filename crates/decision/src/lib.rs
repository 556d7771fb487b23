//! Records of routing and role decisions, and explanations of them for operators.
//!
//! A record holds the decision, its time and outcome, the configuration revision, the age of the
//! information used, and, for routing decisions, the candidates with their scores.

mod explanation;
mod record;
mod ring;

pub use explanation::{request_explanation, role_change_explanation};
pub use record::{
    AttemptOutcome, AttemptRecord, Candidate, Exclusion, NoEngineRecord, RequestRecord,
    RequestTerms, RoleRecord,
};
pub use ring::DecisionRing;
