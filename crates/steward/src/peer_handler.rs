//! Answers requests of entries, other stewards and operators.

use std::rc::Rc;

use base::prelude::*;
use compio::time::timeout;
use peers::{EntryStatus, PeerReply, PeerRequest};

use crate::config_service::{CONFIG_SERVICE, ConfigService};
use crate::context::StewardContext;

/// Longest wait of a view; an entry that asks again at once is then never silent.
const MAX_VIEW_WAIT: TimeSpan = TimeSpan::seconds(1);
/// Time over which changes are gathered into one view.
const VIEW_GATHER: TimeSpan = TimeSpan::millis(20);

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
            if !context.change(|desk, now| desk.on_digest(now, *digest)) {
                context.counters.count("digest.stale");
            }
            let reply = context.look(|desk| desk.digest_for(context.now(), &from));
            PeerReply::Digest(Box::new(reply))
        }
        PeerRequest::ConfigPull { have } => PeerReply::Config(config.delta(have).map(Box::new)),
        PeerRequest::Leaving(word) => {
            context.change(|desk, _| desk.on_leaving(&word.runner, word.incarnation));
            PeerReply::Done
        }
        PeerRequest::Dump => PeerReply::Dump(context.registry.dump().to_string()),
        _ => PeerReply::Refused(RefusalReason::NotFound),
    }
}

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
    context.change(|desk, now| desk.on_entry(now, status));
    let deadline = context.now() + position.wait.min(MAX_VIEW_WAIT);
    let fresh = position.steward == context.incarnation();
    let is_news = || {
        let plan = config.plan();
        let newer = plan.is_some_and(|plan| plan.offset > status.config_offset);
        newer || context.look(|desk| desk.version() > position.version)
    };
    while fresh && !is_news() && context.now() < deadline {
        let seen = context.bell.rings();
        let left = deadline.since(context.now());
        if timeout(left.into(), context.bell.wait(seen)).await.is_ok() {
            kernel::sleep(VIEW_GATHER.into()).await;
        }
    }
    context.counters.count("view.sent");
    let plan = config.plan();
    let now = context.now();
    let view = context.look(|desk| {
        desk.view(now, position.version, position.steward, plan.as_ref(), status.config_offset)
    });
    PeerReply::View(Box::new(view))
}
