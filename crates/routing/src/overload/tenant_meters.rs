//! What this node counts of the tenants of one pool.
//!
//! The load: fifteen thousand tenants, of which some tens ask for most. Those are counted each by itself, all others
//! together, so that neither memory nor messages grow with the number of tenants.

use std::collections::HashMap;

use dalestand_types::MonotonicTime;

use crate::class_meter::FadingRate;
use crate::figures::{TenantCode, TenantFigures, WorkRate};

/// Tenants of one pool that are named among its figures, the largest. The others are small beside them: together with
/// those of other nodes they are one row.
pub const MAX_NAMED_TENANTS: usize = 64;

/// Tenants that are counted by themselves until the next figures: a small one may turn large meanwhile.
const TENANTS_COUNTED: usize = 4 * MAX_NAMED_TENANTS;

/// Requests or begun answers a second below which a tenant is forgotten: none came for many seconds.
const LEAST_COUNTED_PER_S: f64 = 1e-3;

/// Weight of the newest request in the mean time that a tenant's requests hold a slot: some tens of them count.
const NEWEST_SLOT_TIME: f64 = 0.05;

/// Counts of one tenant.
#[derive(Clone, Copy, Debug, Default)]
struct TenantMeter {
    asked: FadingRate,
    asked_tokens: FadingRate,
    begun: FadingRate,
    begun_tokens: FadingRate,
    /// Mean time that its requests hold a slot, in seconds.
    slot_s: Option<f64>,
}

impl TenantMeter {
    fn held_slot(&mut self, held_s: f64) {
        let former_s = self.slot_s.unwrap_or(held_s);
        self.slot_s = Some(former_s + (held_s - former_s) * NEWEST_SLOT_TIME);
    }

    fn figures(&self, now: MonotonicTime, usual_slot_s: f64) -> TenantFigures {
        let slot_s = self.slot_s.unwrap_or(usual_slot_s);
        let work = |requests: &FadingRate, tokens: &FadingRate| WorkRate {
            slots: (requests.at(now) * slot_s) as f32,
            prompt_tokens_per_s: tokens.at(now) as f32,
        };
        TenantFigures {
            asked: work(&self.asked, &self.asked_tokens),
            begun: work(&self.begun, &self.begun_tokens),
        }
    }

    fn is_silent(&self, now: MonotonicTime) -> bool {
        self.asked.at(now) < LEAST_COUNTED_PER_S && self.begun.at(now) < LEAST_COUNTED_PER_S
    }

    fn add(&mut self, now: MonotonicTime, other: &Self) {
        self.asked.add(now, &other.asked);
        self.asked_tokens.add(now, &other.asked_tokens);
        self.begun.add(now, &other.begun);
        self.begun_tokens.add(now, &other.begun_tokens);
    }
}

/// Counts of the tenants of one pool.
#[derive(Clone, Debug, Default)]
pub struct TenantMeters {
    tenants: HashMap<TenantCode, TenantMeter>,
    /// Those that are not counted by themselves. Its time of a slot is that of all tenants.
    others: TenantMeter,
}

impl TenantMeters {
    /// Counts a request, with the prompt tokens that an engine would have to prefill.
    pub fn asked(&mut self, now: MonotonicTime, tenant: TenantCode, tokens: u32) {
        let meter = self.meter(tenant);
        meter.asked.count(now, 1.0);
        meter.asked_tokens.count(now, f64::from(tokens));
    }

    /// Counts a request that an engine began.
    pub fn begun(&mut self, now: MonotonicTime, tenant: TenantCode, tokens: u32) {
        let meter = self.meter(tenant);
        meter.begun.count(now, 1.0);
        meter.begun_tokens.count(now, f64::from(tokens));
    }

    /// Notes for how many seconds a request that was answered held a slot.
    pub fn held_slot(&mut self, tenant: TenantCode, held_s: f64) {
        self.others.held_slot(held_s);
        if let Some(meter) = self.tenants.get_mut(&tenant) {
            meter.held_slot(held_s);
        }
    }

    /// The figures of the tenants that ask most, and of all others together. From then on only those are counted by
    /// themselves.
    pub fn figures(&mut self, now: MonotonicTime) -> Vec<(TenantCode, TenantFigures)> {
        let usual_slot_s = self.others.slot_s.unwrap_or_default();
        self.tenants.retain(|_, meter| !meter.is_silent(now));
        let rows = self.tenants.iter();
        let rows = rows.map(|(code, meter)| (*code, meter.figures(now, usual_slot_s)));
        let named = top_tenants(rows.collect());
        let is_named = |code: &TenantCode| named.iter().any(|(named, _)| named == code);
        let others = &mut self.others;
        self.tenants.retain(|code, meter| {
            let stays = is_named(code);
            if !stays {
                others.add(now, meter);
            }
            stays
        });
        let mut rows: Vec<_> = named
            .into_iter()
            .filter(|(code, _)| *code != TenantCode::OTHERS)
            .collect();
        if !self.others.is_silent(now) {
            let figures = self.others.figures(now, usual_slot_s);
            rows.push((TenantCode::OTHERS, figures));
        }
        rows
    }

    /// Tenants counted by themselves.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether no tenant is counted by itself.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    fn meter(&mut self, tenant: TenantCode) -> &mut TenantMeter {
        let is_counted = self.tenants.contains_key(&tenant);
        if is_counted || self.tenants.len() < TENANTS_COUNTED {
            self.tenants.entry(tenant).or_default()
        } else {
            &mut self.others
        }
    }
}

/// The rows of the tenants that ask most, with one that adds up all others.
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
        let part = |figures: &TenantFigures| part_of(figures.asked, all.asked);
        rows.sort_by(|(one_code, one), (other_code, other)| {
            let by_demand = part(other).total_cmp(&part(one));
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

/// The parts of `all` in both units, added up.
fn part_of(work: WorkRate, all: WorkRate) -> f32 {
    let part = |work: f32, all: f32| if all > 0.0 { work / all } else { 0.0 };
    part(work.slots, all.slots) + part(work.prompt_tokens_per_s, all.prompt_tokens_per_s)
}
