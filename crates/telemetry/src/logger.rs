//! Loggers.

use slog::{Drain as _, Logger, o};

use crate::queued_writer::QueuedWriter;

/// Records that may wait for the writer; more are dropped and counted, so that a slow writer never
/// holds a request.
const CHANNEL_RECORDS: usize = 4_096;

/// How events are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// One JSON object a line, on standard error.
    Json,
    /// One JSON object a line, on standard output.
    JsonOutput,
    /// Text for a terminal, on standard error.
    Terminal,
}

/// A logger that writes from a thread of its own.
pub fn logger(output: LogOutput) -> Logger {
    match output {
        LogOutput::Json => json_logger(std::io::stderr()),
        LogOutput::JsonOutput => json_logger(std::io::stdout()),
        LogOutput::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            asynchronous(drain)
        }
    }
}

/// A logger that writes one JSON object a line to `output`, findings before samples.
pub fn json_logger(output: impl std::io::Write + Send + 'static) -> Logger {
    Logger::root(QueuedWriter::start(output), o!())
}

/// A logger that writes nothing.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

fn asynchronous<D>(drain: D) -> Logger
where
    D: slog::Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(CHANNEL_RECORDS)
        .build()
        .fuse();
    Logger::root(drain, o!())
}
