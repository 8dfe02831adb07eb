//! Answers requests of entries, other stewards and operators.

use std::rc::Rc;

use base::prelude::*;
use compio::time::timeout;
use peers::{EntryStatus, PeerReply, PeerRequest};

use crate::config_service::{CONFIG_SERVICE, ConfigService};
use crate::context::StewardContext;

/// Longest wait of a view; it bounds the time between two requests of an entry, which would
/// otherwise count as silent.
const MAX_VIEW_WAIT: TimeSpan = TimeSpan::seconds(1);
/// Time over which changes are batched into one view.
const VIEW_BATCH: TimeSpan = TimeSpan::millis(20);

/// Answers one request.
pub async fn answer(context: Rc<StewardContext>, request: PeerRequest) -> PeerReply {
    let Ok(config) = context.registry.find::<ConfigService>(CONFIG_SERVICE) else {
        return PeerReply::Refused(RefusalReason::NotReady);
    };
    match request {
        PeerRequest::View { status, version, steward, wait } => {
            let position = ViewPosition { version, steward, wait };
            view(&context, &config, &status, position).await
        }
        PeerRequest::Digest(digest) => {
            let from = digest.from.clone();
            if !context.update_fleet(|fleet, now| fleet.on_digest(now, *digest)) {
                context.counters.count("digest.stale");
            }
            let reply = context.read_fleet(|fleet| fleet.digest_for(context.now(), &from));
            PeerReply::Digest(Box::new(reply))
        }
        PeerRequest::ConfigPull { have } => PeerReply::Config(config.delta(have).map(Box::new)),
        PeerRequest::Leaving(leaving) => {
            context.update_fleet(|fleet, _| fleet.on_leaving(&leaving.runner, leaving.incarnation));
            PeerReply::Done
        }
        PeerRequest::Dump => PeerReply::Dump(context.registry.dump().to_string()),
        _ => PeerReply::Refused(RefusalReason::NotFound),
    }
}

/// The position of an entry's request in this steward's changes.
struct ViewPosition {
    version: u64,
    steward: VmIncarnation,
    wait: TimeSpan,
}

async fn view(
    context: &StewardContext,
    config: &ConfigService,
    status: &EntryStatus,
    position: ViewPosition,
) -> PeerReply {
    context.update_fleet(|fleet, now| fleet.on_entry(now, status));
    let deadline = context.now() + position.wait.min(MAX_VIEW_WAIT);
    let same_incarnation = position.steward == context.incarnation();
    let has_changed = || {
        let plan = config.plan();
        let newer = plan.is_some_and(|plan| plan.offset > status.config_offset);
        newer || context.read_fleet(|fleet| fleet.version() > position.version)
    };
    while same_incarnation && !has_changed() && context.now() < deadline {
        let seen = context.changes.count();
        let left = deadline.since(context.now());
        if timeout(left.into(), context.changes.wait(seen)).await.is_ok() {
            kernel::sleep(VIEW_BATCH.into()).await;
        }
    }
    context.counters.count("view.sent");
    let plan = config.plan();
    let now = context.now();
    let view = context.read_fleet(|fleet| {
        fleet.view(now, position.version, position.steward, plan.as_ref(), status.config_offset)
    });
    PeerReply::View(Box::new(view))
}
