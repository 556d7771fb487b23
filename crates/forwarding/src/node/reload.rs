//! Reads the settings again when a signal asks for it or the file has changed.

use std::rc::Rc;
use std::time::Duration;

use dalestand_telemetry::{Event, log_event};
use tokio::signal::unix::Signal;

use crate::context::Context;
use crate::node::settings::ForwardingSettings;
use crate::node::start::ReadSettings;

/// How often the file is looked at without a signal.
const LOOK_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings again for as long as it is polled. What cannot change while the process runs
/// (addresses, name and zone) takes force at the next start.
pub(crate) async fn reload(context: Rc<Context>, read: ReadSettings, mut hangup: Signal) {
    let mut known = context.settings.clone();
    let mut unusable = false;
    loop {
        let asked = tokio::time::timeout(LOOK_INTERVAL, hangup.recv())
            .await
            .is_ok();
        match read() {
            Ok(settings) => {
                unusable = false;
                if asked || settings != known {
                    take(&context, &settings);
                    known = settings;
                }
            }
            Err(error) => {
                if asked || !unusable {
                    log_event!(context.logger, Event::SettingsInvalid, "error" => error);
                }
                unusable = true;
            }
        }
    }
}

fn take(context: &Context, settings: &ForwardingSettings) {
    let terms = settings.retry_terms();
    context.budget.borrow_mut().set_limits(terms);
    log_event!(context.logger, Event::SettingsReloaded, "retry_ratio" => terms.ratio,
        "retry_slack" => terms.slack,
        "retry_window_ms" => terms.window.as_millis() as u64);
}
