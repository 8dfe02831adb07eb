//! Lets time pass at the fleet's desk.

use std::rc::Rc;

use base::TimeSpan;

use crate::context::StewardContext;

/// Time between two looks for silence.
const TICK: TimeSpan = TimeSpan::millis(250);

/// Ticks until the process ends; asks one peer after the other for everything it knows.
pub async fn run(context: Rc<StewardContext>) {
    // A random start and one peer after the other: full digests do not come together.
    let period = context.look(peers::FleetDesk::reconcile_period);
    let mut next_reconcile = context.now() + TimeSpan(rand::random_range(0..period.0));
    let mut turn = 0;
    loop {
        context.change(peers::FleetDesk::tick);
        let live = context.look(peers::FleetDesk::live_peers);
        context.counters.gauge("peers.live", live.len() as u64);
        if context.now() >= next_reconcile && !live.is_empty() {
            let peer = &live[turn % live.len()];
            context.change(|desk, _| desk.reconcile(peer));
            turn += 1;
            let period = context.look(peers::FleetDesk::reconcile_period);
            let pause = period.0 / live.len() as u64;
            next_reconcile = context.now() + TimeSpan(pause);
        }
        kernel::sleep(TICK.into()).await;
    }
}
