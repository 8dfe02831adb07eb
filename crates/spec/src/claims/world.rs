//! VMs, the log, the VM list and one target.

use std::collections::BTreeSet;

use base::{FencingNumber, prelude::*};
use orders::{
    OrderAction, OrderController, OrderEvent, OrderMember, OrderModel, OrderPlan, OrderRunner,
    OrderService, OrderSettings,
};

use super::ClaimVariant;

/// How much may happen in a world.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ClaimBounds {
    pub(super) vms: usize,
    /// Records that are sent to the log.
    pub(super) appends: u32,
    pub(super) deaths: u32,
    pub(super) restarts: u32,
    /// Records that expire.
    pub(super) expiries: u32,
    /// Requests of the VM list.
    pub(super) lists: u32,
}

/// One VM's steward.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ClaimVm {
    pub(super) controller: OrderController,
    /// A VM list on its way: the offset when it was asked for, and the VMs on it.
    pub(super) list: Option<(LogOffset, Vec<VmId>)>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct ClaimWorld {
    pub(super) left: ClaimBounds,
    /// Shared with earlier states until they change.
    pub(super) vms: Vec<Option<Arc<ClaimVm>>>,
    pub(super) starts: u64,
    /// VMs on the platform's list, which lags; the first VM is new and not on it yet.
    pub(super) listed: Vec<bool>,
    /// All records ever appended; the first `expired` ones are gone.
    pub(super) records: Vec<Arc<str>>,
    pub(super) expired: usize,
    /// Records on their way to the log.
    pub(super) appends: BTreeSet<Arc<str>>,
    /// Orders written by a VM (or held by a paused one) that have not arrived.
    pub(super) orders: BTreeSet<(usize, FencingNumber)>,
    /// Who gave the last order taken by the target.
    pub(super) taken: Option<(usize, FencingNumber)>,
    pub(super) violation: Option<&'static str>,
}

pub(super) fn vm_name(number: usize) -> VmId {
    ["a", "b", "c"][number].parse().expect("a valid name")
}

fn place() -> PlaceName {
    "caerdydd".parse().expect("a valid name")
}

fn target() -> RunnerId {
    "target".parse().expect("a valid name")
}

impl ClaimWorld {
    pub(super) fn new(bounds: ClaimBounds, variant: ClaimVariant) -> Self {
        let mut world = Self {
            left: bounds,
            vms: Vec::new(),
            starts: 0,
            listed: (0..bounds.vms).map(|vm| vm > 0).collect(),
            records: Vec::new(),
            expired: 0,
            appends: BTreeSet::new(),
            orders: BTreeSet::new(),
            taken: None,
            violation: None,
        };
        for vm in 0..bounds.vms {
            let started = world.start(vm, variant);
            world.vms.push(Some(Arc::new(started)));
            let list = OrderEvent::VmList { after: LogOffset(0), vms: world.list() };
            world.give(vm, list);
        }
        world
    }

    /// A new process on a VM; it knows the plan and the target's report, and takes all
    /// other VMs for silent, so that it claims whenever it may.
    pub(super) fn start(&mut self, vm: usize, variant: ClaimVariant) -> ClaimVm {
        self.starts += 1;
        let settings = OrderSettings {
            vm: vm_name(vm),
            incarnation: VmIncarnation(self.starts),
            renew_after: TimeSpan::default(),
            append_retry: TimeSpan::default(),
            order_retry: TimeSpan::default(),
            drain_notice: TimeSpan::default(),
            load_interval: TimeSpan::default(),
        };
        let mut controller = OrderController::new(settings);
        let checks_fencing = variant.is_checked() || variant == ClaimVariant::TakenForFenced;
        let events = [
            OrderEvent::Members(self.members(vm)),
            OrderEvent::Plan(plan(checks_fencing)),
            OrderEvent::Runners(vec![OrderRunner {
                runner: target(),
                service: "summaries".parse().expect("a valid name"),
                place: place(),
                leaving: false,
            }]),
            OrderEvent::Report(report()),
        ];
        for event in events {
            controller.handle(TimePoint::default(), event);
        }
        ClaimVm { controller, list: None }
    }

    fn members(&self, only: usize) -> Vec<OrderMember> {
        let member = |vm| OrderMember { vm: vm_name(vm), leaving: false, silent: only != vm };
        (0..self.left.vms).map(member).collect()
    }

    pub(super) fn give(&mut self, vm: usize, event: OrderEvent) {
        let Some(state) = &mut self.vms[vm] else { return };
        let state = Arc::make_mut(state);
        let actions = state.controller.handle(TimePoint::default(), event);
        state.controller.take_counters();
        for action in actions {
            match action {
                OrderAction::Append { text } if self.left.appends > 0 => {
                    self.left.appends -= u32::from(self.appends.insert(text));
                }
                OrderAction::Order { fence, .. } => {
                    self.orders.insert((vm, fence));
                }
                // A paused process stops too late.
                OrderAction::Append { .. } | OrderAction::StopOrders { .. } => (),
            }
        }
    }

    /// The VMs on the platform's list now.
    pub(super) fn list(&self) -> Vec<VmId> {
        (0..self.left.vms).filter(|vm| self.listed[*vm]).map(vm_name).collect()
    }

    /// The next record for a reader, if there is one.
    pub(super) fn page(&self, next: LogOffset, variant: ClaimVariant) -> Option<OrderEvent> {
        let at = (next.0 as usize - 1).max(self.expired);
        let text = self.records.get(at)?.clone();
        let first = if variant == ClaimVariant::ExpiredIsWhole { 0 } else { self.expired };
        Some(OrderEvent::Log {
            first: LogOffset(first as u64 + 1),
            records: vec![(LogOffset(at as u64 + 1), text)],
            at_end: at + 1 == self.records.len(),
        })
    }

    /// An order arrives at the target.
    pub(super) fn take(&mut self, vm: usize, fence: FencingNumber, is_checked: bool) {
        let newest = self.taken.map_or(FencingNumber(0), |(_, newest)| newest);
        if is_checked && fence < newest {
            self.give(vm, OrderEvent::Refused { runner: target(), fence: newest });
            return;
        }
        if self.taken.is_some_and(|(holder, newest)| holder != vm && fence < newest) {
            self.violation = Some("an order of an earlier holder came after a later holder's");
        }
        self.taken = Some((vm, fence));
    }
}

fn plan(checks_fencing: bool) -> OrderPlan {
    let name = "model".parse().expect("a valid name");
    let service = OrderService {
        service: "summaries".parse().expect("a valid name"),
        checks_fencing,
        models: vec![OrderModel { name, runners: 0 }],
    };
    OrderPlan { services: vec![service], ..OrderPlan::default() }
}

fn report() -> RunnerReport {
    RunnerReport {
        runner: target(),
        incarnation: 1,
        sequence: 1,
        age: TimeSpan::default(),
        used_blocks: BlockCount(0),
        total_blocks: BlockCount(1),
        block_tokens: 1,
        running: 0,
        waiting: 0,
        preemptions: 0,
        step: TimeSpan::default(),
        leaving: false,
        models: Vec::new(),
        fence: 0,
    }
}
