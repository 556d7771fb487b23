//! Encoded messages.

use std::rc::Rc;

use dalestand_dissemination::{EntryTable, Message, PageSpan};

/// An encoded message.
pub(crate) struct Datagram {
    pub(super) kind: &'static str,
    pub(super) bytes: Vec<u8>,
}

/// An encoded page of entries.
#[derive(Clone)]
pub(crate) struct EncodedPage {
    pub(super) datagram: Rc<Datagram>,
    pub(super) span: PageSpan,
    /// Digest of the entries when it was encoded.
    pub(super) digest: u64,
}

impl EncodedPage {
    /// Whether no entry of its range has changed since.
    pub(super) fn is_current(&self, table: &EntryTable) -> bool {
        self.span.digest(table) == self.digest
    }
}

/// A queued part of a long answer.
#[derive(Clone)]
pub(super) enum AnswerPart {
    /// Sent as it was encoded.
    Fixed(Rc<Datagram>),
    /// Sent as the entries are at that time.
    Page(EncodedPage),
}

impl AnswerPart {
    /// The label of its message.
    pub(super) fn kind(&self) -> &'static str {
        match self {
            Self::Fixed(datagram) => datagram.kind,
            Self::Page(page) => page.datagram.kind,
        }
    }
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
        Message::EngineRuns(_) => "engine-runs",
        Message::Limits(_) => "limits",
        Message::PermitRequest(_) => "permit-request",
        Message::PermitAnswer(_) => "permit-answer",
        Message::Sums(_) => "sums",
        Message::Freshness(_) => "freshness",
        Message::SoftwareRequest(_) => "software-request",
        Message::SoftwareVersions(_) => "software",
        Message::RecordedStreams(_) => "streams",
        Message::OriginRequest(_) => "origin-request",
        Message::OriginAnswer(_) => "origin-answer",
        Message::PartEvidence(_) => "part-evidence",
        Message::FingerprintKeyRequest(_) => "fingerprint-key-request",
        Message::FingerprintKeyAnswer(_) => "fingerprint-key",
    }
}
