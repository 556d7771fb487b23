//! Event ids that let a caller resume a broken stream at any node.
//!
//! An id names the request, the engine, the attempt and the count of tokens delivered. It is
//! signed with a key derived from the tenant's key hash, which every node has from the
//! configuration: no node keeps anything for a resume, a change of configuration does not end it,
//! and no caller can use another's ids. The signature also covers the request's fingerprint, so
//! an id resumes only the request it was given for. Callers without a key share one signing key;
//! for them an id gives nothing that the whole request, which must be repeated, does not.

use std::fmt::Write as _;

use dalestand_config::Tenant;
use dalestand_types::{AttemptId, EngineId, RequestId};

use crate::claim::RequestFingerprint;

const KEY_CONTEXT: &str = "dalestand 2026 event id of a resumable stream";

/// Hexadecimal digits of a signature: 128 bits.
const SIGNATURE_DIGITS: usize = 32;

/// Separates the fields of an id. No name contains it.
const SEPARATOR: char = ':';

/// Why an event id cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResumeError {
    /// It is not written like an event id.
    #[error("Last-Event-ID is not an event id of this service")]
    Malformed,
    /// It was not given to this caller for this request.
    #[error("Last-Event-ID belongs to another caller or another request")]
    ForeignOrForged,
}

/// Where a stream broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResumePoint {
    /// The request.
    pub request: RequestId,
    /// The attempt that delivered the last token.
    pub attempt: AttemptId,
    /// The engine that ran it.
    pub engine: EngineId,
    /// Tokens delivered.
    pub position: u32,
}

/// Signs and checks event ids of one caller's request.
#[derive(Clone, Debug)]
pub struct EventIds {
    signer: blake3::Hasher,
}

impl EventIds {
    /// Ids of a request with that fingerprint, of `tenant` or of callers without a key.
    pub fn new(tenant: Option<&Tenant>, fingerprint: &RequestFingerprint) -> Self {
        let secret = tenant.map_or("", |tenant| tenant.key_blake3.as_str());
        let key = blake3::derive_key(KEY_CONTEXT, secret.as_bytes());
        let mut signer = blake3::Hasher::new_keyed(&key);
        signer.update(&fingerprint.0);
        Self { signer }
    }

    /// The id of an event after which the caller has `point.position` tokens.
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

    /// Reads an id that a caller sent back.
    pub fn read(&self, id: &str) -> Result<ResumePoint, ResumeError> {
        let (signed, signature) = id.rsplit_once(SEPARATOR).ok_or(ResumeError::Malformed)?;
        let point = parse(signed).ok_or(ResumeError::Malformed)?;
        let expected = self.sign(signed).to_hex();
        // Hashing both sides makes the comparison independent of where they differ.
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
