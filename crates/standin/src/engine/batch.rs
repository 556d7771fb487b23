//! Continuous batching, without I/O: the caller runs the steps and sends the frames they return.

use std::collections::VecDeque;
use std::time::Duration;

use dalestand_edge::PrefixHash;
use dalestand_types::{
    AttemptId, FinishReason, GenerationFrame, GenerationRequest, RequestId, Usage,
};

use super::prefix_cache::{PrefixCache, prefix_hashes};
use super::text;

/// Step costs and limits of the batch.
#[derive(Clone, Debug)]
pub struct BatchSettings {
    /// Maximum number of requests, running and waiting.
    pub capacity: u32,
    /// Maximum number of running requests.
    pub max_running: u32,
    /// Base time of a step.
    pub step: Duration,
    /// Additional time per running request.
    pub step_per_request: Duration,
    /// Additional time per prompt token prefilled in the step.
    pub prefill_per_token: Duration,
    /// Maximum number of prompt tokens prefilled in one step.
    pub prefill_chunk: u32,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            capacity: 256,
            max_running: 64,
            step: Duration::from_millis(8),
            step_per_request: Duration::from_micros(50),
            prefill_per_token: Duration::from_micros(40),
            prefill_chunk: 512,
            cache_tokens: 1_000_000,
        }
    }
}

/// A request in the batch.
struct Sequence {
    request: GenerationRequest,
    seed: [u8; 32],
    prompt_tokens: u32,
    cached_tokens: u32,
    prefixes: Vec<PrefixHash>,
    remaining_prefill: u32,
    position: u32,
}

/// Result of a step for one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepOutput {
    /// The caller's request.
    pub request: RequestId,
    /// Idempotency key: the engine runs at most one attempt with it.
    pub once_key: Option<String>,
    /// The frame to send.
    pub frame: GenerationFrame,
}

/// Cumulative counters for load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchCounters {
    /// Prompt tokens prefilled.
    pub prefill_tokens: u64,
    /// Output tokens generated.
    pub decode_tokens: u64,
}

/// The running and waiting requests of an engine.
pub struct Batch {
    settings: BatchSettings,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    counters: BatchCounters,
    cache: PrefixCache,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new(settings: BatchSettings) -> Self {
        let counters = BatchCounters::default();
        let cache = PrefixCache::new(settings.cache_tokens);
        Self {
            settings,
            cache,
            running: Vec::new(),
            waiting: VecDeque::new(),
            counters,
        }
    }

    /// Whether another request fits under `BatchSettings::capacity`.
    pub fn has_capacity(&self) -> bool {
        self.len() < self.settings.capacity as usize
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Number of running and waiting requests.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Number of running requests.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Prompt tokens of accepted requests that are not yet prefilled.
    pub fn queued_prefill_tokens(&self) -> u64 {
        let sequences = self.running.iter().chain(&self.waiting);
        sequences
            .map(|sequence| u64::from(sequence.remaining_prefill))
            .sum()
    }

    /// Counters since the engine started.
    pub fn counters(&self) -> BatchCounters {
        self.counters
    }

    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// Mutable access to the prefix cache, for fault injection.
    pub fn cache_mut(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    /// Queues a request behind those of the same or a higher priority. Prefill is skipped for a
    /// request with an imported KV cache, and for the part of a prompt in the prefix cache.
    pub fn add(&mut self, request: GenerationRequest) {
        let prompt_tokens = text::count_tokens(&request.prompt);
        let prefixes = prefix_hashes(request.model.as_str(), &request.prompt);
        let cached_tokens = self.cache.find(&prefixes);
        let sequence = Sequence {
            seed: text::seed(request.model.as_str(), &request.prompt),
            prompt_tokens,
            remaining_prefill: if request.import_from.is_some() {
                0
            } else {
                prompt_tokens - cached_tokens
            },
            cached_tokens,
            prefixes,
            position: request.resume_from,
            request,
        };
        let priority = sequence.request.priority;
        let index = self
            .waiting
            .iter()
            .position(|other| other.request.priority < priority);
        self.waiting
            .insert(index.unwrap_or(self.waiting.len()), sequence);
    }

    /// Removes an attempt; returns how many tokens it has generated, or `None` if it is not in the
    /// batch.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<u32> {
        if let Some(index) = self
            .waiting
            .iter()
            .position(|sequence| sequence.request.attempt == attempt)
        {
            return self.waiting.remove(index).map(|sequence| sequence.position);
        }
        let index = self
            .running
            .iter()
            .position(|sequence| sequence.request.attempt == attempt)?;
        Some(self.running.remove(index).position)
    }

    /// Duration of the next step.
    pub fn step_duration(&self) -> Duration {
        let prefill: u32 = self
            .running
            .iter()
            .map(|sequence| sequence.remaining_prefill)
            .sum();
        let prefill = prefill.min(self.settings.prefill_chunk);
        self.settings.step
            + self.settings.step_per_request * self.running.len() as u32
            + self.settings.prefill_per_token * prefill
    }

    /// Starts waiting requests while fewer than `max_running` run.
    pub fn admit(&mut self) {
        while self.running.len() < self.settings.max_running as usize {
            match self.waiting.pop_front() {
                Some(sequence) => self.running.push(sequence),
                None => return,
            }
        }
    }

    /// Runs one step and removes the requests that finish in it.
    pub fn step(&mut self) -> Vec<StepOutput> {
        let mut prefill_budget = self.settings.prefill_chunk;
        let mut outputs = Vec::with_capacity(self.running.len());
        let mut counters = self.counters;
        self.running.retain_mut(|sequence| {
            if sequence.remaining_prefill > 0 {
                let chunk = sequence.remaining_prefill.min(prefill_budget);
                sequence.remaining_prefill -= chunk;
                prefill_budget -= chunk;
                counters.prefill_tokens += u64::from(chunk);
                if sequence.remaining_prefill > 0 {
                    return true;
                }
            }
            // Taken, so that later steps of the sequence store nothing.
            self.cache.store(&std::mem::take(&mut sequence.prefixes));
            let frame = sequence.next_frame();
            let finished = frame.is_last();
            if !finished {
                counters.decode_tokens += 1;
            }
            outputs.push(sequence.output(frame));
            !finished
        });
        self.counters = counters;
        outputs
    }
}

impl Sequence {
    fn next_frame(&mut self) -> GenerationFrame {
        let attempt = self.request.attempt;
        if self.request.prefill_only {
            let usage = self.usage();
            return GenerationFrame::Prefilled { attempt, usage };
        }
        if self.position >= self.request.max_tokens {
            let usage = self.usage();
            let reason = FinishReason::Length;
            return GenerationFrame::Finished {
                attempt,
                tokens: self.position,
                reason,
                usage,
            };
        }
        let position = self.position;
        self.position += 1;
        GenerationFrame::Token {
            attempt,
            position,
            text: text::token(&self.seed, position),
        }
    }

    fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            cached_tokens: self.cached_tokens,
            completion_tokens: self.position,
        }
    }

    fn output(&self, frame: GenerationFrame) -> StepOutput {
        let once_key = self.request.once_key.clone();
        StepOutput {
            request: self.request.request,
            once_key,
            frame,
        }
    }
}
