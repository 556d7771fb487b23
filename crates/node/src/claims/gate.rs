//! Channels by which the caller server, on its own arbiters, reaches the claims driver.

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dalestand_gateway::{ClaimEnd, ClaimGate, ClaimOutcome, ClaimRequest};
use tokio::sync::{mpsc, oneshot};

use super::driver::ClaimsDriver;

/// Capacity of the channel for claims; further ones are refused.
const MAX_CLAIMS_IN_FLIGHT: usize = 1_024;

/// Retry delay for a claim that did not reach the driver.
const BUSY_RETRY: Duration = Duration::from_millis(1_000);

struct ClaimCall {
    request: ClaimRequest,
    reply: oneshot::Sender<ClaimOutcome>,
}

struct EndCall {
    request: ClaimRequest,
    end: ClaimEnd,
}

/// Sending end, used by the caller server.
pub(crate) struct ChannelGate {
    claims: mpsc::Sender<ClaimCall>,
    ends: mpsc::UnboundedSender<EndCall>,
}

/// Receiving end of a [`ChannelGate`].
pub(crate) struct GateCalls {
    claims: mpsc::Receiver<ClaimCall>,
    ends: mpsc::UnboundedReceiver<EndCall>,
}

impl ChannelGate {
    /// Creates a connected pair.
    pub(crate) fn new() -> (Self, GateCalls) {
        let (claims, claim_calls) = mpsc::channel(MAX_CLAIMS_IN_FLIGHT);
        // Unbounded, but there is at most one end per granted claim.
        let (ends, end_calls) = mpsc::unbounded_channel();
        let calls = GateCalls {
            claims: claim_calls,
            ends: end_calls,
        };
        (Self { claims, ends }, calls)
    }
}

#[async_trait(?Send)]
impl ClaimGate for ChannelGate {
    async fn claim(&self, claim: &ClaimRequest) -> ClaimOutcome {
        let (reply, outcome) = oneshot::channel();
        let call = ClaimCall {
            request: claim.clone(),
            reply,
        };
        if self.claims.try_send(call).is_err() {
            return refused("too many claims are pending");
        }
        let ended = refused("this node is stopping");
        outcome.await.unwrap_or(ended)
    }

    fn finish(&self, claim: &ClaimRequest, end: ClaimEnd) {
        let request = claim.clone();
        // If the driver is gone, the claim remains and its end counts as unknown.
        drop(self.ends.send(EndCall { request, end }));
    }
}

fn refused(reason: &str) -> ClaimOutcome {
    ClaimOutcome::Refused {
        reason: reason.to_owned(),
        retry_after: BUSY_RETRY,
    }
}

/// Passes received calls to the driver until dropped.
pub(crate) async fn serve_gate(mut calls: GateCalls, driver: Rc<ClaimsDriver>) {
    loop {
        tokio::select! {
            Some(call) = calls.claims.recv() => {
                let driver = Rc::clone(&driver);
                actix_rt::spawn(async move { serve_claim(&driver, call).await });
            }
            Some(call) = calls.ends.recv() => {
                let driver = Rc::clone(&driver);
                actix_rt::spawn(async move { driver.finish(&call.request, call.end).await });
            }
            else => return,
        }
    }
}

async fn serve_claim(driver: &Rc<ClaimsDriver>, call: ClaimCall) {
    let outcome = driver.claim(&call.request).await;
    if let Err(ClaimOutcome::Granted) = call.reply.send(outcome) {
        // The caller disconnected before its request was dispatched.
        driver.finish(&call.request, not_run()).await;
    }
}

fn not_run() -> ClaimEnd {
    ClaimEnd {
        run_state: dalestand_types::RunState::NotRun,
        answer: None,
    }
}
