//! Simulated engine with continuous batching, a bounded KV cache, rejections and role changes.

use std::collections::VecDeque;

use dalestand_routing::Placement;
use dalestand_types::Role;

use super::prefix_cache::PrefixCache;
use super::scenario::EngineSettings;
use super::workload::Prefix;

/// Waiting time that raises a request's priority by one.
const PRIORITY_AGEING_US: u64 = 4_000_000;

/// Factor by which the prefill chunk of a prefill-only engine is larger.
const PREFILL_ROLE_CHUNK_FACTOR: u32 = 4;

/// Service state of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Service {
    /// Accepts requests.
    Serving,
    /// Finishes its requests before it changes its role.
    Draining { to: Role },
    /// Changes its role.
    ChangingRole { to: Role },
    /// Has crashed or is loading its weights.
    Down,
}

/// A request at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Sequence {
    pub(crate) attempt: usize,
    pub(crate) placement: Placement,
    pub(crate) prompt_tokens: u32,
    pub(crate) output_tokens: u32,
    pub(crate) prefix: Option<Prefix>,
    pub(crate) priority: u8,
    pub(crate) queued_at_us: u64,
    remaining_prompt: u32,
    generated: u32,
    cached: u32,
    chunk: u32,
    last_token_at_us: u64,
}

impl Sequence {
    /// Creates a request that has just arrived; `tokens` is prompt and output tokens.
    pub(crate) fn new(
        attempt: usize,
        placement: Placement,
        tokens: (u32, u32),
        prefix: Option<Prefix>,
        priority: u8,
        queued_at_us: u64,
    ) -> Self {
        let (prompt_tokens, output_tokens) = tokens;
        let remaining_prompt = match placement {
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
            queued_at_us,
            remaining_prompt,
            generated: 0,
            cached: 0,
            chunk: 0,
            last_token_at_us: 0,
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
        u64::from(self.priority) + now_us.saturating_sub(self.queued_at_us) / PRIORITY_AGEING_US
    }
}

/// Output of a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StepOutput {
    /// The first token of a response; `cached` prompt tokens were in the prefix cache.
    FirstToken { attempt: usize, cached: u32 },
    /// A later token, generated `gap_us` after the previous one.
    Token { gap_us: u64 },
    /// The response is complete.
    Finished { attempt: usize },
    /// The prompt of a disaggregated request is prefilled.
    Prefilled { attempt: usize, cached: u32 },
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub(crate) struct Engine {
    settings: EngineSettings,
    pub(crate) role: Role,
    pub(crate) service: Service,
    pub(crate) incarnation: u64,
    /// Incremented by each step and crash, so that events scheduled before can be recognised as
    /// stale.
    pub(crate) generation: u64,
    pub(crate) pending_exports: u32,
    pub(crate) export_free_at_us: u64,
    pub(crate) prefill_tokens: u64,
    pub(crate) decode_tokens: u64,
    is_stepping: bool,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    importing: Vec<Sequence>,
    reserved_tokens: u64,
    prefixes: PrefixCache,
}

impl Engine {
    /// Creates an idle engine.
    pub(crate) fn new(settings: EngineSettings, role: Role) -> Self {
        let prefixes = PrefixCache::new(settings.prefix_tokens);
        Self {
            settings,
            role,
            service: Service::Serving,
            incarnation: 1,
            generation: 0,
            pending_exports: 0,
            export_free_at_us: 0,
            prefill_tokens: 0,
            decode_tokens: 0,
            is_stepping: false,
            waiting: VecDeque::new(),
            running: Vec::new(),
            importing: Vec::new(),
            reserved_tokens: 0,
            prefixes,
        }
    }

    pub(crate) fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Number of requests in the batch.
    pub(crate) fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of accepted requests that are not in the batch, including those importing a KV cache.
    pub(crate) fn waiting(&self) -> u32 {
        (self.waiting.len() + self.importing.len()) as u32
    }

    /// Prompt tokens that are not yet prefilled.
    pub(crate) fn queued_prefill_tokens(&self) -> u64 {
        let sequences = self.running.iter().chain(&self.waiting);
        sequences
            .map(|sequence| u64::from(sequence.remaining_prompt))
            .sum()
    }

    /// KV cache reserved for running requests, in tokens.
    pub(crate) fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens
    }

    /// Whether no request or export would be interrupted by a role change.
    pub(crate) fn is_drained(&self) -> bool {
        self.running.is_empty()
            && self.waiting.is_empty()
            && self.importing.is_empty()
            && self.pending_exports == 0
    }

    /// Accepts a request if the state, role and capacity allow it; returns whether it did.
    pub(crate) fn try_accept(&mut self, sequence: Sequence) -> bool {
        if self.service != Service::Serving {
            return false;
        }
        let role_fits = match sequence.placement {
            Placement::Whole => self.role == Role::Mixed,
            Placement::PrefillOnly => self.role.runs_prefill(),
            Placement::DecodeOnly => self.role.runs_decode(),
        };
        if !role_fits {
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

    /// Queues a request whose KV cache import is complete.
    pub(crate) fn finish_import(&mut self, attempt: usize) {
        if let Some(index) = self
            .importing
            .iter()
            .position(|sequence| sequence.attempt == attempt)
        {
            let sequence = self.importing.swap_remove(index);
            self.waiting.push_back(sequence);
        }
    }

    /// Discards all requests and caches; returns the attempts that were lost.
    pub(crate) fn crash(&mut self) -> Vec<usize> {
        let sequences = self.waiting.drain(..).chain(self.running.drain(..));
        let attempts = sequences
            .chain(self.importing.drain(..))
            .map(|sequence| sequence.attempt)
            .collect();
        self.prefixes.clear();
        self.reserved_tokens = 0;
        self.pending_exports = 0;
        self.prefill_tokens = 0;
        self.decode_tokens = 0;
        self.is_stepping = false;
        self.service = Service::Down;
        self.generation += 1;
        attempts
    }

    /// Starts a step if none is running and there is work; returns its duration in microseconds.
    pub(crate) fn begin_step(&mut self, now_us: u64) -> Option<u64> {
        if self.is_stepping {
            return None;
        }
        self.admit(now_us);
        if self.running.is_empty() {
            return None;
        }
        self.is_stepping = true;
        self.generation += 1;
        let mut budget = self.settings.prefill_chunk;
        if self.role == Role::Prefill {
            budget *= PREFILL_ROLE_CHUNK_FACTOR;
        }
        let (mut prefill, mut decoding, mut context) = (0_u32, 0_u32, 0_u64);
        for sequence in &mut self.running {
            sequence.chunk = sequence.remaining_prompt.min(budget - prefill);
            prefill += sequence.chunk;
            if sequence.remaining_prompt == 0 {
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

    /// Finishes the running step and appends its outputs.
    pub(crate) fn finish_step(&mut self, now_us: u64, outputs: &mut Vec<StepOutput>) {
        self.is_stepping = false;
        let mut freed = 0;
        let mut prefilled = 0;
        let mut generated = 0;
        let prefixes = &mut self.prefixes;
        self.running.retain_mut(|sequence| {
            if sequence.remaining_prompt > 0 {
                prefilled += u64::from(sequence.chunk);
                sequence.remaining_prompt -= sequence.chunk;
                if sequence.remaining_prompt > 0 {
                    return true;
                }
                if let Some(prefix) = sequence.prefix {
                    prefixes.store(prefix.id, prefix.tokens);
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
                let gap_us = now_us - sequence.last_token_at_us;
                outputs.push(StepOutput::Token { gap_us });
            }
            sequence.last_token_at_us = now_us;
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

    /// Moves waiting requests into the batch, those of the highest effective priority first.
    fn admit(&mut self, now_us: u64) {
        while self.running() < self.settings.max_running {
            let indices = 0..self.waiting.len();
            let first = indices.max_by_key(|index| {
                let sequence = &self.waiting[*index];
                let order = std::cmp::Reverse((sequence.queued_at_us, sequence.attempt));
                (sequence.effective_priority(now_us), order)
            });
            let Some(index) = first else {
                return;
            };
            let needed = self.waiting[index].reserved_tokens();
            let fits = self.reserved_tokens + needed <= self.settings.cache_tokens;
            if !fits && !self.running.is_empty() {
                return;
            }
            let Some(mut sequence) = self.waiting.remove(index) else {
                return;
            };
            self.reserved_tokens += needed;
            if sequence.remaining_prompt > 0
                && let Some(prefix) = sequence.prefix
            {
                // The last prompt token is always prefilled, since it produces the first output
                // token.
                sequence.cached = self
                    .prefixes
                    .find(prefix.id)
                    .min(sequence.prompt_tokens - 1);
                sequence.remaining_prompt -= sequence.cached;
            }
            self.running.push(sequence);
        }
    }
}
