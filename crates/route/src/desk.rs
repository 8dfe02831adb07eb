//! The desk: every routing decision of one entry.

use std::collections::BTreeMap;

use base::{AttemptNumber, prelude::*};

use crate::{CallId, RouteAction, RouteEvent, RouteMember, RouteSettings};

/// Time after which a refused caller may try again when nothing better is known.
const DEFAULT_COME_BACK: TimeSpan = TimeSpan::seconds(1);

/// Routing state of one entry.
pub struct RouteDesk {
    settings: RouteSettings,
    members: BTreeMap<ServiceName, Vec<RouteMember>>,
    sent: BTreeMap<CallId, RunnerId>,
    load: BTreeMap<RunnerId, u32>,
}

impl RouteDesk {
    /// An empty desk.
    #[must_use]
    pub fn new(settings: RouteSettings) -> Self {
        Self { settings, members: BTreeMap::new(), sent: BTreeMap::new(), load: BTreeMap::new() }
    }

    /// Takes one event and gives what is to be done now.
    pub fn handle(&mut self, _now: TimePoint, event: RouteEvent) -> Vec<RouteAction> {
        match event {
            RouteEvent::Members { service, members } => {
                self.members.insert(service, members);
            }
            RouteEvent::Arrive(call) => {
                let members = self.members.get(&call.service).map_or(&[][..], Vec::as_slice);
                let open = members.iter().filter(|member| !member.leaving);
                let Some(member) =
                    open.min_by_key(|m| self.load.get(&m.runner).copied().unwrap_or(0))
                else {
                    return vec![RouteAction::Refuse {
                        call: call.call,
                        reason: RefusalReason::NoRunner,
                        come_back: DEFAULT_COME_BACK,
                    }];
                };
                *self.load.entry(member.runner.clone()).or_default() += 1;
                self.sent.insert(call.call, member.runner.clone());
                return vec![RouteAction::Send {
                    call: call.call,
                    runner: member.runner.clone(),
                    attempt: AttemptNumber(0),
                }];
            }
            RouteEvent::Ended { call, .. } => {
                if let Some(load) = self.sent.remove(&call).and_then(|r| self.load.get_mut(&r)) {
                    *load -= 1;
                }
            }
            _ => (),
        }
        Vec::new()
    }

    /// The desk's state, for the dump.
    #[must_use]
    pub fn summary(&self) -> String {
        format!("{:?}: {} calls at runners", self.settings.policy, self.sent.len())
    }
}
