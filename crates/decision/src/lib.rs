//! Decision records and their plain account.
//!
//! Every decision leaves a typed record: what, when, on what information and how old that was,
//! the candidates and their scores, the configuration it was made under, and what came of it.

mod explanation;
mod record;
mod ring;

pub use explanation::{request_explanation, role_change_explanation};
pub use record::{
    AttemptOutcome, AttemptRecord, Candidate, Exclusion, NoEngineRecord, RequestRecord,
    RequestTerms, RoleRecord,
};
pub use ring::DecisionRing;
