//! A node in this process, before a store in memory and engines that answer by scripts.

mod dialect;
mod engine;
mod node;
mod store;

pub use engine::{Script, TestEngine, answer, id_of, refusing, succeeding};
pub use node::{TestNode, get, status};
