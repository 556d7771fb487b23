//! The requests of a scenario, the same for every policy.

use dalestand_routing::PromptBlock;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_distr::{Distribution as _, Exp, LogNormal};

use super::scenario::{Class, Length, Scenario};

/// Microseconds per second.
pub(crate) const MICROS_PER_SECOND: f64 = 1e6;

/// Tokens of the first block of a prompt; each further block doubles the prefix that is hashed.
const FIRST_BLOCK_TOKENS: u32 = 128;

/// Multiplier that spreads stream numbers and prefix ids over 64 bits.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// A request as sent by its caller.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferedRequest {
    /// When the caller sends it, in microseconds.
    pub(crate) sent_us: u64,
    /// Index of its class.
    pub(crate) class: usize,
    /// Index of the node that receives it.
    pub(crate) node: usize,
    /// Prompt tokens.
    pub(crate) prompt_tokens: u32,
    /// Output tokens.
    pub(crate) output_tokens: u32,
    /// Shared prefix of the prompt, if any.
    pub(crate) prefix: Option<Prefix>,
}

/// A shared prompt prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prefix {
    pub(crate) id: u64,
    /// Length in tokens.
    pub(crate) tokens: u32,
}

impl OfferedRequest {
    /// Hashed leading blocks of the prompt. `index` is the index of the request, which makes the
    /// blocks beyond the shared prefix unique.
    pub(crate) fn blocks(&self, index: usize) -> Vec<PromptBlock> {
        let shared = self.prefix.map_or(0, |prefix| prefix.tokens);
        let mut blocks = Vec::new();
        let mut tokens = FIRST_BLOCK_TOKENS;
        while tokens <= self.prompt_tokens {
            let owner = match self.prefix {
                Some(prefix) if tokens <= shared => prefix.id,
                _ => index as u64 | 1 << 63,
            };
            let hash = owner.wrapping_mul(HASH_MULTIPLIER) ^ u64::from(tokens);
            blocks.push(PromptBlock { hash, tokens });
            tokens *= 2;
        }
        blocks
    }
}

/// Creates an independent random stream per purpose, so that draws from one do not shift another.
pub(crate) fn random_stream(seed: u64, stream: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed ^ (stream + 1).wrapping_mul(HASH_MULTIPLIER))
}

/// Generates all requests of a scenario, ordered by time.
pub fn offered_requests(scenario: &Scenario, seed: u64) -> Vec<OfferedRequest> {
    let nodes: usize = scenario.zones.iter().map(|zone| zone.nodes).sum();
    let mut requests = Vec::new();
    for (class_index, class) in scenario.classes.iter().enumerate() {
        let mut random = random_stream(seed, class_index as u64);
        for sent_us in arrivals(scenario, class, &mut random) {
            requests.push(request(class_index, class, sent_us, nodes, &mut random));
        }
    }
    requests.sort_by_key(|request| (request.sent_us, request.class));
    requests
}

/// Samples arrival times, in microseconds, from a Poisson process with the rates of the phases, by
/// thinning.
fn arrivals(scenario: &Scenario, class: &Class, random: &mut ChaCha8Rng) -> Vec<u64> {
    let mut times = Vec::new();
    let mut start_s = 0.0;
    for phase in &scenario.phases {
        let max_rate = phase.max_rate(&class.name);
        if let Ok(gaps) = Exp::new(max_rate)
            && max_rate > 0.0
        {
            let mut second = gaps.sample(random);
            while second < phase.duration_s {
                if random.random::<f64>() * max_rate < phase.rate(&class.name, second) {
                    times.push(((start_s + second) * MICROS_PER_SECOND) as u64);
                }
                second += gaps.sample(random);
            }
        }
        start_s += phase.duration_s;
    }
    times
}

fn request(
    class_index: usize,
    class: &Class,
    sent_us: u64,
    nodes: usize,
    random: &mut ChaCha8Rng,
) -> OfferedRequest {
    let own_tokens = sample_length(&class.prompt, random);
    let prefix = class.prefix.as_ref().and_then(|prefix| {
        let has_prefix = random.random::<f64>() < prefix.share;
        // Squaring skews the choice towards the first prefixes.
        let rank = random.random::<f64>().powi(2) * f64::from(prefix.count);
        has_prefix.then_some(Prefix {
            id: (class_index as u64) << 32 | rank as u64,
            tokens: prefix.tokens,
        })
    });
    OfferedRequest {
        sent_us,
        class: class_index,
        node: random.random_range(0..nodes),
        prompt_tokens: own_tokens + prefix.map_or(0, |prefix| prefix.tokens),
        output_tokens: sample_length(&class.output, random),
        prefix,
    }
}

fn sample_length(length: &Length, random: &mut ChaCha8Rng) -> u32 {
    let Ok(distribution) = LogNormal::new(length.median.ln(), length.sigma) else {
        return length.median as u32;
    };
    let tokens = distribution.sample(random).round();
    tokens.clamp(1.0, f64::from(length.max)) as u32
}
