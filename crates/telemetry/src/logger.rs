//! Loggers for the programs and for tests.

use slog::{Drain as _, Logger, o};

use crate::queued_writer::QueuedWriter;

/// Capacity of the terminal logger's queue; further records are dropped and counted, so that a slow terminal
/// never blocks a request.
const ASYNC_QUEUE_RECORDS: usize = 4_096;

/// Format and destination of log events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// One JSON object per line on standard error.
    JsonStderr,
    /// One JSON object per line on standard output.
    JsonStdout,
    /// Human-readable text on standard error.
    Terminal,
}

/// Creates a logger that writes on a separate thread.
pub fn logger(output: LogOutput) -> Logger {
    match output {
        LogOutput::JsonStderr => json_logger(std::io::stderr()),
        LogOutput::JsonStdout => json_logger(std::io::stdout()),
        LogOutput::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            async_logger(drain)
        }
    }
}

/// Creates a logger that writes one JSON object per line to `output` on a separate thread, high-priority lines
/// first.
pub fn json_logger(output: impl std::io::Write + Send + 'static) -> Logger {
    Logger::root(QueuedWriter::start(output), o!())
}

/// Creates a logger that discards everything.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn async_logger<D>(drain: D) -> Logger
where
    D: slog::Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(ASYNC_QUEUE_RECORDS)
        .build()
        .fuse();
    Logger::root(drain, o!())
}
