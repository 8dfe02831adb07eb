//! Follows the published configuration, from the log or from peers.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use config::{
    ConfigDelta, ConfigFollower, ConfigPlan, FollowerAction, FollowerEvent, FollowerSettings,
};
use futures_channel::mpsc::{UnboundedReceiver, UnboundedSender, unbounded};
use futures_util::StreamExt;
use futures_util::future::{Either, select};
use peers::{PeerReply, PeerRequest};
use platform::{LogClient, LogPage};
use serde_json::{Value, json};

use crate::context::StewardContext;

/// Name of the service.
pub const CONFIG_SERVICE: &str = "config";
/// Longest time between two checks of the fleet.
const MAX_PAUSE: TimeSpan = TimeSpan::seconds(10);
/// The log's stream of published files.
const CONFIG_STREAM: &str = "config";

/// The configuration in force on this machine.
pub struct ConfigService {
    follower: RefCell<ConfigFollower>,
    client: LogClient,
    /// The highest offset of a peer that was passed to the follower.
    peer_offset: Cell<LogOffset>,
}

impl ConfigService {
    /// A service that has nothing yet.
    #[must_use]
    pub fn new(context: &StewardContext) -> Rc<Self> {
        let settings = FollowerSettings {
            seed: context.incarnation().0,
            vm: context.settings.common.vm.clone(),
            retention: context.settings.log_retention,
        };
        let client = LogClient::new(context.settings.common.log, context.settings.exchange_timeout);
        let follower = RefCell::new(ConfigFollower::new(settings));
        Rc::new(Self { follower, client, peer_offset: Cell::default() })
    }

    /// The plan in force; none before the first record.
    #[must_use]
    pub fn plan(&self) -> Option<Arc<ConfigPlan>> {
        let follower = self.follower.borrow();
        follower.is_ready().then(|| Arc::clone(follower.plan()))
    }

    /// The delta for a reader that has folded `have`; none if this process has no more.
    #[must_use]
    pub fn delta(&self, have: LogOffset) -> Option<ConfigDelta> {
        let follower = self.follower.borrow();
        let state = follower.state();
        (state.offset > have).then(|| state.delta(have))
    }

    /// The service's state, for the dump.
    #[must_use]
    pub fn dump(&self, now: TimePoint) -> Value {
        let follower = self.follower.borrow();
        json!({
            "accepted": follower.accepted(),
            "in_force": follower.plan().in_force,
            "unusable_files": follower.plan().unusable,
            "reads_the_log": follower.is_reader(),
            "records_missing": follower.has_gap(),
            "history": follower.history().lines(now),
        })
    }

    /// Follows until the process ends.
    pub async fn run(self: Rc<Self>, context: Rc<StewardContext>) {
        let (sender, mut events) = unbounded();
        let mut members = Vec::new();
        let mut event = FollowerEvent::Tick;
        loop {
            let actions = self.follower.borrow_mut().handle(context.now(), event);
            for action in actions {
                let (service, context) = (Rc::clone(&self), Rc::clone(&context));
                let sender = sender.clone();
                kernel::spawn(async move { service.act(&context, action, &sender).await }).detach();
            }
            event = self.next_event(&context, &mut members, &mut events).await;
        }
    }

    async fn next_event(
        &self,
        context: &StewardContext,
        members: &mut Vec<config::FollowerMember>,
        events: &mut UnboundedReceiver<FollowerEvent>,
    ) -> FollowerEvent {
        loop {
            let seen = context.changes.count();
            let present = context.read_fleet(peers::FleetDesk::members);
            if present != *members {
                members.clone_from(&present);
                return FollowerEvent::Members(present);
            }
            let newest = context.read_fleet(peers::FleetDesk::newest_config);
            if let Some((offset, _)) = newest.filter(|(offset, _)| self.raise_peer_offset(*offset))
            {
                return FollowerEvent::PeerOffset(offset);
            }
            let pause = self.follower.borrow().next_wake().since(context.now());
            if pause.0 == 0 {
                return FollowerEvent::Tick;
            }
            let sleep = pin!(kernel::sleep(pause.min(MAX_PAUSE).into()));
            let change = pin!(context.changes.wait(seen));
            let other = select(sleep, change);
            match select(events.next(), other).await {
                Either::Left((Some(event), _)) => return event,
                Either::Left((None, _)) | Either::Right(_) => (),
            }
        }
    }

    /// Raises the highest peer offset to `offset`; says whether it was lower.
    fn raise_peer_offset(&self, offset: LogOffset) -> bool {
        let known = self.peer_offset.get();
        self.peer_offset.set(known.max(offset));
        offset > known
    }

    async fn act(
        &self,
        context: &StewardContext,
        action: FollowerAction,
        sender: &UnboundedSender<FollowerEvent>,
    ) {
        let event = match action {
            FollowerAction::Read { from, wait, max } => {
                let page = self.client.read(CONFIG_STREAM, from, wait, max).await;
                read_event(context, page)
            }
            FollowerAction::RequestDelta { above } => {
                FollowerEvent::PeerDelta(request_delta(context, above).await)
            }
            FollowerAction::WriteCheckpoint(text) => {
                let outcome = self.client.append(CONFIG_STREAM, &text).await;
                tracing::info!(step = "checkpoint", ?outcome, "checkpoint written");
                FollowerEvent::CheckpointEnded
            }
            FollowerAction::InForce(offset) => return self.announce(context, offset),
        };
        // The receiver lives as long as the process.
        let _ = sender.unbounded_send(event);
    }

    fn announce(&self, context: &StewardContext, offset: LogOffset) {
        let accepted = self.follower.borrow().accepted();
        context.counters.gauge("config.accepted", accepted.0);
        context.counters.gauge("config.in_force", offset.0);
        tracing::info!(step = "config", %accepted, in_force = %offset, "configuration changed");
        context.update_fleet(|fleet, _| fleet.on_config(accepted));
    }
}

fn read_event(context: &StewardContext, page: platform::Result<LogPage>) -> FollowerEvent {
    let Ok(page) = page else {
        context.counters.count("log.read_failed");
        return FollowerEvent::ReadFailed;
    };
    context.update_fleet(peers::FleetDesk::on_platform);
    FollowerEvent::Page(page)
}

async fn request_delta(context: &StewardContext, above: LogOffset) -> Option<Arc<ConfigDelta>> {
    let (_, address) = context.read_fleet(peers::FleetDesk::newest_config)?;
    let request = PeerRequest::ConfigPull { have: above };
    match context.peers.call(address, request, context.settings.exchange_timeout).await {
        Ok(PeerReply::Config(delta)) => delta.map(|delta| Arc::new(*delta)),
        // The follower counts any other end as a failure and tries again after a pause.
        _ => None,
    }
}
