//! The body of an answer, after which the next request is read.

use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;

use crate::intake::Intake;

pub(crate) struct AnswerBody {
    pub(crate) body: BoxBody,
    pub(crate) intake: Intake,
}

impl MessageBody for AnswerBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.get_mut().body).poll_next(context)
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.intake.read_head();
    }
}
