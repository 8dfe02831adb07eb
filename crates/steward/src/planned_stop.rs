//! Graceful shutdown: announce it, let the machine's entries finish, then end.

use std::rc::Rc;

use base::TimeSpan;

use crate::context::StewardContext;

/// Longest time that entries of this machine may take to finish.
const ENTRY_GRACE: TimeSpan = TimeSpan::seconds(900);
/// Interval at which their end is checked.
const ENTRY_CHECK: TimeSpan = TimeSpan::millis(50);

/// Returns once the process may end: the leaving has been announced to peers, and no entry of
/// this machine is left or the grace period is over. It breaks no request.
pub async fn run(context: Rc<StewardContext>) {
    tracing::info!(step = "stop", "leaving announced");
    context.update_fleet(|fleet, _| fleet.leave());
    let announced = context.now() + context.settings.digest_interval;
    let deadline = context.now() + ENTRY_GRACE;
    loop {
        let now = context.now();
        let entries = context.read_fleet(|fleet| fleet.own_entries().len());
        if (entries == 0 && now >= announced) || now >= deadline {
            tracing::info!(step = "stop", entries, "stopping");
            return;
        }
        kernel::sleep(ENTRY_CHECK.into()).await;
    }
}
