//! The steward's parts of the state dump.

use std::rc::Rc;

use serde_json::json;

use crate::config_service::{CONFIG_SERVICE, ConfigService};
use crate::context::StewardContext;
use crate::order_service::{ORDER_SERVICE, OrderService};

/// Registers the dumps of all services.
pub fn register(
    context: &Rc<StewardContext>,
    config: &Rc<ConfigService>,
    orders: &Rc<OrderService>,
) {
    let service = Rc::clone(config);
    context.registry.register_dump(CONFIG_SERVICE, {
        let shared = Rc::downgrade(context);
        move || shared.upgrade().map_or(json!(null), |context| service.dump(context.now()))
    });
    let service = Rc::clone(orders);
    let shared = Rc::downgrade(context);
    context.registry.register_dump(ORDER_SERVICE, move || {
        let Some(context) = shared.upgrade() else { return json!(null) };
        service.dump(&context.read_fleet(peers::FleetDesk::places))
    });
    let shared = Rc::downgrade(context);
    context.registry.register_dump("fleet", move || {
        let Some(context) = shared.upgrade() else { return json!(null) };
        let now = context.now();
        context.read_fleet(|fleet| fleet.dump(now))
    });
    let shared = Rc::downgrade(context);
    context.registry.register_dump("counters", move || {
        shared.upgrade().map_or(json!(null), |context| json!(context.counters.snapshot()))
    });
    let shared = Rc::downgrade(context);
    context.registry.register_dump("peers", move || {
        let Some(context) = shared.upgrade() else { return json!(null) };
        json!({
            "links": context.peers.links(),
            "connections": context.peers.connections(),
            "requests": context.peers.requests(),
            "rejected": context.peers.rejected(),
        })
    });
}
