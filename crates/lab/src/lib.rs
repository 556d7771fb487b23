//! Experiments: a simulator, a load generator for a running fleet, and reports.
//!
//! Each command is a module with a `run` function, listed in [`COMMANDS`].

mod error;
mod load;
pub mod report;
pub mod simulate;

use error_stack::Report;

pub use error::LabError;

/// A command of `dalestand-lab`.
pub struct Command {
    pub name: &'static str,
    /// One-line description.
    pub summary: &'static str,
    /// Runs the command with the arguments after its name.
    pub run: fn(&[String]) -> Result<(), Report<LabError>>,
}

/// All commands.
pub const COMMANDS: &[Command] = &[
    Command {
        name: "load",
        summary: "run streams against a node, an engine, or both",
        run: load::run,
    },
    Command {
        name: "simulate",
        summary: "run a scenario in virtual time under every policy",
        run: simulate::run,
    },
    Command {
        name: "report",
        summary: "write a page with tables and plots of scenarios",
        run: report::run,
    },
];
