//! The simulated engine's prefix cache, cache events and delayed reports.

use std::time::Duration;

use dalestand_edge::CacheChange;
use dalestand_standin::engine::{
    BLOCK_TOKENS, Batch, BatchSettings, DelayedReports, PrefixCache, prefix_hashes,
};
use dalestand_types::{
    AttemptId, GenerationFrame, GenerationRequest, ModelName, MonotonicTime, Priority, RequestId,
    Revision, Sequence,
};

fn words(prefix: &str, count: u32) -> String {
    let words: Vec<String> = (0..count).map(|word| format!("{prefix}{word}")).collect();
    words.join(" ")
}

fn request(attempt: u128, prompt: String) -> GenerationRequest {
    GenerationRequest {
        request: RequestId(attempt),
        attempt: AttemptId(attempt),
        model: ModelName::from("m"),
        adapter: None,
        tenant: None,
        prompt,
        max_tokens: 2,
        resume_from: 0,
        priority: Priority(0),
        deadline_ms: None,
        revision: Revision(1),
        incarnation: None,
        once_key: None,
        import_from: None,
        prefill_only: false,
    }
}

/// Runs a request to its end; returns its cached prompt tokens and the number of steps.
fn run(batch: &mut Batch, attempt: u128, prompt: String) -> (u32, u32) {
    batch.add(request(attempt, prompt));
    batch.admit();
    for steps in 1.. {
        for output in batch.step() {
            if let GenerationFrame::Finished { usage, .. } = output.frame {
                return (usage.cached_tokens, steps);
            }
        }
    }
    unreachable!("the request finishes");
}

#[test]
fn a_cached_prefix_shortens_the_prefill() {
    let mut batch = Batch::new(BatchSettings::default());
    let shared = words("s", 1_600);
    let (cold, cold_steps) = run(&mut batch, 1, format!("{shared} {}", words("a", 8)));
    let (warm, warm_steps) = run(&mut batch, 2, format!("{shared} {}", words("b", 8)));
    assert_eq!((cold, warm), (0, 1_600));
    assert!(warm_steps < cold_steps, "{warm_steps} {cold_steps}");
    let other_model = prefix_hashes("other", &shared);
    assert_eq!(batch.cache_mut().find(&other_model), 0);
}

#[test]
fn the_cache_is_bounded_and_evicts_the_least_recently_used() {
    let mut cache = PrefixCache::new(u64::from(3 * BLOCK_TOKENS));
    let prompts: Vec<_> = ["a", "b", "c", "d"]
        .map(|prefix| prefix_hashes("m", &words(prefix, BLOCK_TOKENS)))
        .to_vec();
    for prompt in &prompts[..3] {
        cache.store(prompt);
    }
    assert_eq!(cache.find(&prompts[0]), BLOCK_TOKENS);
    cache.store(&prompts[3]);
    assert_eq!(cache.tokens(), u64::from(3 * BLOCK_TOKENS));
    assert_eq!(cache.find(&prompts[1]), 0);
    let found = [0, 2, 3].map(|index| cache.find(&prompts[index]));
    assert_eq!(found, [BLOCK_TOKENS; 3]);
    let events = cache.events_after(Sequence(3)).events;
    let changes: Vec<_> = events.iter().map(|event| event.change).collect();
    assert_eq!(changes, [CacheChange::Stored, CacheChange::Evicted]);
    assert_eq!(events[1].prefix, prompts[1][0]);
}

#[test]
fn a_lost_event_leaves_a_gap_in_the_sequence() {
    let mut cache = PrefixCache::new(1_000);
    cache.store(&prefix_hashes("m", &words("a", BLOCK_TOKENS)));
    cache.lose_newest_event();
    cache.store(&prefix_hashes("m", &words("b", BLOCK_TOKENS)));
    let events = cache.events_after(Sequence(0));
    let sequences: Vec<_> = events.events.iter().map(|event| event.sequence).collect();
    assert_eq!(sequences, [Sequence(2)]);
    assert!(events.missed);
}

#[test]
fn reports_are_visible_only_after_the_lag() {
    let mut reports = DelayedReports::default();
    let lag = Duration::from_millis(100);
    let visible: Vec<u64> = (0..6)
        .map(|report| reports.push(MonotonicTime::from_millis(report * 50), lag, report))
        .collect();
    assert_eq!(visible, [0, 0, 0, 1, 2, 3]);
    assert_eq!(
        reports.push(MonotonicTime::from_millis(300), Duration::ZERO, 9),
        9
    );
}
