//! Measures the demand and throughput of the tenants of one pool at this node.
//!
//! Only the tenants with the largest demand are counted individually, and all others together, so that neither memory
//! nor messages grow with the number of tenants.

use std::collections::HashMap;

use dalestand_types::MonotonicTime;

use crate::class_meter::DecayingRate;
use crate::figures::{TenantCode, TenantFigures, WorkRate};

/// Most tenants of one pool that have a row of their own in the reported figures. All others share
/// one row. The others are small beside the largest ones.
pub const MAX_NAMED_TENANTS: usize = 64;

/// Most tenants counted individually between two reports. More than are reported, because which ones have the largest
/// demand is only known at the next report.
const MAX_COUNTED_TENANTS: usize = 4 * MAX_NAMED_TENANTS;

/// A tenant whose rates, in requests per second, are below this is forgotten.
const MIN_COUNTED_PER_S: f64 = 1e-3;

/// Weight of the newest request in the moving average of the time that a tenant's requests hold a slot.
const SLOT_TIME_WEIGHT: f64 = 0.05;

/// Rates of one tenant.
#[derive(Clone, Copy, Debug, Default)]
struct TenantMeter {
    asked: DecayingRate,
    asked_tokens: DecayingRate,
    begun: DecayingRate,
    begun_tokens: DecayingRate,
    /// Average time that its requests hold a slot, in seconds.
    slot_s: Option<f64>,
}

impl TenantMeter {
    fn record_slot_time(&mut self, held_s: f64) {
        let average_s = self.slot_s.unwrap_or(held_s);
        self.slot_s = Some(average_s + (held_s - average_s) * SLOT_TIME_WEIGHT);
    }

    fn figures(&self, now: MonotonicTime, default_slot_s: f64) -> TenantFigures {
        let slot_s = self.slot_s.unwrap_or(default_slot_s);
        let work = |requests: &DecayingRate, tokens: &DecayingRate| WorkRate {
            slots: (requests.at(now) * slot_s) as f32,
            prompt_tokens_per_s: tokens.at(now) as f32,
        };
        TenantFigures {
            asked: work(&self.asked, &self.asked_tokens),
            begun: work(&self.begun, &self.begun_tokens),
        }
    }

    fn is_idle(&self, now: MonotonicTime) -> bool {
        self.asked.at(now) < MIN_COUNTED_PER_S && self.begun.at(now) < MIN_COUNTED_PER_S
    }

    fn add(&mut self, now: MonotonicTime, other: &Self) {
        self.asked.add(now, &other.asked);
        self.asked_tokens.add(now, &other.asked_tokens);
        self.begun.add(now, &other.begun);
        self.begun_tokens.add(now, &other.begun_tokens);
    }
}

/// Rates of the tenants of one pool.
#[derive(Clone, Debug, Default)]
pub struct TenantMeters {
    tenants: HashMap<TenantCode, TenantMeter>,
    /// All tenants that are not counted individually. Its slot time is the average over all tenants.
    others: TenantMeter,
}

impl TenantMeters {
    /// Counts a request that needs `tokens` prompt tokens prefilled.
    pub fn record_request(&mut self, now: MonotonicTime, tenant: TenantCode, tokens: u32) {
        let meter = self.meter(tenant);
        meter.asked.count(now, 1.0);
        meter.asked_tokens.count(now, f64::from(tokens));
    }

    /// Counts a request that an engine began to serve, with `tokens` prompt tokens to prefill.
    pub fn record_started(&mut self, now: MonotonicTime, tenant: TenantCode, tokens: u32) {
        let meter = self.meter(tenant);
        meter.begun.count(now, 1.0);
        meter.begun_tokens.count(now, f64::from(tokens));
    }

    /// Records for how many seconds an answered request held a slot.
    pub fn record_slot_time(&mut self, tenant: TenantCode, held_s: f64) {
        self.others.record_slot_time(held_s);
        if let Some(meter) = self.tenants.get_mut(&tenant) {
            meter.record_slot_time(held_s);
        }
    }

    /// Figures of the tenants with the largest demand, and of all others together. The tenants without a row of their
    /// own are no longer counted individually.
    pub fn figures(&mut self, now: MonotonicTime) -> Vec<(TenantCode, TenantFigures)> {
        let default_slot_s = self.others.slot_s.unwrap_or_default();
        self.tenants.retain(|_, meter| !meter.is_idle(now));
        let rows = self.tenants.iter();
        let rows = rows.map(|(code, meter)| (*code, meter.figures(now, default_slot_s)));
        let named = top_tenants(rows.collect());
        let is_named = |code: &TenantCode| named.iter().any(|(named, _)| named == code);
        let others = &mut self.others;
        self.tenants.retain(|code, meter| {
            let is_kept = is_named(code);
            if !is_kept {
                others.add(now, meter);
            }
            is_kept
        });
        let mut rows: Vec<_> = named
            .into_iter()
            .filter(|(code, _)| *code != TenantCode::OTHERS)
            .collect();
        if !self.others.is_idle(now) {
            let figures = self.others.figures(now, default_slot_s);
            rows.push((TenantCode::OTHERS, figures));
        }
        rows
    }

    /// Number of tenants counted individually.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether no tenant is counted individually.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    fn meter(&mut self, tenant: TenantCode) -> &mut TenantMeter {
        let is_counted = self.tenants.contains_key(&tenant);
        if is_counted || self.tenants.len() < MAX_COUNTED_TENANTS {
            self.tenants.entry(tenant).or_default()
        } else {
            &mut self.others
        }
    }
}

/// Keeps the rows of the [`MAX_NAMED_TENANTS`] tenants with the largest demand and sums all others into one row.
pub fn top_tenants(mut rows: Vec<(TenantCode, TenantFigures)>) -> Vec<(TenantCode, TenantFigures)> {
    let mut others = TenantFigures::default();
    let mut all = TenantFigures::default();
    rows.retain(|(code, figures)| {
        all += figures;
        let is_named = *code != TenantCode::OTHERS;
        if !is_named {
            others += figures;
        }
        is_named
    });
    if rows.len() > MAX_NAMED_TENANTS {
        let demand = |figures: &TenantFigures| relative_demand(figures.asked, all.asked);
        rows.sort_by(|(one_code, one), (other_code, other)| {
            let by_demand = demand(other).total_cmp(&demand(one));
            by_demand.then_with(|| one_code.cmp(other_code))
        });
        for (_, figures) in rows.drain(MAX_NAMED_TENANTS..) {
            others += &figures;
        }
    }
    if others != TenantFigures::default() {
        rows.push((TenantCode::OTHERS, others));
    }
    rows
}

/// Size of `work` relative to `all`: the sum of its fractions of the slots and of the prompt tokens.
fn relative_demand(work: WorkRate, all: WorkRate) -> f32 {
    let fraction = |work: f32, all: f32| if all > 0.0 { work / all } else { 0.0 };
    fraction(work.slots, all.slots) + fraction(work.prompt_tokens_per_s, all.prompt_tokens_per_s)
}
