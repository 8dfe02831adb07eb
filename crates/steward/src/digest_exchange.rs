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

/// Exchanges until the process ends: every period, and at once when there is urgent news.
pub async fn run(context: Rc<StewardContext>) {
    let busy: Rc<RefCell<BTreeSet<VmId>>> = Rc::default();
    loop {
        for (vm, address) in context.change(peers::FleetDesk::due_peers) {
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
        let seen = context.bell.rings();
        let now = context.now();
        let wake = context.look(|desk| desk.next_due(now));
        let pause = wake.since(now).max(TimeSpan::millis(1));
        select(pin!(kernel::sleep(pause.into())), pin!(context.bell.wait(seen))).await;
    }
}

async fn exchange(context: &StewardContext, vm: &VmId, address: SocketAddr) {
    let digest = context.look(|desk| desk.digest_for(context.now(), vm));
    let request = PeerRequest::Digest(Box::new(digest));
    match context.peers.call(address, request, context.settings.exchange_timeout).await {
        Ok(PeerReply::Digest(digest)) => {
            context.counters.count("digest.done");
            context.change(|desk, now| desk.on_digest(now, *digest));
        }
        // A stopping peer refuses; the others' words and its silence tell the rest.
        Ok(_) => context.counters.count("digest.refused"),
        Err(_) => context.counters.count("digest.failed"),
    }
}
