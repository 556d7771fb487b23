//! Authentication of what nodes send each other.
//!
//! Whoever can write to a node's peer port could otherwise publish a load digest, a drain mark or
//! a configuration. Each datagram and frame carries a tag made with a key that only the nodes
//! know. The tag does not hide anything and does not stop a replay; replays change nothing, since
//! records are versioned and members carry incarnations.

use subtle::ConstantTimeEq as _;

/// Bytes of a tag: a forger has one chance in 2^128.
pub const TAG_BYTES: usize = 16;

/// Domain of the key that is derived from the configured secret.
const KEY_CONTEXT: &str = "dalestand 1 peer seal";

/// Why a message was not opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SealError {
    /// It is shorter than a tag.
    #[error("the message is shorter than its tag")]
    TooShort,
    /// Its tag was not made with the nodes' key.
    #[error("the message's tag does not match the nodes' key")]
    WrongTag,
}

/// Seals and opens messages between nodes.
#[derive(Clone)]
pub struct PeerSeal {
    key: Option<[u8; blake3::KEY_LEN]>,
}

impl PeerSeal {
    /// A seal with the nodes' secret; without one, messages carry no tag.
    pub fn new(secret: Option<&str>) -> Self {
        let derive = |secret: &str| blake3::derive_key(KEY_CONTEXT, secret.as_bytes());
        Self {
            key: secret.map(derive),
        }
    }

    /// Bytes that sealing adds to a message.
    pub fn overhead(&self) -> usize {
        if self.key.is_some() { TAG_BYTES } else { 0 }
    }

    /// Adds the tag to the end of a message.
    pub fn seal(&self, message: &mut Vec<u8>) {
        if let Some(key) = &self.key {
            let tag = tag(key, message);
            message.extend_from_slice(&tag);
        }
    }

    /// Yields the message without its tag, if the tag is right.
    pub fn open<'m>(&self, sealed: &'m [u8]) -> Result<&'m [u8], SealError> {
        let Some(key) = &self.key else {
            return Ok(sealed);
        };
        let length = sealed
            .len()
            .checked_sub(TAG_BYTES)
            .ok_or(SealError::TooShort)?;
        let (message, shown) = sealed.split_at(length);
        let matches: bool = tag(key, message).ct_eq(shown).into();
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
