//! Continuous batching. Pure: steps come from outside, frames go out as values.

use std::collections::VecDeque;
use std::time::Duration;

use dalestand_edge::PrefixHash;
use dalestand_types::{
    AttemptId, FinishReason, GenerationFrame, GenerationRequest, RequestId, Usage,
};

use super::prefix_cache::{PrefixCache, prefixes};
use super::text;

/// Costs and bounds of the batch.
#[derive(Clone, Debug)]
pub struct BatchSettings {
    /// Most requests held, running and waiting.
    pub capacity: u32,
    /// Most requests generated at once.
    pub max_running: u32,
    /// Time of a step without any work in it.
    pub step: Duration,
    /// Added time for each running request.
    pub step_per_request: Duration,
    /// Added time for each prompt token run in the step.
    pub prefill_per_token: Duration,
    /// Most prompt tokens run in one step.
    pub prefill_chunk: u32,
    /// Prefix cache, in tokens.
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

/// A request within the batch.
struct Sequence {
    request: GenerationRequest,
    seed: [u8; 32],
    prompt_tokens: u32,
    cached_tokens: u32,
    prefixes: Vec<PrefixHash>,
    prefill_left: u32,
    position: u32,
}

/// What a step did to one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepOutput {
    /// The caller's request.
    pub request: RequestId,
    /// Key under which it may run once.
    pub once_key: Option<String>,
    /// The frame to send.
    pub frame: GenerationFrame,
}

/// Counters for load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BatchCounters {
    /// Prompt tokens run.
    pub prefill_tokens: u64,
    /// Output tokens generated.
    pub decode_tokens: u64,
}

/// The requests an engine holds.
pub struct Batch {
    settings: BatchSettings,
    running: Vec<Sequence>,
    waiting: VecDeque<Sequence>,
    counters: BatchCounters,
    cache: PrefixCache,
}

impl Batch {
    /// An empty batch.
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

    /// Whether another request fits.
    pub fn has_room(&self) -> bool {
        self.len() < self.settings.capacity as usize
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Requests held.
    pub fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    /// Requests being generated.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Requests not started.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Prompt tokens accepted and not yet run.
    pub fn queued_prefill_tokens(&self) -> u64 {
        let sequences = self.running.iter().chain(&self.waiting);
        sequences
            .map(|sequence| u64::from(sequence.prefill_left))
            .sum()
    }

    /// Counters since the start.
    pub fn counters(&self) -> BatchCounters {
        self.counters
    }

    /// The prefix cache.
    pub fn cache(&self) -> &PrefixCache {
        &self.cache
    }

    /// The prefix cache, for faults.
    pub fn cache_mut(&mut self) -> &mut PrefixCache {
        &mut self.cache
    }

    /// Adds a request; higher priorities stand before lower ones. The prompt of one whose KV cache
    /// was imported is not run again, nor is the part that the prefix cache holds.
    pub fn add(&mut self, request: GenerationRequest) {
        let prompt_tokens = text::count_tokens(&request.prompt);
        let prefixes = prefixes(request.model.as_str(), &request.prompt);
        let cached_tokens = self.cache.find(&prefixes);
        let sequence = Sequence {
            seed: text::seed(request.model.as_str(), &request.prompt),
            prompt_tokens,
            prefill_left: if request.import_from.is_some() {
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
        let place = self
            .waiting
            .iter()
            .position(|other| other.request.priority < priority);
        self.waiting
            .insert(place.unwrap_or(self.waiting.len()), sequence);
    }

    /// Removes an attempt; yields its tokens so far if it was held.
    pub fn remove(&mut self, attempt: AttemptId) -> Option<u32> {
        if let Some(place) = self
            .waiting
            .iter()
            .position(|one| one.request.attempt == attempt)
        {
            return self.waiting.remove(place).map(|sequence| sequence.position);
        }
        let place = self
            .running
            .iter()
            .position(|one| one.request.attempt == attempt)?;
        Some(self.running.remove(place).position)
    }

    /// How long the coming step takes.
    pub fn step_duration(&self) -> Duration {
        let prefill: u32 = self
            .running
            .iter()
            .map(|sequence| sequence.prefill_left)
            .sum();
        let prefill = prefill.min(self.settings.prefill_chunk);
        self.settings.step
            + self.settings.step_per_request * self.running.len() as u32
            + self.settings.prefill_per_token * prefill
    }

    /// Admits waiting requests to the running ones.
    pub fn admit(&mut self) {
        while self.running.len() < self.settings.max_running as usize {
            match self.waiting.pop_front() {
                Some(sequence) => self.running.push(sequence),
                None => return,
            }
        }
    }

    /// Runs one step.
    pub fn step(&mut self) -> Vec<StepOutput> {
        let mut prefill_budget = self.settings.prefill_chunk;
        let mut outputs = Vec::with_capacity(self.running.len());
        let mut counters = self.counters;
        self.running.retain_mut(|sequence| {
            if sequence.prefill_left > 0 {
                let run = sequence.prefill_left.min(prefill_budget);
                sequence.prefill_left -= run;
                prefill_budget -= run;
                counters.prefill_tokens += u64::from(run);
                if sequence.prefill_left > 0 {
                    return true;
                }
            }
            // Held once; a later call finds nothing to hold.
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
