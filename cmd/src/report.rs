//! How errors are shown to people who run the programs.

use std::backtrace::Backtrace;
use std::panic::Location;

use error_stack::Report;
use error_stack::fmt::ColorMode;

/// Shows reports as their messages only: where in the code an error arose is of no use to who
/// typed a wrong flag.
pub fn show_messages_only() {
    Report::set_color_mode(ColorMode::None);
    Report::install_debug_hook::<Backtrace>(|_, _| {});
    Report::install_debug_hook::<Location<'static>>(|_, _| {});
}
