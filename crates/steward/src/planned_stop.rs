//! The planned stop: announce it, let the machine's entries finish, then end.

use std::rc::Rc;

use base::TimeSpan;

use crate::context::StewardContext;

/// Longest time that entries of this machine may take to finish.
const ENTRY_GRACE: TimeSpan = TimeSpan::seconds(900);
/// Time between two looks whether they have.
const LOOK_PAUSE: TimeSpan = TimeSpan::millis(50);

/// Returns once the process may end: peers were told, and no entry of this machine is left
/// or the grace period is over. It cuts nothing.
pub async fn run(context: Rc<StewardContext>) {
    tracing::info!(step = "stop", "leaving announced");
    context.change(|desk, _| desk.leave());
    let told = context.now() + context.settings.digest_interval;
    let deadline = context.now() + ENTRY_GRACE;
    loop {
        let now = context.now();
        let entries = context.look(|desk| desk.own_entries().len());
        if (entries == 0 && now >= told) || now >= deadline {
            tracing::info!(step = "stop", entries, "stopping");
            return;
        }
        kernel::sleep(LOOK_PAUSE.into()).await;
    }
}
