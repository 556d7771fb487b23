//! Thin layer over `actix-http`: an accept loop on the current arbiter, request bodies and typed
//! answers.
//!
//! All servers of this project (for callers, for operators and of simulated services) use it, so that
//! limits on connections, headers and bodies and the graceful shutdown are implemented once.

mod answer;
mod answer_body;
mod body;
mod connections;
mod error;
mod expectation;
mod intake;
mod listen;
mod open_connections;
mod server;
mod shared_stream;

pub use answer::{Answer, json_answer, status_answer, stream_answer, text_answer};
pub use body::{
    BodyLimits, address_owner, check_declared_length, declared_length, read_body, read_json,
};
pub use connections::Connections;
pub use error::HttpServerError;
pub use expectation::Expectation;
pub use listen::listen;
pub use server::{ServerLimits, is_over_limit, serve};

pub use dalestand_request_bodies::{Body, MemoryAccount, Owner, Usage};

pub use actix_http::{ConnectionType, HttpMessage, Method, Request, StatusCode};
