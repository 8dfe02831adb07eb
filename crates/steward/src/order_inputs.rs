//! The inputs of the order controller: events for what changed since the last ones.

use base::prelude::*;
use config::ConfigPlan;
use orders::{OrderEvent, OrderMember, OrderPlan, OrderRunner};
use peers::{FleetDesk, MemberState, RunnerRecord};

/// The inputs that the controller got last.
#[derive(Default)]
pub struct OrderInputs {
    version: u64,
    runners: Vec<OrderRunner>,
    members: Vec<OrderMember>,
    plan: Option<LogOffset>,
}

impl OrderInputs {
    /// Events for what changed in the fleet.
    pub fn fleet_events(&mut self, now: TimePoint, fleet: &FleetDesk) -> Vec<OrderEvent> {
        let members: Vec<OrderMember> =
            fleet.member_states().into_iter().map(order_member).collect();
        let runners: Vec<OrderRunner> =
            fleet.runner_state(now, 0).iter().map(order_runner).collect();
        let mut events = Vec::new();
        if members != self.members {
            self.members.clone_from(&members);
            events.push(OrderEvent::Members(members));
        }
        if runners != self.runners {
            self.runners.clone_from(&runners);
            events.push(OrderEvent::Runners(runners));
        }
        let changed = fleet.runner_state(now, self.version);
        events
            .extend(changed.into_iter().filter_map(|record| record.report).map(OrderEvent::Report));
        self.version = fleet.version();
        events
    }

    /// The event for `plan`, if it is another one.
    pub fn plan_event(&mut self, plan: &ConfigPlan) -> Option<OrderEvent> {
        if self.plan == Some(plan.offset) {
            return None;
        }
        self.plan = Some(plan.offset);
        Some(OrderEvent::Plan(OrderPlan::from(plan)))
    }
}

fn order_member(state: MemberState) -> OrderMember {
    OrderMember { vm: state.vm, leaving: state.leaving, silent: state.silent }
}

fn order_runner(record: &RunnerRecord) -> OrderRunner {
    OrderRunner {
        runner: record.runner.clone(),
        service: record.service.clone(),
        place: record.place.clone(),
        leaving: record.leaving,
    }
}
