//! Authentication of messages between nodes.
//!
//! Each datagram and frame carries an authentication tag made with a key that only the nodes know.
//! Without it, anyone who can reach a node's peer port could publish load digests, drain marks or a
//! configuration. Messages are not encrypted, and replays are not rejected; a replay has no effect,
//! since records are versioned and members carry incarnations.

use subtle::ConstantTimeEq as _;

/// Length of a tag in bytes. A guessed tag is valid with probability 2^-128.
pub const TAG_BYTES: usize = 16;

/// Context string for deriving the key from the configured secret.
const KEY_CONTEXT: &str = "dalestand 1 peer seal";

/// Why a message was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// The message is shorter than a tag.
    #[error("the message is shorter than an authentication tag")]
    TooShort,
    /// The tag does not match the message and the nodes' key.
    #[error("the authentication tag does not match the message and the nodes' key")]
    WrongTag,
}

/// Adds and verifies the tags of messages between nodes.
#[derive(Clone)]
pub struct PeerSeal {
    key: Option<[u8; blake3::KEY_LEN]>,
}

impl PeerSeal {
    /// Creates a seal from the nodes' shared secret. Without a secret, messages carry no tag and all are
    /// accepted.
    pub fn new(secret: Option<&str>) -> Self {
        let derive = |secret: &str| blake3::derive_key(KEY_CONTEXT, secret.as_bytes());
        Self {
            key: secret.map(derive),
        }
    }

    /// Number of bytes that sealing adds to a message.
    pub fn overhead(&self) -> usize {
        if self.key.is_some() { TAG_BYTES } else { 0 }
    }

    /// Appends the tag to a message.
    pub fn seal(&self, message: &mut Vec<u8>) {
        if let Some(key) = &self.key {
            let tag = tag(key, message);
            message.extend_from_slice(&tag);
        }
    }

    /// Verifies the tag and returns the message without it.
    pub fn open<'m>(&self, sealed: &'m [u8]) -> Result<&'m [u8], SealError> {
        let Some(key) = &self.key else {
            return Ok(sealed);
        };
        let length = sealed
            .len()
            .checked_sub(TAG_BYTES)
            .ok_or(SealError::TooShort)?;
        let (message, received_tag) = sealed.split_at(length);
        let matches: bool = tag(key, message).ct_eq(received_tag).into();
        if matches {
            Ok(message)
        } else {
            Err(SealError::WrongTag)
        }
    }
}

fn tag(key: &[u8; blake3::KEY_LEN], message: &[u8]) -> [u8; TAG_BYTES] {
    let hash = blake3::keyed_hash(key, message);
    let mut tag = [0; TAG_BYTES];
    tag.copy_from_slice(&hash.as_bytes()[..TAG_BYTES]);
    tag
}
