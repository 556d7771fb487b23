//! Gives out the permits of engines.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::{MonotonicTime, RequestRate};

use crate::staged::EngineKey;

/// Permits that a bucket holds at most, as a time at its rate: what is not used for so long is not lost.
const CAPACITY: Duration = Duration::from_millis(250);

/// The same at low rates, in permits: a node whose turn it is has its next request a while later, and what
/// comes in meanwhile would be lost with a bucket of one.
const LEAST_CAPACITY: f64 = 2.0;

/// Nodes that are told to ask again in the time of one permit: not each of them has a request when its turn
/// comes, and one that asks in vain costs its request a round trip.
const TURNS_PER_PERMIT: f64 = 2.0;

/// Permits that one answer gives, as a time at the rate: an issuer answers 20 times a second and node at most,
/// whatever the rate.
const BATCH: Duration = Duration::from_millis(50);

/// An engine that takes less than this in a second, or nothing, gets this: who is never called can never tell
/// that it takes requests again.
const LEAST_RATE: f64 = 0.1;

/// Longest time for which a node is told not to ask. Those that were told so and have nothing to send then
/// leave their turn to others.
const LONGEST_TURN: Duration = Duration::from_secs(2);

/// From so many engines on, those that nobody has asked for lately are forgotten.
const MANY_ENGINES: usize = 1_024;

/// An engine that was not asked for during this time starts with an empty bucket, which takes nothing from
/// those that ask all the time.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// What an issuer answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Permits given.
    pub permits: u32,
    /// Where none was given: after how long it is this node's turn to ask again.
    pub retry_in: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Permits left; below zero where calls went out that need none.
    tokens: f64,
    filled_at: MonotonicTime,
    /// When the next of those that ask in vain is to ask again.
    next_turn: MonotonicTime,
}

/// The engines for which this node issues permits.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    buckets: HashMap<EngineKey, Bucket>,
}

impl PermitIssuer {
    /// Gives permits for an engine that takes requests at `rate`, or says when to ask again.
    pub fn issue(&mut self, now: MonotonicTime, engine: EngineKey, rate: RequestRate) -> Grant {
        let rate = rate_of(rate);
        let bucket = self.filled(now, engine, rate);
        if bucket.tokens < 1.0 {
            let missing = Duration::from_secs_f64((1.0 - bucket.tokens) / rate);
            let spacing = Duration::from_secs_f64(1.0 / (rate * TURNS_PER_PERMIT));
            let after_the_last = bucket.next_turn + spacing;
            let turn = (now + missing).max(after_the_last).min(now + LONGEST_TURN);
            bucket.next_turn = turn;
            return Grant {
                permits: 0,
                retry_in: turn.since(now),
            };
        }
        let batch = (rate * BATCH.as_secs_f64()).max(1.0);
        let permits = bucket.tokens.min(batch).floor();
        bucket.tokens -= permits;
        Grant {
            permits: permits as u32,
            retry_in: Duration::ZERO,
        }
    }

    /// Counts a call that goes out whatever the rate: an order, a question. What follows waits for it.
    pub fn debit(&mut self, now: MonotonicTime, engine: EngineKey, rate: RequestRate) {
        let rate = rate_of(rate);
        let bucket = self.filled(now, engine, rate);
        bucket.tokens = (bucket.tokens - 1.0).max(-capacity(rate));
    }

    /// Engines that were asked for lately.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether none was.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn filled(&mut self, now: MonotonicTime, engine: EngineKey, rate: f64) -> &mut Bucket {
        if self.buckets.len() >= MANY_ENGINES {
            self.buckets
                .retain(|_, bucket| now.since(bucket.filled_at) < FORGOTTEN_AFTER);
        }
        let bucket = self.buckets.entry(engine).or_insert(Bucket {
            tokens: 0.0,
            filled_at: now,
            next_turn: now,
        });
        let earned = rate * now.since(bucket.filled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + earned).min(capacity(rate));
        bucket.filled_at = now;
        bucket
    }
}

fn rate_of(rate: RequestRate) -> f64 {
    rate.as_per_second().max(LEAST_RATE)
}

fn capacity(rate: f64) -> f64 {
    (rate * CAPACITY.as_secs_f64()).max(LEAST_CAPACITY)
}
