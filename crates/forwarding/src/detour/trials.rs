//! Tries, while this node is cut off from all engines, whether it reaches them again.

use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::sleep;
use rand::seq::IteratorRandom as _;

use crate::context::Context;
use crate::detour::apply_change;
use crate::detour::reach::reaches;

/// Pause between two trials: two successful ones end a cut.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);

/// Tries engines while this node is cut off; never returns.
pub(crate) async fn try_direct_links(context: Rc<Context>) {
    loop {
        if !context.detours.is_cut_off() {
            context.detours.cut_off.notified().await;
        }
        sleep(TRIAL_INTERVAL).await;
        let chosen = {
            let fleet = context.fleet();
            let engines = fleet.engines().filter_map(|(_, engine)| {
                let address = fleet.engine(engine.key)?.address;
                Some((engine.key, address))
            });
            engines.choose(&mut rand::rng())
        };
        let Some((engine, address)) = chosen else {
            continue;
        };
        let is_reached = reaches(&context, address).await;
        let now = context.now();
        let engines = context.fleet().len();
        let mut links = context.detours.links.borrow_mut();
        let change = links.record_trial(now, engine, is_reached, engines);
        drop(links);
        if let Some(change) = change {
            apply_change(&context, change);
        }
    }
}
