//! Library of the programs: command line flags, exit codes and one module per command.

pub mod dev;
pub mod exit;
pub mod files;
pub mod flags;
pub mod forward;
pub mod node;
pub mod operator;
pub mod report;
pub mod room;
pub mod stopped;
