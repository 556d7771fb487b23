//! A node in the test process, with an in-memory key-value service and scripted engines.

mod dialect;
mod engine;
mod node;
mod relay;
mod store;
pub mod streams;

pub use engine::{Script, TestEngine, answer, id_of, refusing, succeeding};
pub use node::{TestNode, declaration, get, status};
pub use relay::{RelayScript, ScriptedRelay};
pub use store::MemoryStore;
