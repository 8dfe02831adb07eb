//! Gives the engines of the places that this machine holds their orders.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use base::FencingNumber;
use base::prelude::*;
use compio::runtime::JoinHandle;
use orders::{
    OrderAction, OrderController, OrderEvent, OrderMember, OrderPlan, OrderRunner, OrderSettings,
};
use peers::{FleetDesk, RunnerRecord};
use platform::{AppendOutcome, LogClient, LogPage};
use serde_json::{Value, json};
use web::{WebError, post_json};

use crate::config_service::ConfigService;
use crate::context::StewardContext;

/// Name of the service.
pub const ORDER_SERVICE: &str = "orders";
/// The log's stream of claims.
const ORDER_STREAM: &str = "orders";
/// How long the log may wait for a claim.
const LONG_POLL: TimeSpan = TimeSpan::seconds(5);
/// Claims of one read.
const PAGE_RECORDS: usize = 256;
/// Time between two reads of a log that does not answer.
const RETRY_PAUSE: TimeSpan = TimeSpan::seconds(1);
/// Time between two ticks of the controller.
const TICK: TimeSpan = TimeSpan::seconds(1);
/// Part of the log's retention after which a claim is renewed.
const RENEW_PART: u64 = 4;
/// Time after which a claim that was not read back is appended again.
const APPEND_RETRY: TimeSpan = TimeSpan::seconds(5);
/// Time after which an order that reports do not show yet is sent again.
const ORDER_RETRY: TimeSpan = TimeSpan::seconds(10);
/// Time that the entries need to learn that a model is going to be unloaded.
const DRAIN_NOTICE: TimeSpan = TimeSpan::seconds(3);
/// Time between two loads from the weight store, over all holders.
const LOAD_INTERVAL: TimeSpan = TimeSpan::seconds(2);
/// Status by which a runner refuses an old fencing number.
const CONFLICT: u16 = 409;

struct RunningOrder {
    place: PlaceName,
    done: Rc<Cell<bool>>,
    /// Dropping it ends the exchange.
    _task: JoinHandle<()>,
}

/// What the controller was last told of the fleet.
#[derive(Default)]
struct ToldFleet {
    version: u64,
    runners: Vec<OrderRunner>,
    members: Vec<OrderMember>,
    plan: Option<LogOffset>,
}

/// Claims places in the log, and brings their engines to the models that are wanted.
pub struct OrderService {
    controller: RefCell<OrderController>,
    client: LogClient,
    running: RefCell<BTreeMap<RunnerId, RunningOrder>>,
    told: RefCell<ToldFleet>,
}

impl OrderService {
    /// A service that holds nothing yet.
    #[must_use]
    pub fn new(context: &StewardContext) -> Rc<Self> {
        let settings = OrderSettings {
            vm: context.settings.common.vm.clone(),
            incarnation: context.incarnation(),
            renew_after: TimeSpan(context.settings.log_retention.0 / RENEW_PART),
            append_retry: APPEND_RETRY,
            order_retry: ORDER_RETRY,
            drain_notice: DRAIN_NOTICE,
            load_interval: LOAD_INTERVAL,
        };
        let client = LogClient::new(context.settings.common.log, context.settings.exchange_timeout);
        Rc::new(Self {
            controller: RefCell::new(OrderController::new(settings)),
            client,
            running: RefCell::default(),
            told: RefCell::default(),
        })
    }

    /// The last claim read, to be noted when the VM list is asked for.
    #[must_use]
    pub fn offset(&self) -> LogOffset {
        self.controller.borrow().offset()
    }

    /// Takes the VM list that was asked for when [`OrderService::offset`] was `after`. An
    /// empty list proves nothing.
    pub fn on_vm_list(&self, now: TimePoint, after: LogOffset, vms: &[VmRecord]) {
        if vms.is_empty() {
            return;
        }
        let vms = vms.iter().map(|vm| vm.vm.clone()).collect();
        self.controller.borrow_mut().handle(now, OrderEvent::VmList { after, vms });
    }

    /// The service's state, for the dump.
    #[must_use]
    pub fn dump(&self, places: &[PlaceName]) -> Value {
        let controller = self.controller.borrow();
        let held = places.iter().filter_map(|place| Some((place, controller.fence(place)?)));
        json!({
            "offset": controller.offset(),
            "held": held.map(|(place, fence)| (place.to_string(), fence.0)).collect::<Value>(),
            "draining": controller.draining().collect::<Vec<_>>(),
            "running": self.running.borrow().keys().collect::<Vec<_>>(),
        })
    }

    /// Reads the claims until the process ends.
    pub async fn follow(self: Rc<Self>, context: Rc<StewardContext>) {
        loop {
            let from = self.controller.borrow().next_offset();
            match self.client.read(ORDER_STREAM, from, LONG_POLL, PAGE_RECORDS).await {
                Ok(page) => {
                    context.change(FleetDesk::on_platform);
                    let event = log_event(from, page);
                    self.handle(&context, event);
                }
                Err(_) => kernel::sleep(RETRY_PAUSE.into()).await,
            }
        }
    }

    /// Reconciles until the process ends.
    pub async fn reconcile(self: Rc<Self>, context: Rc<StewardContext>, config: Rc<ConfigService>) {
        loop {
            self.tell_fleet(&context);
            self.tell_plan(&context, &config);
            self.running.borrow_mut().retain(|_, order| !order.done.get());
            self.handle(&context, OrderEvent::Tick);
            let draining: Vec<_> = self.controller.borrow().draining().cloned().collect();
            context.change(|fleet, _| fleet.set_draining(draining));
            self.count(&context);
            kernel::sleep(TICK.into()).await;
        }
    }

    fn handle(self: &Rc<Self>, context: &Rc<StewardContext>, event: OrderEvent) {
        let actions = self.controller.borrow_mut().handle(context.now(), event);
        for action in actions {
            self.act(context, action);
        }
    }

    fn tell_fleet(self: &Rc<Self>, context: &Rc<StewardContext>) {
        let mut told = self.told.borrow_mut();
        let now = context.now();
        let (records, members, version) = context
            .look(|fleet| (fleet.runner_state(now, 0), fleet.member_states(), fleet.version()));
        let members: Vec<OrderMember> = members
            .into_iter()
            .map(|state| OrderMember { vm: state.vm, leaving: state.leaving, silent: state.silent })
            .collect();
        let runners: Vec<OrderRunner> = records.iter().map(order_runner).collect();
        let mut events = Vec::new();
        if members != told.members {
            told.members.clone_from(&members);
            events.push(OrderEvent::Members(members));
        }
        if runners != told.runners {
            told.runners.clone_from(&runners);
            events.push(OrderEvent::Runners(runners));
        }
        let since = told.version;
        told.version = version;
        drop(told);
        let reports = context.look(|fleet| fleet.runner_state(now, since));
        events
            .extend(reports.into_iter().filter_map(|record| record.report).map(OrderEvent::Report));
        for event in events {
            self.handle(context, event);
        }
    }

    fn tell_plan(self: &Rc<Self>, context: &Rc<StewardContext>, config: &ConfigService) {
        let Some(plan) = config.plan() else { return };
        if self.told.borrow().plan == Some(plan.offset) {
            return;
        }
        self.told.borrow_mut().plan = Some(plan.offset);
        self.handle(context, OrderEvent::Plan(OrderPlan::from(&*plan)));
    }

    fn act(self: &Rc<Self>, context: &Rc<StewardContext>, action: OrderAction) {
        match action {
            OrderAction::Append { text } => {
                let client = self.client;
                kernel::spawn(async move { append(client, &text).await }).detach();
            }
            OrderAction::Order { runner, fence, models } => {
                self.start_order(context, runner, fence, models);
            }
            OrderAction::StopOrders { place } => {
                tracing::info!(step = "orders", %place, "place lost to another holder");
                self.running.borrow_mut().retain(|_, order| order.place != place);
            }
        }
    }

    fn start_order(
        self: &Rc<Self>,
        context: &Rc<StewardContext>,
        runner: RunnerId,
        fence: FencingNumber,
        models: Vec<ModelName>,
    ) {
        // A second order would race the first; the controller asks again if it is still needed.
        let busy = self.running.borrow().get(&runner).is_some_and(|order| !order.done.get());
        let target = context.look(|fleet| fleet.runner_address(&runner));
        let Some((address, place)) = target.filter(|_| !busy) else { return };
        let done = Rc::new(Cell::new(false));
        let (service, shared, ended) = (Rc::clone(self), Rc::clone(context), Rc::clone(&done));
        let target = runner.clone();
        let task = kernel::spawn(async move {
            let body = json!({ "fence": fence, "models": models });
            let limit = shared.settings.exchange_timeout;
            let step = "order to a runner";
            let answer = post_json::<Value>(step, address, "/orders", &body, limit).await;
            service.end_order(&shared, &target, fence, answer);
            ended.set(true);
        });
        self.running.borrow_mut().insert(runner, RunningOrder { place, done, _task: task });
    }

    fn end_order(
        self: &Rc<Self>,
        context: &Rc<StewardContext>,
        runner: &RunnerId,
        fence: FencingNumber,
        answer: std::result::Result<Value, WebError>,
    ) {
        match answer {
            Ok(_) => context.counters.count("order.done"),
            Err(WebError::Status { status: CONFLICT, .. }) => {
                // The runner has accepted a higher number; how much higher, its report says.
                let fence = fence.next();
                self.handle(context, OrderEvent::Refused { runner: runner.clone(), fence });
            }
            Err(error) => {
                context.counters.count("order.failed");
                tracing::debug!(step = "orders", %runner, %error, "order not answered");
            }
        }
    }

    fn count(&self, context: &StewardContext) {
        let counts = self.controller.borrow_mut().take_counters();
        let names = [
            ("order.claims", counts.claims),
            ("order.lost_places", counts.lost_places),
            ("order.sent", counts.orders),
            ("order.refused", counts.refused),
            ("order.unreadable", counts.unreadable),
            ("order.blocked", counts.blocked),
        ];
        for (name, amount) in names.into_iter().filter(|(_, amount)| *amount > 0) {
            context.counters.add(name, amount);
        }
    }
}

async fn append(client: LogClient, text: &str) {
    // A claim counts once it is read back; a lost one is appended again.
    if let AppendOutcome::NotAppended(reason) = client.append(ORDER_STREAM, text).await {
        tracing::debug!(step = "claim", %reason, "claim not appended");
    }
}

fn log_event(from: LogOffset, page: LogPage) -> OrderEvent {
    let last = page.records.last().map_or(from, |record| record.offset.next());
    let at_end = last >= page.next;
    let records = page.records.into_iter().map(|record| (record.offset, record.text)).collect();
    OrderEvent::Log { first: page.first, records, at_end }
}

fn order_runner(record: &RunnerRecord) -> OrderRunner {
    OrderRunner {
        runner: record.runner.clone(),
        service: record.service.clone(),
        place: record.place.clone(),
        leaving: record.leaving,
    }
}
