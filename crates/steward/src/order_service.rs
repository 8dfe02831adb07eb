//! Claims places in the log, and sends orders to the engines of the places held.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use base::FencingNumber;
use base::prelude::*;
use compio::runtime::JoinHandle;
use orders::{OrderAction, OrderController, OrderEvent, OrderSettings};
use peers::FleetDesk;
use platform::{AppendOutcome, LogClient, LogPage};
use serde_json::{Value, json};
use web::{WebError, post_json};

use crate::config_service::ConfigService;
use crate::context::StewardContext;
use crate::order_inputs::OrderInputs;

/// Name of the service.
pub const ORDER_SERVICE: &str = "orders";
/// The log's stream of claims.
const ORDER_STREAM: &str = "orders";
/// Time for which the log may hold a read that waits for a claim.
const LONG_POLL: TimeSpan = TimeSpan::seconds(5);
/// Most claims of one read.
const PAGE_RECORDS: usize = 256;
/// Pause after a failed read of the log.
const RETRY_PAUSE: TimeSpan = TimeSpan::seconds(1);
/// Time between two ticks of the controller.
const TICK: TimeSpan = TimeSpan::seconds(1);
/// Renewals of a claim within the log's retention.
const RENEWALS_PER_RETENTION: u64 = 4;
/// Time after which a claim that was not read back is appended again.
const APPEND_RETRY: TimeSpan = TimeSpan::seconds(5);
/// Time after which an order that the reports do not confirm is sent again.
const ORDER_RETRY: TimeSpan = TimeSpan::seconds(10);
/// Time for the entries to learn that a model is going to be unloaded.
const DRAIN_NOTICE: TimeSpan = TimeSpan::seconds(3);
/// Time between two loads from the weight store, over all holders.
const LOAD_INTERVAL: TimeSpan = TimeSpan::seconds(2);
/// HTTP status with which a runner rejects an old fencing number.
const CONFLICT: u16 = 409;

/// An order in flight.
struct RunningOrder {
    place: PlaceName,
    done: Rc<Cell<bool>>,
    /// Dropping it cancels the exchange.
    _task: JoinHandle<()>,
}

/// Drives the order controller: it reads and appends claims, and sends orders to engines.
pub struct OrderService {
    controller: RefCell<OrderController>,
    client: LogClient,
    running: RefCell<BTreeMap<RunnerId, RunningOrder>>,
    inputs: RefCell<OrderInputs>,
}

impl OrderService {
    /// A service that holds nothing yet.
    #[must_use]
    pub fn new(context: &StewardContext) -> Rc<Self> {
        let settings = OrderSettings {
            vm: context.settings.common.vm.clone(),
            incarnation: context.incarnation(),
            renew_after: TimeSpan(context.settings.log_retention.0 / RENEWALS_PER_RETENTION),
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
            inputs: RefCell::default(),
        })
    }

    /// The last claim read; to be read before a request for the VM list.
    #[must_use]
    pub fn offset(&self) -> LogOffset {
        self.controller.borrow().offset()
    }

    /// Passes on the VM list that was requested when [`OrderService::offset`] was `after`. An
    /// empty list is a fault of the platform, and proves no machine gone.
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
                    context.update_fleet(FleetDesk::on_platform);
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
            self.send_inputs(&context, &config);
            self.running.borrow_mut().retain(|_, order| !order.done.get());
            self.handle(&context, OrderEvent::Tick);
            let draining: Vec<_> = self.controller.borrow().draining().cloned().collect();
            context.update_fleet(|fleet, _| fleet.set_draining(draining));
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

    fn send_inputs(self: &Rc<Self>, context: &Rc<StewardContext>, config: &ConfigService) {
        let now = context.now();
        let mut events =
            context.read_fleet(|fleet| self.inputs.borrow_mut().fleet_events(now, fleet));
        if let Some(plan) = config.plan() {
            events.extend(self.inputs.borrow_mut().plan_event(&plan));
        }
        for event in events {
            self.handle(context, event);
        }
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
        // A second order would race the first; the controller repeats it if it is still needed.
        let busy = self.running.borrow().get(&runner).is_some_and(|order| !order.done.get());
        let target = context.read_fleet(|fleet| fleet.runner_address(&runner));
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
                // The runner has accepted a higher number, which its next report gives exactly.
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
    // A claim is valid once it is read back; a lost one is appended again.
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
