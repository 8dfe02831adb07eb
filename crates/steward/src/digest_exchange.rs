//! Exchanges digests with the other stewards.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;

use base::prelude::*;
use futures_util::future::select;
use peers::{PeerReply, PeerRequest};

use crate::context::StewardContext;

/// Exchanges until the process ends: every period, and at once after urgent changes.
pub async fn run(context: Rc<StewardContext>) {
    let busy: Rc<RefCell<BTreeSet<VmId>>> = Rc::default();
    loop {
        for (vm, address) in context.update_fleet(peers::FleetDesk::due_peers) {
            if !busy.borrow_mut().insert(vm.clone()) {
                continue;
            }
            let (context, busy) = (Rc::clone(&context), Rc::clone(&busy));
            kernel::spawn(async move {
                exchange(&context, &vm, address).await;
                busy.borrow_mut().remove(&vm);
            })
            .detach();
        }
        let seen = context.changes.count();
        let now = context.now();
        let wake = context.read_fleet(|fleet| fleet.next_due(now));
        let pause = wake.since(now).max(TimeSpan::millis(1));
        select(pin!(kernel::sleep(pause.into())), pin!(context.changes.wait(seen))).await;
    }
}

async fn exchange(context: &StewardContext, vm: &VmId, address: SocketAddr) {
    let digest = context.read_fleet(|fleet| fleet.digest_for(context.now(), vm));
    let request = PeerRequest::Digest(Box::new(digest));
    match context.peers.call(address, request, context.settings.exchange_timeout).await {
        Ok(PeerReply::Digest(digest)) => {
            context.counters.count("digest.done");
            context.update_fleet(|fleet, now| fleet.on_digest(now, *digest));
        }
        // A stopping peer refuses; its announcement and its silence suffice to drop it.
        Ok(_) => context.counters.count("digest.refused"),
        Err(_) => context.counters.count("digest.failed"),
    }
}
