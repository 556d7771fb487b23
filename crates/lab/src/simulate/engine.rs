//! A simulated engine: continuous batching, a bounded KV cache, refusals and role changes.

use std::collections::VecDeque;

use dalestand_routing::Placement;
use dalestand_types::Role;

use super::prefix_cache::PrefixCache;
use super::scenario::EngineSettings;
use super::workload::Prefix;

/// A waiting request counts as one priority higher after each of these.
const AGEING_US: u64 = 4_000_000;

/// Share of the chunk bound that holds for an engine that runs prompts only.
const PREFILL_ROLE_CHUNK_FACTOR: u32 = 4;

/// Whether and how an engine serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Service {
    /// It takes work.
    Serving,
    /// It finishes what it holds and then changes its role.
    Draining { to: Role },
    /// It changes its role.
    Changing { to: Role },
    /// It has crashed or loads its weights.
    Down,
}

/// A request that an engine holds.
#[derive(Clone, Debug)]
pub(crate) struct Sequence {
    pub(crate) attempt: usize,
    pub(crate) placement: Placement,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) prefix: Option<Prefix>,
    pub(crate) priority: u8,
    pub(crate) queued_us: u64,
    prompt_left: u32,
    generated: u32,
    cached: u32,
    chunk: u32,
    last_token_us: u64,
}

impl Sequence {
    /// A request as it reaches an engine.
    pub(crate) fn new(
        attempt: usize,
        placement: Placement,
        tokens: (u32, u32),
        prefix: Option<Prefix>,
        priority: u8,
        queued_us: u64,
    ) -> Self {
        let (prompt_tokens, output_tokens) = tokens;
        let prompt_left = match placement {
            Placement::DecodeOnly => 0,
            Placement::Whole | Placement::PrefillOnly => prompt_tokens,
        };
        Self {
            attempt,
            placement,
            prompt_tokens,
            output_tokens,
            prefix,
            priority,
            queued_us,
            prompt_left,
            generated: 0,
            cached: 0,
            chunk: 0,
            last_token_us: 0,
        }
    }

    fn reserved_tokens(&self) -> u64 {
        let output = match self.placement {
            Placement::PrefillOnly => 0,
            Placement::Whole | Placement::DecodeOnly => self.output_tokens,
        };
        u64::from(self.prompt_tokens) + u64::from(output)
    }

    fn effective_priority(&self, now_us: u64) -> u64 {
        u64::from(self.priority) + now_us.saturating_sub(self.queued_us) / AGEING_US
    }
}

/// What a step brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepOutput {
    /// The first token of an answer; how many prompt tokens were in the prefix cache.
    FirstToken { attempt: usize, cached: u32 },
    /// A later token, so long after the one before.
    Token { gap_us: u64 },
    /// The whole answer.
    Finished { attempt: usize },
    /// The prompt of a request whose output runs elsewhere.
    Prefilled { attempt: usize, cached: u32 },
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    settings: EngineSettings,
    pub(crate) role: Role,
    pub(crate) service: Service,
    pub(crate) incarnation: u64,
    /// Counts steps and changes, so that an event of the past is known as such.
    pub(crate) generation: u64,
    pub(crate) exports: u32,
    pub(crate) export_free_us: u64,
    pub(crate) prefill_tokens: u64,
    pub(crate) decode_tokens: u64,
    stepping: bool,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    importing: Vec<Sequence>,
    reserved_tokens: u64,
    prefixes: PrefixCache,
}

impl Engine {
    /// An empty engine.
    pub(crate) fn new(settings: EngineSettings, role: Role) -> Self {
        let prefixes = PrefixCache::new(settings.prefix_tokens);
        Self {
            settings,
            role,
            service: Service::Serving,
            incarnation: 1,
            generation: 0,
            exports: 0,
            export_free_us: 0,
            prefill_tokens: 0,
            decode_tokens: 0,
            stepping: false,
            waiting: VecDeque::new(),
            running: Vec::new(),
            importing: Vec::new(),
            reserved_tokens: 0,
            prefixes,
        }
    }

    /// Its settings.
    pub(crate) fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Requests in the batch.
    pub(crate) fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Requests taken that are not in the batch.
    pub(crate) fn waiting(&self) -> u32 {
        (self.waiting.len() + self.importing.len()) as u32
    }

    /// Prompt tokens not yet run.
    pub(crate) fn queued_prefill_tokens(&self) -> u64 {
        let held = self.running.iter().chain(&self.waiting);
        held.map(|one| u64::from(one.prompt_left)).sum()
    }

    /// KV cache in use, in tokens.
    pub(crate) fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens
    }

    /// Whether nothing is held that a change of role would cut.
    pub(crate) fn drained(&self) -> bool {
        self.running.is_empty()
            && self.waiting.is_empty()
            && self.importing.is_empty()
            && self.exports == 0
    }

    /// Takes a request; yields whether it did.
    pub(crate) fn offer(&mut self, sequence: Sequence) -> bool {
        if self.service != Service::Serving {
            return false;
        }
        let fits = match sequence.placement {
            Placement::Whole => self.role == Role::Mixed,
            Placement::PrefillOnly => self.role.runs_prefill(),
            Placement::DecodeOnly => self.role.runs_decode(),
        };
        if !fits {
            return false;
        }
        if self.running() + self.waiting() >= self.settings.capacity {
            return false;
        }
        if sequence.placement == Placement::DecodeOnly {
            self.importing.push(sequence);
        } else {
            self.waiting.push_back(sequence);
        }
        true
    }

    /// The KV cache of a request has come in.
    pub(crate) fn imported(&mut self, attempt: usize) {
        if let Some(place) = self.importing.iter().position(|one| one.attempt == attempt) {
            let sequence = self.importing.swap_remove(place);
            self.waiting.push_back(sequence);
        }
    }

    /// Loses everything; yields the attempts it held.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        let held = self.waiting.drain(..).chain(self.running.drain(..));
        let attempts = held
            .chain(self.importing.drain(..))
            .map(|sequence| sequence.attempt)
            .collect();
        self.prefixes.clear();
        self.reserved_tokens = 0;
        self.exports = 0;
        self.prefill_tokens = 0;
        self.decode_tokens = 0;
        self.stepping = false;
        self.service = Service::Down;
        self.generation += 1;
        attempts
    }

    /// Begins a step if none runs and there is work; yields its length in microseconds.
    pub(crate) fn begin_step(&mut self, now_us: u64) -> Option<u64> {
        if self.stepping {
            return None;
        }
        self.admit(now_us);
        if self.running.is_empty() {
            return None;
        }
        self.stepping = true;
        self.generation += 1;
        let mut budget = self.settings.prefill_chunk;
        if self.role == Role::Prefill {
            budget *= PREFILL_ROLE_CHUNK_FACTOR;
        }
        let (mut prefill, mut decoding, mut context) = (0_u32, 0_u32, 0_u64);
        for sequence in &mut self.running {
            sequence.chunk = sequence.prompt_left.min(budget - prefill);
            prefill += sequence.chunk;
            if sequence.prompt_left == 0 {
                decoding += 1;
                context += u64::from(sequence.prompt_tokens + sequence.generated);
            }
        }
        Some(self.step_us(prefill, decoding, context))
    }

    fn step_us(&self, prefill: u32, decoding: u32, context: u64) -> u64 {
        let settings = &self.settings;
        let output = f64::from(decoding) * settings.step_per_sequence_us
            + context as f64 / 1_000.0 * settings.step_per_context_us;
        let prompt = f64::from(prefill) * settings.prefill_token_us;
        let overhead = if prefill > 0 && decoding > 0 {
            1.0 + settings.mixed_overhead
        } else {
            1.0
        };
        ((settings.step_us + output + prompt) * overhead) as u64
    }

    /// Ends a step.
    pub(crate) fn finish_step(&mut self, now_us: u64, outputs: &mut Vec<StepOutput>) {
        self.stepping = false;
        let mut freed = 0;
        let mut prefilled = 0;
        let mut generated = 0;
        let prefixes = &mut self.prefixes;
        self.running.retain_mut(|sequence| {
            if sequence.prompt_left > 0 {
                prefilled += u64::from(sequence.chunk);
                sequence.prompt_left -= sequence.chunk;
                if sequence.prompt_left > 0 {
                    return true;
                }
                if let Some(prefix) = sequence.prefix {
                    prefixes.keep(prefix.id, prefix.tokens);
                }
                if sequence.placement == Placement::PrefillOnly {
                    freed += sequence.reserved_tokens();
                    let (attempt, cached) = (sequence.attempt, sequence.cached);
                    outputs.push(StepOutput::Prefilled { attempt, cached });
                    return false;
                }
            }
            generated += 1;
            sequence.generated += 1;
            let attempt = sequence.attempt;
            if sequence.generated == 1 {
                let cached = sequence.cached;
                outputs.push(StepOutput::FirstToken { attempt, cached });
            } else {
                let gap_us = now_us - sequence.last_token_us;
                outputs.push(StepOutput::Token { gap_us });
            }
            sequence.last_token_us = now_us;
            if sequence.generated < sequence.output_tokens {
                return true;
            }
            freed += sequence.reserved_tokens();
            outputs.push(StepOutput::Finished { attempt });
            false
        });
        self.reserved_tokens -= freed;
        self.prefill_tokens += prefilled;
        self.decode_tokens += generated;
    }

    /// Moves waiting requests into the batch, the most important first.
    fn admit(&mut self, now_us: u64) {
        while self.running() < self.settings.max_running {
            let places = 0..self.waiting.len();
            let first = places.max_by_key(|place| {
                let sequence = &self.waiting[*place];
                let order = std::cmp::Reverse((sequence.queued_us, sequence.attempt));
                (sequence.effective_priority(now_us), order)
            });
            let Some(place) = first else {
                return;
            };
            let needed = self.waiting[place].reserved_tokens();
            let fits = self.reserved_tokens + needed <= self.settings.cache_tokens;
            if !fits && !self.running.is_empty() {
                return;
            }
            let Some(mut sequence) = self.waiting.remove(place) else {
                return;
            };
            self.reserved_tokens += needed;
            if sequence.prompt_left > 0
                && let Some(prefix) = sequence.prefix
            {
                // The last token is run again, as its output is needed.
                sequence.cached = self
                    .prefixes
                    .find(prefix.id)
                    .min(sequence.prompt_tokens - 1);
                sequence.prompt_left -= sequence.cached;
            }
            self.running.push(sequence);
        }
    }
}
