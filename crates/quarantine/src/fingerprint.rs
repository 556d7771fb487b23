//! Fingerprints of requests and of parts of their prompts: equal for the same request or part, whatever the id of the
//! attempt, the connection and the node.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Length of a fingerprint in bytes. Among a million requests, the chance of a collision is about 1
/// in 10^26.
const FINGERPRINT_BYTES: usize = 16;

/// The fleet-wide hashing key. Without it, nobody who sees a fingerprint in a log, a datagram or
/// the key-value service can test guesses about the request body.
#[derive(Clone, PartialEq, Eq)]
pub struct FingerprintKey([u8; blake3::KEY_LEN]);

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FingerprintKey(..)")
    }
}

/// The text is not a valid fingerprint key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fingerprint key must have {} hexadecimal digits", 2 * blake3::KEY_LEN)]
pub struct ParseKeyError;

impl FingerprintKey {
    /// Generates a random key.
    pub fn generate() -> Self {
        Self(rand::random())
    }

    /// Parses a key written by [`Self::to_text`].
    pub fn parse(text: &str) -> Result<Self, ParseKeyError> {
        let mut key = [0; blake3::KEY_LEN];
        hex::decode_to_slice(text, &mut key).map_err(|_| ParseKeyError)?;
        Ok(Self(key))
    }

    /// Encodes the key as hexadecimal digits, for the other nodes of the fleet.
    pub fn to_text(&self) -> String {
        hex::encode(self.0)
    }

    /// Computes the fingerprint of a request.
    pub fn fingerprint(&self, identity: &RequestIdentity<'_>) -> RequestFingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        let fields = [
            identity.method.as_bytes(),
            identity.host.as_bytes(),
            identity.path.as_bytes(),
            identity.tenant.unwrap_or_default().as_bytes(),
        ];
        for field in fields {
            // The length prefix keeps adjacent fields distinct.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        for segment in identity.body {
            hasher.update(segment);
        }
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut fingerprint);
        RequestFingerprint(fingerprint)
    }

    /// Computes the fingerprint of the prompt part with this id.
    pub fn part(&self, id: u64) -> PartFingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(PART_DOMAIN);
        hasher.update(&id.to_le_bytes());
        let mut fingerprint = [0; size_of::<u64>()];
        hasher.finalize_xof().fill(&mut fingerprint);
        PartFingerprint(u64::from_le_bytes(fingerprint))
    }

    /// Computes the fingerprints of the prompt parts that a request shares with others: all but the last, which belongs
    /// to the request or its session, without duplicates and in order.
    pub fn shared_parts(&self, ids: impl ExactSizeIterator<Item = u64>) -> Vec<PartFingerprint> {
        let shared = ids.len().saturating_sub(1);
        let mut parts = Vec::with_capacity(shared.min(MAX_SHARED_PARTS));
        for id in ids.take(shared) {
            let part = self.part(id);
            if !parts.contains(&part) {
                parts.push(part);
            }
            if parts.len() == MAX_SHARED_PARTS {
                break;
            }
        }
        parts
    }
}

/// Keeps the hashes of parts apart from those of requests.
const PART_DOMAIN: &[u8] = b"prompt part";

/// Maximum number of shared parts of one request, so that its crash record fits into a datagram.
const MAX_SHARED_PARTS: usize = 64;

/// The properties that identify a request when it is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity<'r> {
    /// HTTP method.
    pub method: &'r str,
    /// Host that the request names.
    pub host: &'r str,
    /// Path and query.
    pub path: &'r str,
    /// Name of the tenant; `None` where callers have no keys.
    pub tenant: Option<&'r str>,
    /// Request body, in any number of segments.
    pub body: &'r [Bytes],
}

/// Keyed hash of a request's identity, the same at every node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "FingerprintHalves", from = "FingerprintHalves")]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

/// Two integers serialize to 18 bytes, an array of bytes to up to 35.
type FingerprintHalves = (u64, u64);

impl From<RequestFingerprint> for FingerprintHalves {
    fn from(fingerprint: RequestFingerprint) -> Self {
        let number = u128::from_be_bytes(fingerprint.0);
        ((number >> 64) as u64, number as u64)
    }
}

impl From<FingerprintHalves> for RequestFingerprint {
    fn from((high, low): FingerprintHalves) -> Self {
        Self((u128::from(high) << 64 | u128::from(low)).to_be_bytes())
    }
}

/// The text is not a valid fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fingerprint must have {} hexadecimal digits", 2 * FINGERPRINT_BYTES)]
pub struct ParseFingerprintError;

impl RequestFingerprint {
    /// Parses a fingerprint written as hexadecimal digits.
    pub fn parse(text: &str) -> Result<Self, ParseFingerprintError> {
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        hex::decode_to_slice(text, &mut fingerprint).map_err(|_| ParseFingerprintError)?;
        Ok(Self(fingerprint))
    }
}

impl RequestFingerprint {
    /// A part of the fingerprint, to tell a few requests apart.
    pub fn short(self) -> u32 {
        let [first, second, third, fourth, ..] = self.0;
        u32::from_be_bytes([first, second, third, fourth])
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "RequestFingerprint({self})")
    }
}

/// Keyed hash of the id of a prompt part, the same at every node. Among 100,000 parts, the chance of a collision is about
/// 1 in 4 billion.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartFingerprint(u64);

/// The text is not a valid fingerprint of a prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("fingerprint of a prompt part must have {} hexadecimal digits", 2 * size_of::<u64>())]
pub struct ParsePartFingerprintError;

impl PartFingerprint {
    /// Parses a fingerprint written as hexadecimal digits.
    pub fn parse(text: &str) -> Result<Self, ParsePartFingerprintError> {
        let mut bytes = [0; size_of::<u64>()];
        hex::decode_to_slice(text, &mut bytes).map_err(|_| ParsePartFingerprintError)?;
        Ok(Self(u64::from_be_bytes(bytes)))
    }
}

impl fmt::Display for PartFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl fmt::Debug for PartFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "PartFingerprint({self})")
    }
}
