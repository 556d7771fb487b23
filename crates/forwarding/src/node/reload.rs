//! Reloads the settings on SIGHUP or when the file has changed.

use std::rc::Rc;
use std::time::Duration;

use dalestand_telemetry::{Event, log_event};
use tokio::signal::unix::Signal;

use crate::context::Context;
use crate::node::settings::ForwardingSettings;
use crate::node::start::ReadSettings;

/// How often the file is read without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Reloads the settings on `hangup` and periodically; never returns. Only the retry limits take effect at
/// once, everything else at the next start.
pub(crate) async fn reload(context: Rc<Context>, read: ReadSettings, mut hangup: Signal) {
    let mut current = context.settings.clone();
    let mut was_unusable = false;
    loop {
        let was_signalled = tokio::time::timeout(POLL_INTERVAL, hangup.recv())
            .await
            .is_ok();
        match read() {
            Ok(settings) => {
                was_unusable = false;
                if was_signalled || settings != current {
                    apply(&context, &settings);
                    current = settings;
                }
            }
            Err(error) => {
                if was_signalled || !was_unusable {
                    log_event!(context.logger, Event::SettingsInvalid, "error" => error);
                }
                was_unusable = true;
            }
        }
    }
}

fn apply(context: &Context, settings: &ForwardingSettings) {
    let limits = settings.retry_limits();
    context.budget.borrow_mut().set_limits(limits);
    log_event!(context.logger, Event::SettingsReloaded, "retry_ratio" => limits.ratio,
        "retry_slack" => limits.slack,
        "retry_window_ms" => limits.window.as_millis() as u64);
}
