//! Follows the platform's VM list.

use std::rc::Rc;

use platform::VmListClient;

use crate::context::StewardContext;
use crate::order_service::OrderService;

/// Polls the VM list until the process ends.
pub async fn run(context: Rc<StewardContext>, orders: Rc<OrderService>) {
    let client =
        VmListClient::new(context.settings.common.vm_list, context.settings.exchange_timeout);
    let mut answering = None;
    loop {
        let claims_read = orders.offset();
        let outcome = client.get().await;
        let answers = outcome.is_ok();
        match outcome {
            Ok(vms) => {
                context.counters.count("vm_list.done");
                context.update_fleet(|fleet, now| fleet.on_vms(now, &vms));
                orders.on_vm_list(context.now(), claims_read, &vms);
            }
            Err(error) => {
                context.counters.count("vm_list.failed");
                if answering != Some(false) {
                    tracing::warn!(step = "vm_list", %error, "VM list does not answer");
                }
            }
        }
        if answers && answering == Some(false) {
            tracing::info!(step = "vm_list", "VM list answers again");
        }
        answering = Some(answers);
        kernel::sleep(context.settings.vm_poll_interval.into()).await;
    }
}
