//! The declaration in the form sent to other nodes.

use std::rc::Rc;

/// The text of the active declaration.
#[derive(Clone, Debug)]
pub(crate) struct DeclarationText {
    pub(crate) revision: u64,
    /// The text as stored in the key-value service.
    pub(crate) text: Rc<str>,
}
