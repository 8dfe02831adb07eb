//! Ticks the fleet's state machine, and starts full reconciles with peers.

use std::rc::Rc;

use base::TimeSpan;

use crate::context::StewardContext;

/// Time between two ticks.
const TICK: TimeSpan = TimeSpan::millis(250);

/// Ticks until the process ends; reconciles with one peer after the other.
pub async fn run(context: Rc<StewardContext>) {
    // A random start and one peer at a time spread the full digests over the period.
    let period = context.read_fleet(peers::FleetDesk::reconcile_period);
    let mut next_reconcile = context.now() + TimeSpan(rand::random_range(0..period.0));
    let mut turn = 0;
    loop {
        context.update_fleet(peers::FleetDesk::tick);
        let live = context.read_fleet(peers::FleetDesk::live_peers);
        context.counters.gauge("peers.live", live.len() as u64);
        if context.now() >= next_reconcile && !live.is_empty() {
            let peer = &live[turn % live.len()];
            context.update_fleet(|fleet, _| fleet.reconcile(peer));
            turn += 1;
            let period = context.read_fleet(peers::FleetDesk::reconcile_period);
            let pause = period.0 / live.len() as u64;
            next_reconcile = context.now() + TimeSpan(pause);
        }
        kernel::sleep(TICK.into()).await;
    }
}
