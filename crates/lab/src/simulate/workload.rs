//! The requests of a scenario, the same for every policy.

use dalestand_routing::PromptBlock;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_distr::{Distribution as _, Exp, LogNormal};

use super::scenario::{Class, Length, Scenario};

/// Microseconds of a second.
pub(crate) const SECOND_US: f64 = 1e6;

/// Tokens of a prompt's first block; each further block doubles the length.
const FIRST_BLOCK_TOKENS: u32 = 128;

/// Spreads the numbers of streams over the seeds.
const STREAM_FACTOR: u64 = 0x9e37_79b9_7f4a_7c15;

/// One request as it is offered.
#[derive(Clone, Debug, PartialEq)]
pub struct OfferedRequest {
    /// When its caller sends it, in microseconds.
    pub(crate) sent_us: u64,
    /// Place of its class.
    pub(crate) class: usize,
    /// Node it comes to.
    pub(crate) node: usize,
    /// Prompt tokens.
    pub(crate) prompt_tokens: u32,
    /// Tokens of the answer.
    pub(crate) output_tokens: u32,
    /// The shared leading part, where it has one.
    pub(crate) prefix: Option<Prefix>,
}

/// A shared leading part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prefix {
    /// Which one.
    pub(crate) id: u64,
    /// Its tokens.
    pub(crate) tokens: u32,
}

impl OfferedRequest {
    /// The prompt's leading blocks, as a node would hash them.
    pub(crate) fn blocks(&self, number: usize) -> Vec<PromptBlock> {
        let shared = self.prefix.map_or(0, |prefix| prefix.tokens);
        let mut blocks = Vec::new();
        let mut tokens = FIRST_BLOCK_TOKENS;
        while tokens <= self.prompt_tokens {
            let owner = match self.prefix {
                Some(prefix) if tokens <= shared => prefix.id,
                _ => number as u64 | 1 << 63,
            };
            let hash = owner.wrapping_mul(STREAM_FACTOR) ^ u64::from(tokens);
            blocks.push(PromptBlock { hash, tokens });
            tokens *= 2;
        }
        blocks
    }
}

/// A generator of its own for each purpose, so that one does not shift the other.
pub(crate) fn generator(seed: u64, stream: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed ^ (stream + 1).wrapping_mul(STREAM_FACTOR))
}

/// All requests of a scenario, by time.
pub fn offered_requests(scenario: &Scenario, seed: u64) -> Vec<OfferedRequest> {
    let nodes: usize = scenario.zones.iter().map(|zone| zone.nodes).sum();
    let mut requests = Vec::new();
    for (place, class) in scenario.classes.iter().enumerate() {
        let mut random = generator(seed, place as u64);
        for sent_us in arrivals(scenario, class, &mut random) {
            requests.push(request(place, class, sent_us, nodes, &mut random));
        }
    }
    requests.sort_by_key(|request| (request.sent_us, request.class));
    requests
}

/// Times of a Poisson process whose rate follows the phases, by thinning.
fn arrivals(scenario: &Scenario, class: &Class, random: &mut ChaCha8Rng) -> Vec<u64> {
    let mut times = Vec::new();
    let mut start_s = 0.0;
    for phase in &scenario.phases {
        let highest = phase.highest_rate(&class.name);
        if let Ok(gaps) = Exp::new(highest)
            && highest > 0.0
        {
            let mut second = gaps.sample(random);
            while second < phase.duration_s {
                if random.random::<f64>() * highest < phase.rate(&class.name, second) {
                    times.push(((start_s + second) * SECOND_US) as u64);
                }
                second += gaps.sample(random);
            }
        }
        start_s += phase.duration_s;
    }
    times
}

fn request(
    place: usize,
    class: &Class,
    sent_us: u64,
    nodes: usize,
    random: &mut ChaCha8Rng,
) -> OfferedRequest {
    let own_tokens = length(&class.prompt, random);
    let prefix = class.prefix.as_ref().and_then(|prefix| {
        let has_one = random.random::<f64>() < prefix.share;
        // Some shared parts are much more in use than others.
        let rank = random.random::<f64>().powi(2) * f64::from(prefix.count);
        has_one.then_some(Prefix {
            id: (place as u64) << 32 | rank as u64,
            tokens: prefix.tokens,
        })
    });
    OfferedRequest {
        sent_us,
        class: place,
        node: random.random_range(0..nodes),
        prompt_tokens: own_tokens + prefix.map_or(0, |prefix| prefix.tokens),
        output_tokens: length(&class.output, random),
        prefix,
    }
}

fn length(length: &Length, random: &mut ChaCha8Rng) -> u32 {
    let Ok(distribution) = LogNormal::new(length.median.ln(), length.sigma) else {
        return length.median as u32;
    };
    let drawn = distribution.sample(random).round();
    drawn.clamp(1.0, f64::from(length.max)) as u32
}
