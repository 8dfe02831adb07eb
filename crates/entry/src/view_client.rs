//! The service that keeps the steward's view up to date.

use std::rc::Rc;

use base::prelude::*;
use peers::{EntryStatus, FleetView, PeerReply, PeerRequest};
use route::RouteEvent;

use crate::context::EntryContext;
use crate::router::RouterService;

/// How long the steward may wait for a change before it answers.
const WAIT: TimeSpan = TimeSpan::millis(500);
/// Time limit of one exchange, beyond the wait.
const EXCHANGE_TIME: TimeSpan = TimeSpan::seconds(2);
/// Pause after a failed exchange.
const RETRY_PAUSE: TimeSpan = TimeSpan::millis(200);
/// Age of the view from which on the steward counts as silent.
const SILENT_AFTER: TimeSpan = TimeSpan::seconds(5);

/// What this entry tells its steward about itself.
#[must_use]
pub fn own_status(context: &EntryContext) -> EntryStatus {
    EntryStatus {
        incarnation: context.incarnation,
        address: context.settings.address,
        peer: context.settings.peer,
        leaving: context.stop.is_raised(),
        calls: context.calls(),
        config_offset: context.fleet.borrow().config_offset(),
    }
}

/// Asks the steward for changes until the process ends. The last view stays in use while
/// the steward is silent.
pub async fn follow_steward(context: Rc<EntryContext>, router: Rc<RouterService>) {
    let mut silent = false;
    loop {
        match ask(&context).await {
            Ok(view) => {
                apply(&context, &router, view);
                context.counters.count("view.applied");
                if silent {
                    silent = false;
                    tracing::info!(step = "view", peer = %context.settings.steward, "steward is back");
                }
            }
            Err(error) => {
                context.counters.count("view.failed");
                let age = context.now().since(context.fleet.borrow().updated);
                if !silent && age > SILENT_AFTER {
                    silent = true;
                    tracing::warn!(
                        step = "view", peer = %context.settings.steward, %error,
                        "steward is silent: the last view stays in use"
                    );
                }
                kernel::sleep(RETRY_PAUSE.into()).await;
            }
        }
    }
}

async fn ask(context: &EntryContext) -> Result<FleetView, Arc<str>> {
    let (version, steward) = {
        let fleet = context.fleet.borrow();
        (fleet.version, fleet.steward)
    };
    let request = PeerRequest::View { status: own_status(context), version, steward, wait: WAIT };
    let reply = context.peers.call(context.settings.steward, request, WAIT + EXCHANGE_TIME).await;
    match reply {
        Ok(PeerReply::View(view)) => Ok(*view),
        Ok(_) => Err(Arc::from("unexpected reply")),
        Err(error) => Err(Arc::from(error.to_string())),
    }
}

fn apply(context: &EntryContext, router: &RouterService, view: FleetView) {
    let reports: Vec<RunnerReport> =
        view.runners.iter().filter_map(|record| record.report.clone()).collect();
    let cache_events = view.cache_events.clone();
    let changes = context.fleet.borrow_mut().apply(context.now(), view);
    if changes.config {
        let offset = context.fleet.borrow().config_offset();
        tracing::info!(step = "configuration", %offset, "in force");
    }
    router.update(changes, reports);
    for (runner, event) in cache_events {
        router.tell(RouteEvent::Cache { runner, event });
    }
}
