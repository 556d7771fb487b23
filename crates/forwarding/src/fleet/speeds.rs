//! Carries what this node has seen of engines' speeds to the figures that add up over all nodes, and back.

use dalestand_dissemination::EngineCode;
use dalestand_routing::WorkKind;
use dalestand_routing::speeds::{EngineRow, PaceKey};
use dalestand_routing::staged::{EngineKey, SignalLedger};
use dalestand_types::MonotonicTime;

use crate::context::Context;
use crate::fleet_sums::SlownessKey;

/// Engines whose rows are looked up in one round of a quarter of a second: with more, rounds are left out, so that
/// the look-ups take a few thousandths of a small node's processor.
const ENGINES_PER_ROUND: usize = 1_000;

/// Replaces this node's own rows of speeds.
pub(crate) fn count_own_speeds(context: &Context, now: MonotonicTime) {
    let mut router = context.router.borrow_mut();
    let own = router.speeds.own_slowness(now);
    let rows = own
        .into_iter()
        .map(|((engine, kind), figures)| (row_key(&router.signals, engine, kind), figures));
    context.sums.slowness.borrow_mut().set_own(rows);
    let paces = router.speeds.own_paces();
    context.sums.paces.borrow_mut().set_own(paces);
}

/// Takes what all nodes have seen, as it stands in the sums, into this node's beliefs.
pub(crate) fn believe_fleet_speeds(context: &Context, turn: usize) {
    let fleet = context.fleet();
    if !turn.is_multiple_of(1 + fleet.len() / ENGINES_PER_ROUND) {
        return;
    }
    let slowness = context.sums.slowness.borrow();
    let mut router = context.router.borrow_mut();
    let rows = fleet.pools().flat_map(|pool| {
        let rows = pool.iter().map(|engine| (pool.key(), engine));
        rows.filter_map(|(pool, engine)| {
            let kind = WorkKind::from(engine.stage);
            let figures = slowness.total(&row_key(&router.signals, engine.key, kind))?;
            Some(EngineRow {
                engine: engine.key,
                pace: PaceKey { pool, kind },
                figures: *figures,
            })
        })
    });
    let rows: Vec<EngineRow> = rows.collect();
    router.speeds.set_fleet_slowness(&rows);
    let paces = context.sums.paces.borrow();
    let paces = paces.totals().iter();
    router
        .speeds
        .set_fleet_paces(paces.map(|(key, sums)| (*key, *sums)));
}

/// The short number of an engine's present start: rows of a former one are on their way for a while and must not
/// count for it.
fn row_key(signals: &SignalLedger, engine: EngineKey, kind: WorkKind) -> SlownessKey {
    (incarnation_code(engine, signals.born(engine)), kind)
}

/// The short number of an engine that started at `born`; 0 where that is not known.
fn incarnation_code(engine: EngineKey, born: u64) -> EngineCode {
    match born {
        0 => EngineCode::of(engine),
        born => EngineCode::of(EngineKey(engine.0 ^ born.wrapping_mul(SPREADS_BITS))),
    }
}

/// An odd number with bits evenly set: starts some milliseconds apart differ in all bits of the code.
const SPREADS_BITS: u64 = 0x9e37_79b9_7f4a_7c15;
