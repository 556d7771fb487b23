//! Prefix affinity without messages between nodes: rendezvous hashing maps the same leading prompt blocks to the same
//! engine at every node, and each node remembers where it has sent a prefix itself.

use std::collections::{HashMap, VecDeque};

use dalestand_types::EngineId;

/// Length of the first block. Each further block doubles the length of the prefix.
const FIRST_BLOCK_BYTES: usize = 512;

/// Most blocks per prompt.
const MAX_BLOCKS: usize = 10;

/// Assumed bytes per token.
const BYTES_PER_TOKEN: usize = 4;

/// Most engines remembered per prefix.
const MAX_HOLDERS: usize = 4;

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// A prefix of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptBlock {
    /// Hash of the prefix.
    pub hash: u64,
    /// Estimated number of tokens of the prefix.
    pub tokens: u32,
}

/// The prefixes of a prompt, each twice as long as the one before.
pub fn prompt_blocks(prompt: &str) -> Vec<PromptBlock> {
    let bytes = prompt.as_bytes();
    let mut blocks = Vec::new();
    let mut hash = FNV_OFFSET;
    let mut start = 0;
    let mut end = FIRST_BLOCK_BYTES;
    while end <= bytes.len() && blocks.len() < MAX_BLOCKS {
        hash = fnv(hash, &bytes[start..end]);
        let tokens = (end / BYTES_PER_TOKEN) as u32;
        blocks.push(PromptBlock { hash, tokens });
        start = end;
        end *= 2;
    }
    blocks
}

fn fnv(start: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(start, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}

/// Hash of a text, the same at all nodes.
pub(crate) fn text_hash(text: &str) -> u64 {
    fnv(FNV_OFFSET, text.as_bytes())
}

/// Hash of an engine's name, the same at all nodes.
pub(crate) fn engine_hash(engine: &EngineId) -> u64 {
    text_hash(engine.as_str())
}

/// Rendezvous weight of an engine for a prefix. The engine with the highest weight is the prefix's home.
pub fn rendezvous_weight(prefix: u64, engine: u64) -> u64 {
    let mut mixed = prefix ^ engine.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// A prefix that this node has sent to an engine before.
#[derive(Clone, Debug, Default)]
pub(crate) struct KnownPrefix {
    pub(crate) hash: u64,
    pub(crate) tokens: u32,
    holders: VecDeque<u64>,
}

impl KnownPrefix {
    /// Whether this node has recently sent the prefix to that engine.
    pub(crate) fn held_by(&self, engine: u64) -> bool {
        self.holders.contains(&engine)
    }
}

/// Recently sent prefixes. Bounded; the oldest are dropped first.
#[derive(Clone, Debug)]
pub(crate) struct PrefixMemory {
    capacity: usize,
    holders: HashMap<u64, VecDeque<u64>>,
    order: VecDeque<u64>,
}

impl PrefixMemory {
    /// An empty store of up to `capacity` prefixes.
    pub(crate) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            holders: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// The longest known prefix of the prompt.
    pub(crate) fn longest_known(&self, blocks: &[PromptBlock]) -> Option<KnownPrefix> {
        blocks.iter().rev().find_map(|block| {
            let holders = self.holders.get(&block.hash)?;
            Some(KnownPrefix {
                hash: block.hash,
                tokens: block.tokens,
                holders: holders.clone(),
            })
        })
    }

    /// Records that a prompt was sent to an engine.
    pub(crate) fn record_sent(&mut self, blocks: &[PromptBlock], engine: u64) {
        for block in blocks {
            self.insert(block.hash, engine);
        }
        while self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.holders.remove(&oldest);
            }
        }
    }

    fn insert(&mut self, hash: u64, engine: u64) {
        if !self.holders.contains_key(&hash) {
            self.order.push_back(hash);
        }
        let holders = self.holders.entry(hash).or_default();
        if let Some(index) = holders.iter().position(|holder| *holder == engine) {
            holders.remove(index);
        }
        holders.push_back(engine);
        if holders.len() > MAX_HOLDERS {
            holders.pop_front();
        }
    }
}
