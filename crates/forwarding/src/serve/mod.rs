//! One request: its route, its calls to engines, its answer.

pub(crate) mod account;
pub(crate) mod admission;
pub(crate) mod admit;
mod admitted_plan;
pub(crate) mod answer;
pub(crate) mod attempt;
pub(crate) mod class_counts;
mod deliver;
pub(crate) mod engine_call;
pub(crate) mod engine_send;
pub(crate) mod event_stream;
mod final_failure;
pub(crate) mod forward;
pub(crate) mod headers;
pub(crate) mod held_bytes;
pub(crate) mod patience;
pub(crate) mod plan;
pub(crate) mod pool_admissions;
pub(crate) mod prefill;
pub(crate) mod progress;
pub(crate) mod relay;
pub(crate) mod relay_error;
mod repeated_calls;
pub(crate) mod tenant_shares;
pub(crate) mod work_guard;
