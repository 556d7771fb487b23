//! What makes two requests the same one, though their ids, connections and nodes differ.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Bytes of a fingerprint: two of a million requests have the same with a chance of 1 in 10^26.
const FINGERPRINT_BYTES: usize = 16;

/// The fleet's key. Under it, a fingerprint tells nothing of a body to whoever reads a log, a
/// datagram or the key-value service and guesses at bodies.
#[derive(Clone, PartialEq, Eq)]
pub struct FingerprintKey([u8; blake3::KEY_LEN]);

impl fmt::Debug for FingerprintKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("FingerprintKey(..)")
    }
}

/// The text is no key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a key of {} hexadecimal digits", 2 * blake3::KEY_LEN)]
pub struct ParseKeyError;

impl FingerprintKey {
    /// A new key, drawn at random.
    pub fn generate() -> Self {
        Self(rand::random())
    }

    /// The key that [`Self::to_text`] wrote.
    pub fn parse(text: &str) -> Result<Self, ParseKeyError> {
        let mut key = [0; blake3::KEY_LEN];
        hex::decode_to_slice(text, &mut key).map_err(|_| ParseKeyError)?;
        Ok(Self(key))
    }

    /// The key as hexadecimal digits, for the fleet's other nodes.
    pub fn to_text(&self) -> String {
        hex::encode(self.0)
    }

    /// The fingerprint of a request.
    pub fn fingerprint(&self, identity: &RequestIdentity<'_>) -> RequestFingerprint {
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        let fields = [
            identity.method.as_bytes(),
            identity.host.as_bytes(),
            identity.path.as_bytes(),
            identity.tenant.unwrap_or_default().as_bytes(),
        ];
        for field in fields {
            // The length keeps a field from running into the next one.
            hasher.update(&(field.len() as u64).to_le_bytes());
            hasher.update(field);
        }
        hasher.update(identity.body);
        let mut fingerprint = [0; FINGERPRINT_BYTES];
        hasher.finalize_xof().fill(&mut fingerprint);
        RequestFingerprint(fingerprint)
    }
}

/// What stays the same when a request comes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestIdentity<'r> {
    /// Its method.
    pub method: &'r str,
    /// The host it names.
    pub host: &'r str,
    /// Its path and query.
    pub path: &'r str,
    /// Its tenant, where callers have keys.
    pub tenant: Option<&'r str>,
    /// Its body.
    pub body: &'r [u8],
}

/// The same for each time that one request comes, at whatever node.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "FingerprintHalves", from = "FingerprintHalves")]
pub struct RequestFingerprint([u8; FINGERPRINT_BYTES]);

/// Two numbers take 18 bytes in a message, an array of bytes up to 35.
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

/// The text is no fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not a fingerprint of {} hexadecimal digits", 2 * FINGERPRINT_BYTES)]
pub struct ParseFingerprintError;

impl RequestFingerprint {
    /// The fingerprint that was written as hexadecimal digits.
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
