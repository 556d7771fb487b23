//! Exit codes and error output of the programs.

use std::fmt::Display;
use std::process::ExitCode;

/// Outcome of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Success,
    /// The command failed.
    Failure,
    /// A flag or file is invalid; nothing was changed.
    Usage,
    /// The command conflicted with another change.
    Conflict,
    /// Whether the change took effect is unknown.
    InDoubt,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(match exit {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::Usage => 2,
            Exit::Conflict => 3,
            Exit::InDoubt => 4,
        })
    }
}

/// Prints why a flag or file is invalid.
pub fn usage_error(message: impl Display) -> Exit {
    eprintln!("{message}");
    Exit::Usage
}

/// Prints why the command failed.
pub fn failure(message: impl Display) -> Exit {
    eprintln!("{message}");
    Exit::Failure
}
