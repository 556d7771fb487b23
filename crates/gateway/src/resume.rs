//! Event ids with which a caller can resume an interrupted stream at any node.
//!
//! An id contains the request, the attempt, the engine and the number of tokens delivered. It is
//! signed with a key derived from the hash of the tenant's API key, which every node reads from the
//! configuration. Nodes therefore store nothing for a resume, ids outlive a change of configuration,
//! and callers cannot use each other's ids. The signature also covers the fingerprint of the request,
//! so that an id is valid only for the request it was issued for. Callers without an API key share one
//! signing key; an id gains them nothing, since they must send the whole request again anyway.

use std::fmt::Write as _;

use dalestand_config::Tenant;
use dalestand_types::{AttemptId, EngineId, RequestId};

use crate::claim::RequestFingerprint;

const KEY_CONTEXT: &str = "dalestand 2026 event id of a resumable stream";

/// Length of a signature in hexadecimal digits (128 bits).
const SIGNATURE_DIGITS: usize = 32;

/// Separates the fields of an id. Engine names do not contain it.
const SEPARATOR: char = ':';

/// Why an event id cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResumeError {
    /// The text does not have the format of an event id.
    #[error("Last-Event-ID is not an event id of this service")]
    Malformed,
    /// The signature does not match this caller and request.
    #[error("Last-Event-ID belongs to another caller or another request")]
    ForeignOrForged,
}

/// The point from which a stream is resumed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    pub request: RequestId,
    /// The attempt that delivered the last token.
    pub attempt: AttemptId,
    /// The engine that ran the attempt.
    pub engine: EngineId,
    /// Number of tokens delivered.
    pub position: u32,
}

/// Signs and verifies the event ids of one request.
#[derive(Clone, Debug)]
pub struct EventIds {
    signer: blake3::Hasher,
}

impl EventIds {
    /// Creates the signer for a request with this fingerprint; `tenant` is `None` for callers without an
    /// API key.
    pub fn new(tenant: Option<&Tenant>, fingerprint: &RequestFingerprint) -> Self {
        let secret = tenant.map_or("", |tenant| tenant.key_blake3.as_str());
        let key = blake3::derive_key(KEY_CONTEXT, secret.as_bytes());
        let mut signer = blake3::Hasher::new_keyed(&key);
        signer.update(&fingerprint.0);
        Self { signer }
    }

    /// Appends to `id` the id of an event after which the caller has `point.position` tokens.
    pub fn write(&self, point: &ResumePoint, id: &mut String) {
        let start = id.len();
        // Writing to a string cannot fail.
        let _ = write!(
            id,
            "{}:{}:{}:{}",
            point.request, point.attempt, point.engine, point.position
        );
        let signature = self.sign(&id[start..]);
        id.push(SEPARATOR);
        id.push_str(&signature.to_hex()[..SIGNATURE_DIGITS]);
    }

    /// Verifies and parses an id that a caller sent back.
    pub fn read(&self, id: &str) -> Result<ResumePoint, ResumeError> {
        let (signed, signature) = id.rsplit_once(SEPARATOR).ok_or(ResumeError::Malformed)?;
        let point = parse(signed).ok_or(ResumeError::Malformed)?;
        let expected = self.sign(signed).to_hex();
        // Comparing hashes makes the timing independent of where the signatures differ.
        let given = blake3::hash(signature.as_bytes());
        if given != blake3::hash(&expected.as_bytes()[..SIGNATURE_DIGITS]) {
            return Err(ResumeError::ForeignOrForged);
        }
        Ok(point)
    }

    fn sign(&self, signed: &str) -> blake3::Hash {
        let mut signer = self.signer.clone();
        signer.update(signed.as_bytes());
        signer.finalize()
    }
}

fn parse(signed: &str) -> Option<ResumePoint> {
    let mut fields = signed.split(SEPARATOR);
    let point = ResumePoint {
        request: fields.next()?.parse().ok()?,
        attempt: fields.next()?.parse().ok()?,
        engine: EngineId::from(fields.next()?),
        position: fields.next()?.parse().ok()?,
    };
    fields.next().is_none().then_some(point)
}
