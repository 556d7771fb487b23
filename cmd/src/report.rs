//! Format of error reports in the programs' output.

use std::backtrace::Backtrace;
use std::panic::Location;

use error_stack::Report;
use error_stack::fmt::ColorMode;

/// Limits error reports to their messages: source locations and backtraces are of no use to operators.
pub fn show_messages_only() {
    Report::set_color_mode(ColorMode::None);
    Report::install_debug_hook::<Backtrace>(|_, _| {});
    Report::install_debug_hook::<Location<'static>>(|_, _| {});
}
