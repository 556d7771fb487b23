//! The phases of a graceful shutdown, as far as requests depend on them.

use std::future::Future;

use dalestand_clock::{BootInstant, TimedOut, timeout_at};
use tokio::sync::watch;

/// Moments of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ShutdownTimes {
    /// Until then callers may not know of it, and their requests are served like others.
    pub(crate) noticed_at: BootInstant,
    /// When every request has to be answered, as the process exits soon after.
    pub(crate) answers_due: BootInstant,
}

/// A graceful shutdown, which may have begun.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    times: watch::Sender<Option<ShutdownTimes>>,
}

impl Shutdown {
    /// Begins the shutdown.
    pub(crate) fn begin(&self, times: ShutdownTimes) {
        self.times.send_replace(Some(times));
    }

    /// Whether it has begun.
    pub(crate) fn has_begun(&self) -> bool {
        self.times.borrow().is_some()
    }

    /// Whether a request that must be answered by `due` may be taken now.
    pub(crate) fn accepts(&self, due: BootInstant) -> bool {
        let times = *self.times.borrow();
        times.is_none_or(|times| BootInstant::now() < times.noticed_at || due <= times.answers_due)
    }

    /// Runs `future` until answers are due, if a shutdown begins.
    pub(crate) async fn limit<F: Future>(&self, future: F) -> Result<F::Output, TimedOut> {
        let mut times = self.times.subscribe();
        let answers_due = async {
            // Fails only without a sender, which lives as long as this.
            match times.wait_for(Option::is_some).await {
                Ok(times) => times.map(|times| times.answers_due),
                Err(_) => None,
            }
        };
        let mut future = std::pin::pin!(future);
        tokio::select! {
            biased;
            output = &mut future => Ok(output),
            Some(due) = answers_due => timeout_at(due, future).await,
        }
    }
}
