//! Authorization of operators.

use dalestand_http_server::Request;
use subtle::ConstantTimeEq as _;

/// Paths that need no key, for health checks.
const PUBLIC_PATHS: [&str; 2] = ["/live", "/ready"];

const AUTHORIZATION: &str = "authorization";
const BEARER: &str = "Bearer ";

/// Decides which requests to the operator API are authorized.
pub(super) struct OperatorAccess {
    key_hash: Option<blake3::Hash>,
}

impl OperatorAccess {
    /// Requires the key with this BLAKE3 hash, in hexadecimal; without a hash, no key is required.
    pub(super) fn new(key_blake3: Option<&str>) -> Self {
        // The settings have been validated, so that parsing a hash does not fail.
        let key_hash = key_blake3.and_then(|hash| blake3::Hash::from_hex(hash).ok());
        Self { key_hash }
    }

    pub(super) fn allows(&self, request: &Request) -> bool {
        let Some(expected) = &self.key_hash else {
            return true;
        };
        if PUBLIC_PATHS.contains(&request.path()) {
            return true;
        }
        let header = request.head().headers().get(AUTHORIZATION);
        let key = header.and_then(|value| value.to_str().ok()?.strip_prefix(BEARER));
        let Some(key) = key else {
            return false;
        };
        let key_hash = blake3::hash(key.as_bytes());
        key_hash.as_bytes().ct_eq(expected.as_bytes()).into()
    }
}
