//! Serving of one request: acceptance, admission, calls to engines, and the answer.

pub(crate) mod accept;
pub(crate) mod admission;
mod admitted_plan;
pub(crate) mod answer;
pub(crate) mod answer_stream;
pub(crate) mod answer_stream_error;
pub(crate) mod attempt;
pub(crate) mod caller_watch;
pub(crate) mod class_counts;
mod deliver;
pub(crate) mod engine_call;
pub(crate) mod engine_send;
pub(crate) mod event_stream;
mod final_failure;
pub(crate) mod forward;
pub(crate) mod headers;
pub(crate) mod held_bytes;
pub(crate) mod plan;
pub(crate) mod pool_admissions;
pub(crate) mod prefill;
pub(crate) mod progress;
pub(crate) mod request_log;
pub(crate) mod response_timeout;
mod retries;
pub(crate) mod tenant_shares;
pub(crate) mod unmarked_end;
pub(crate) mod work_guard;
