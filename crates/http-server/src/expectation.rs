//! Requests whose callers wait for permission to send the body (RFC 9110, 10.1.1).

use std::fmt;
use std::rc::Rc;

use actix_http::Request;

use crate::Answer;

type Check = dyn Fn(&Request) -> Result<(), Answer>;

/// Decides by the head of a request whether its body is to be sent. Clones share the decision.
#[derive(Clone)]
pub struct Expectation(Rc<Check>);

impl Expectation {
    /// An expectation that `check` refuses with an answer.
    pub fn new(check: impl Fn(&Request) -> Result<(), Answer> + 'static) -> Self {
        Self(Rc::new(check))
    }

    pub(crate) fn check(&self, request: &Request) -> Result<(), Answer> {
        (self.0)(request)
    }
}

impl Default for Expectation {
    /// All bodies are to be sent.
    fn default() -> Self {
        Self::new(|_| Ok(()))
    }
}

impl fmt::Debug for Expectation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Expectation(..)")
    }
}
