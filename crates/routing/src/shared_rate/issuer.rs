//! Issues permits for engines from one token bucket per engine.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::{MonotonicTime, RequestRate};

use crate::staged::EngineKey;

/// Capacity of a bucket, as the time in which it fills at its rate.
const CAPACITY: Duration = Duration::from_millis(250);

/// Smallest capacity, in permits. With a single one, permits would be lost at low rates while the node that is to ask
/// next has no request.
const MIN_CAPACITY: f64 = 2.0;

/// Nodes that are told to retry within the time of one permit. More than one, because a node may have no request by
/// then; not many more, because a retry that gets no permit costs its request a round trip.
const RETRIES_PER_PERMIT: f64 = 2.0;

/// Most permits in one grant, as a time at the rate. Bounds the requests per second that a node makes to an issuer.
const BATCH: Duration = Duration::from_millis(50);

/// Smallest rate, in requests per second. An engine with a limit of zero still gets an occasional request, because it
/// announces a new limit in its responses.
const MIN_RATE: f64 = 0.1;

/// Longest retry delay of a node that gets no permit. A node that was told to wait and has no
/// request by then leaves its turn to others.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Number of buckets from which unused ones are removed.
const MANY_ENGINES: usize = 1_024;

/// A bucket that was not used for this long may be removed; its engine then starts with an empty one.
const UNUSED_AFTER: Duration = Duration::from_secs(20);

/// Response to a permit request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Number of permits issued.
    pub permits: u32,
    /// If no permit was issued: delay after which this node may ask again.
    pub retry_in: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Permits left; negative after requests that were sent without one.
    tokens: f64,
    filled_at: MonotonicTime,
    /// Time of the last retry given to a node that got no permit.
    last_retry: MonotonicTime,
}

/// The engines for which this node issues permits.
#[derive(Clone, Debug, Default)]
pub struct PermitIssuer {
    buckets: HashMap<EngineKey, Bucket>,
}

impl PermitIssuer {
    /// Issues permits for an engine limited to `rate`, or tells when to ask again.
    pub fn issue(&mut self, now: MonotonicTime, engine: EngineKey, rate: RequestRate) -> Grant {
        let rate = rate_of(rate);
        let bucket = self.filled(now, engine, rate);
        if bucket.tokens < 1.0 {
            let missing = Duration::from_secs_f64((1.0 - bucket.tokens) / rate);
            let spacing = Duration::from_secs_f64(1.0 / (rate * RETRIES_PER_PERMIT));
            let after_last = bucket.last_retry + spacing;
            let retry_at = (now + missing).max(after_last).min(now + MAX_RETRY_DELAY);
            bucket.last_retry = retry_at;
            return Grant {
                permits: 0,
                retry_in: retry_at.since(now),
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

    /// Counts a request that is sent without a permit, such as an order or a status query. Later permits are delayed
    /// accordingly.
    pub fn debit(&mut self, now: MonotonicTime, engine: EngineKey, rate: RequestRate) {
        let rate = rate_of(rate);
        let bucket = self.filled(now, engine, rate);
        bucket.tokens = (bucket.tokens - 1.0).max(-capacity(rate));
    }

    /// Number of engines with a bucket.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    fn filled(&mut self, now: MonotonicTime, engine: EngineKey, rate: f64) -> &mut Bucket {
        if self.buckets.len() >= MANY_ENGINES {
            self.buckets
                .retain(|_, bucket| now.since(bucket.filled_at) < UNUSED_AFTER);
        }
        let bucket = self.buckets.entry(engine).or_insert(Bucket {
            tokens: 0.0,
            filled_at: now,
            last_retry: now,
        });
        let earned = rate * now.since(bucket.filled_at).as_secs_f64();
        bucket.tokens = (bucket.tokens + earned).min(capacity(rate));
        bucket.filled_at = now;
        bucket
    }
}

fn rate_of(rate: RequestRate) -> f64 {
    rate.as_per_second().max(MIN_RATE)
}

fn capacity(rate: f64) -> f64 {
    (rate * CAPACITY.as_secs_f64()).max(MIN_CAPACITY)
}
