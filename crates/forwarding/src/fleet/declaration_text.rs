//! The declaration as it is passed on to other nodes.

use std::rc::Rc;

/// The text of the declaration in force, for other nodes.
#[derive(Clone, Debug)]
pub(crate) struct DeclarationText {
    /// Its revision.
    pub(crate) revision: u64,
    /// The text, as it stands in the key-value service.
    pub(crate) text: Rc<str>,
}
