//! Operators' key.

use dalestand_http_server::Request;
use subtle::ConstantTimeEq as _;

/// Paths that answer without a key: what a machine's supervisor asks.
const OPEN_PATHS: [&str; 2] = ["/live", "/ready"];

const AUTHORIZATION: &str = "authorization";
const BEARER: &str = "Bearer ";

/// Decides who may use the operators' surface.
pub(super) struct OperatorAccess {
    key_hash: Option<blake3::Hash>,
}

impl OperatorAccess {
    /// Access by the key with this BLAKE3 hash; without one, everybody has access.
    pub(super) fn new(key_blake3: Option<&str>) -> Self {
        // The settings were checked: a hash that is there can be read.
        let key_hash = key_blake3.and_then(|hash| blake3::Hash::from_hex(hash).ok());
        Self { key_hash }
    }

    /// Whether the request may be answered.
    pub(super) fn allows(&self, request: &Request) -> bool {
        let Some(expected) = &self.key_hash else {
            return true;
        };
        if OPEN_PATHS.contains(&request.path()) {
            return true;
        }
        let header = request.head().headers().get(AUTHORIZATION);
        let key = header.and_then(|value| value.to_str().ok()?.strip_prefix(BEARER));
        let Some(key) = key else {
            return false;
        };
        let shown = blake3::hash(key.as_bytes());
        shown.as_bytes().ct_eq(expected.as_bytes()).into()
    }
}
