//! Fake log stream, controllers that read it, and sample events.

#![allow(dead_code, reason = "each test file uses some of the functions")]

use base::{FencingNumber, prelude::*};
use orders::{
    OrderAction, OrderController, OrderEvent, OrderMember, OrderModel, OrderPlan, OrderRunner,
    OrderService, OrderSettings,
};

pub fn at(seconds: u64) -> TimePoint {
    TimePoint::default() + TimeSpan::seconds(seconds)
}

pub fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

pub fn place(name: &str) -> PlaceName {
    name.parse().unwrap()
}

pub fn settings(name: &str, incarnation: u64) -> OrderSettings {
    OrderSettings {
        vm: vm(name),
        incarnation: VmIncarnation(incarnation),
        renew_after: TimeSpan::seconds(600),
        append_retry: TimeSpan::seconds(5),
        order_retry: TimeSpan::seconds(10),
        drain_notice: TimeSpan::seconds(3),
        load_interval: TimeSpan::seconds(2),
    }
}

pub fn runner(id: &str, place: &str) -> OrderRunner {
    OrderRunner {
        runner: id.parse().unwrap(),
        service: "summaries".parse().unwrap(),
        place: place.parse().unwrap(),
        leaving: false,
    }
}

pub fn plan(checks_fencing: bool, models: &[(&str, u32)]) -> OrderPlan {
    let models = models.iter();
    let models =
        models.map(|(name, runners)| OrderModel { name: name.parse().unwrap(), runners: *runners });
    let service = OrderService {
        service: "summaries".parse().unwrap(),
        checks_fencing,
        models: models.collect(),
    };
    OrderPlan { services: vec![service], ..OrderPlan::default() }
}

pub fn report(runner: &str, sequence: u64, models: &[&str]) -> RunnerReport {
    RunnerReport {
        runner: runner.parse().unwrap(),
        incarnation: 1,
        sequence,
        age: TimeSpan::default(),
        used_blocks: BlockCount(0),
        total_blocks: BlockCount(100),
        block_tokens: 16,
        running: 0,
        waiting: 0,
        preemptions: 0,
        step: TimeSpan::millis(20),
        leaving: false,
        models: models.iter().map(|name| name.parse().unwrap()).collect(),
        fence: 0,
    }
}

pub fn members(names: &[(&str, bool)]) -> OrderEvent {
    let member = |(name, silent): &(&str, bool)| OrderMember {
        vm: vm(name),
        leaving: false,
        silent: *silent,
    };
    OrderEvent::Members(names.iter().map(member).collect())
}

/// In-memory stand-in for the stream `orders`, with expiry of records.
#[derive(Default)]
pub struct FakeStream {
    pub records: Vec<(LogOffset, Arc<str>)>,
    pub appended: u64,
}

impl FakeStream {
    pub fn append(&mut self, actions: &[OrderAction]) {
        for action in actions {
            if let OrderAction::Append { text } = action {
                self.appended += 1;
                self.records.push((LogOffset(self.appended), text.clone()));
            }
        }
    }

    pub fn expire(&mut self, count: usize) {
        self.records.drain(..count);
    }

    pub fn first(&self) -> LogOffset {
        self.records.first().map_or(LogOffset(self.appended + 1), |(offset, _)| *offset)
    }

    pub fn read_by(&self, now: TimePoint, controller: &mut OrderController) -> String {
        let from = controller.next_offset();
        let records = self.records.iter().filter(|(offset, _)| *offset >= from).cloned();
        let event =
            OrderEvent::Log { first: self.first(), records: records.collect(), at_end: true };
        text(&controller.handle(now, event))
    }
}

/// Creates the controller of VM `name` in a fleet of `a`, `b` and `c`; the runners `r1` and
/// `r2` have reported `m`, which the plan assigns to both.
pub fn controller(name: &str, checks_fencing: bool) -> OrderController {
    let mut controller = OrderController::new(settings(name, u64::from(name.as_bytes()[0])));
    let fleet = [("a", false), ("b", false), ("c", false)];
    controller.handle(at(0), members(&fleet));
    controller.handle(at(0), OrderEvent::Plan(plan(checks_fencing, &[("m", 0)])));
    let runners = vec![runner("r1", "caerdydd"), runner("r2", "caerdydd")];
    controller.handle(at(0), OrderEvent::Runners(runners));
    apply_vm_list(&mut controller, &["a", "b", "c"]);
    for runner in ["r1", "r2"] {
        controller.handle(at(0), OrderEvent::Report(report(runner, 1, &["m"])));
    }
    controller
}

pub fn apply_vm_list(controller: &mut OrderController, names: &[&str]) {
    let after = controller.offset();
    let vms = names.iter().map(|name| vm(name)).collect();
    controller.handle(at(0), OrderEvent::VmList { after, vms });
}

pub fn tick(controller: &mut OrderController, now: TimePoint) -> Vec<OrderAction> {
    controller.handle(now, OrderEvent::Tick)
}

pub fn fence(controller: &OrderController) -> Option<FencingNumber> {
    controller.fence(&place("caerdydd"))
}

/// Formats the actions in one line.
pub fn text(actions: &[OrderAction]) -> String {
    let line = |action: &OrderAction| match action {
        OrderAction::Append { text } => format!("append {text}"),
        OrderAction::Order { runner, fence, models } => {
            let models: Vec<&str> = models.iter().map(ModelName::as_str).collect();
            format!("order {runner} #{fence} {}", models.join("+"))
        }
        OrderAction::StopOrders { place } => format!("stop {place}"),
    };
    actions.iter().map(line).collect::<Vec<_>>().join("; ")
}
