//! Request fingerprints: equal for the same request whatever its id, connection and node.

use std::fmt;

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
        hasher.update(identity.body);
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut fingerprint);
        RequestFingerprint(fingerprint)
    }
}

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
    /// Request body.
    pub body: &'r [u8],
}

/// Keyed hash of a request's identity, the same at every node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "FingerprintHalves", from = "FingerprintHalves")]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

/// Two integers serialise to 18 bytes, an array of bytes to up to 35.
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
