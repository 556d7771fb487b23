//! What the programs share: exit codes and flag reading.

pub mod dev;
pub mod exit;
pub mod flags;
