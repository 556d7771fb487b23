//! Encoded messages.

use dalestand_dissemination::Message;

/// An encoded message.
pub(crate) struct Datagram {
    pub(super) kind: &'static str,
    pub(super) bytes: Vec<u8>,
}

/// Label of pages of entries.
pub(super) const ENTRIES: &str = "entries";

/// Label of parts of a declaration.
pub(super) const DECLARATION: &str = "declaration";

/// The metrics label of a message.
pub(super) fn kind_label(message: &Message) -> &'static str {
    match message {
        Message::Report(_) => "report",
        Message::Exchange(_) => "exchange",
        Message::Table(_) => "table",
        Message::News(_) => "news",
        Message::Loads(_) => "loads",
        Message::Changes(_) => "changes",
        Message::PartsRequest(_) => "parts-request",
        Message::EntriesRequest(_) => "entries-request",
        Message::Entries(_) => ENTRIES,
        Message::Usage(_) => "usage",
        Message::DeclarationRequest(_) => "declaration-request",
        Message::Declaration(_) => DECLARATION,
        Message::Engines(_) => "engines",
        Message::Limits(_) => "limits",
        Message::PermitRequest(_) => "permit-request",
        Message::PermitAnswer(_) => "permit-answer",
        Message::Sums(_) => "sums",
        Message::Freshness(_) => "freshness",
    }
}
