//! Numbered log events, loggers and metrics.

mod event;
mod line_queue;
mod logger;
mod metrics;
mod queued_writer;

pub use event::{EVENTS, Event};
pub use line_queue::{LinePriority, LineQueue, LineQueueLimits, LogLine};
pub use logger::{LogOutput, discard_logger, json_logger, logger};
pub use metrics::{Metrics, MetricsError};

/// Logs a numbered event: `log_event!(logger, Event::NodeReady, "node" => %node)`.
#[macro_export]
macro_rules! log_event {
    ($logger:expr, $event:expr $(, $($fields:tt)+)?) => {{
        let event = $event;
        match event.level() {
            $crate::slog::Level::Error => {
                $crate::slog::error!($logger, "{}", event.message(); "event" => event.number() $(, $($fields)+)?)
            }
            $crate::slog::Level::Warning => {
                $crate::slog::warn!($logger, "{}", event.message(); "event" => event.number() $(, $($fields)+)?)
            }
            $crate::slog::Level::Debug => {
                $crate::slog::debug!($logger, "{}", event.message(); "event" => event.number() $(, $($fields)+)?)
            }
            _ => {
                $crate::slog::info!($logger, "{}", event.message(); "event" => event.number() $(, $($fields)+)?)
            }
        }
    }};
}

#[doc(hidden)]
pub use slog;
