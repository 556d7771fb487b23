//! Cost of a request's fingerprint by body length, and of recording a completion.

use bytes::Bytes;
use std::hint::black_box;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dalestand_quarantine::{CrashLedger, FingerprintKey, RequestIdentity};
use dalestand_types::MonotonicTime;

fn fingerprints(criterion: &mut Criterion) {
    let key = FingerprintKey::generate();
    let mut group = criterion.benchmark_group("fingerprint");
    for length in [0_usize, 400, 17_000, 100_000, 1 << 20] {
        let body = [Bytes::from(vec![7; length])];
        let identity = RequestIdentity {
            method: "POST",
            host: "a.example",
            path: "/route/part/of/a/path?page=11",
            tenant: Some("curators"),
            body: &body,
        };
        group.bench_with_input(
            BenchmarkId::from_parameter(length),
            &identity,
            |bench, one| {
                bench.iter(|| key.fingerprint(black_box(one)));
            },
        );
    }
    group.finish();
}

fn completions(criterion: &mut Criterion) {
    let key = FingerprintKey::generate();
    let mut ledger = CrashLedger::default();
    let mut number = 0_u64;
    criterion.bench_function("completed", |bench| {
        bench.iter(|| {
            number += 1;
            let fingerprint = key.fingerprint(&RequestIdentity {
                method: "GET",
                host: "a",
                path: "/",
                tenant: None,
                body: &[Bytes::copy_from_slice(&number.to_le_bytes())],
            });
            ledger.record_completion(MonotonicTime(number * 1_000), fingerprint)
        });
    });
}

criterion_group!(benches, fingerprints, completions);
criterion_main!(benches);
