//! What can happen next.

use base::{FencingNumber, prelude::*};
use orders::OrderEvent;

use super::ClaimVariant;
use super::world::{ClaimWorld, vm_name};

#[derive(Debug, Clone)]
pub(super) enum ClaimStep {
    /// A steward's timer.
    Tick(usize),
    /// A steward reads the next record, or that there is none.
    Read(usize),
    /// A steward asks for the VM list, which is answered at once and may travel long.
    AskList(usize),
    TakeList(usize),
    /// The VM list catches up with the truth.
    Publish,
    Append(Arc<str>),
    Expire,
    Order(usize, FencingNumber),
    /// A VM vanishes, and with it what it has not written.
    Die(usize),
    /// A VM's process is replaced by a new one.
    Restart(usize),
}

pub(super) fn enabled(world: &ClaimWorld) -> Vec<ClaimStep> {
    let mut steps = Vec::new();
    for (vm, state) in world.vms.iter().enumerate() {
        let Some(state) = state else { continue };
        steps.extend([ClaimStep::Tick(vm), ClaimStep::Read(vm)]);
        if state.list.is_some() {
            steps.push(ClaimStep::TakeList(vm));
        } else if world.left.lists > 0 {
            steps.push(ClaimStep::AskList(vm));
        }
        if world.left.deaths > 0 {
            steps.push(ClaimStep::Die(vm));
        }
        if world.left.restarts > 0 {
            steps.push(ClaimStep::Restart(vm));
        }
    }
    steps.push(ClaimStep::Publish);
    steps.extend(world.appends.iter().map(|text| ClaimStep::Append(text.clone())));
    if world.left.expiries > 0 && world.expired < world.records.len() {
        steps.push(ClaimStep::Expire);
    }
    steps.extend(world.orders.iter().map(|(vm, fence)| ClaimStep::Order(*vm, *fence)));
    steps
}

pub(super) fn apply(world: &ClaimWorld, step: &ClaimStep, variant: ClaimVariant) -> ClaimWorld {
    let mut next = world.clone();
    match step {
        ClaimStep::Tick(vm) => next.give(*vm, OrderEvent::Tick),
        ClaimStep::Read(vm) => read(&mut next, *vm, variant),
        ClaimStep::AskList(vm) => {
            next.left.lists -= 1;
            let list = next.list();
            if let Some(state) = &mut next.vms[*vm] {
                let state = Arc::make_mut(state);
                state.list = Some((state.controller.offset(), list));
            }
        }
        ClaimStep::TakeList(vm) => take_list(&mut next, *vm, variant),
        ClaimStep::Publish => {
            next.listed = next.vms.iter().map(Option::is_some).collect();
        }
        ClaimStep::Append(text) => {
            next.appends.remove(text);
            next.records.push(text.clone());
        }
        ClaimStep::Expire => {
            next.left.expiries -= 1;
            next.expired += 1;
        }
        ClaimStep::Order(vm, fence) => {
            next.orders.remove(&(*vm, *fence));
            next.take(*vm, *fence, variant.is_checked());
        }
        ClaimStep::Die(vm) => {
            next.left.deaths -= 1;
            next.vms[*vm] = None;
            next.orders.retain(|(from, _)| from != vm);
        }
        ClaimStep::Restart(vm) => {
            next.left.restarts -= 1;
            let started = next.start(*vm, variant);
            next.vms[*vm] = Some(Arc::new(started));
            next.orders.retain(|(from, _)| from != vm);
        }
    }
    next
}

fn read(next: &mut ClaimWorld, vm: usize, variant: ClaimVariant) {
    let Some(state) = &next.vms[vm] else { return };
    let empty = OrderEvent::Log {
        first: LogOffset(next.expired as u64 + 1),
        records: Vec::new(),
        at_end: true,
    };
    let page = next.page(state.controller.next_offset(), variant).unwrap_or(empty);
    next.give(vm, page);
}

fn take_list(next: &mut ClaimWorld, vm: usize, variant: ClaimVariant) {
    let Some(state) = &mut next.vms[vm] else { return };
    let state = Arc::make_mut(state);
    let Some((mut after, mut vms)) = state.list.take() else { return };
    if variant == ClaimVariant::ListOfAnyAge {
        after = state.controller.offset();
    }
    if variant == ClaimVariant::ClaimsUnlisted && !vms.contains(&vm_name(vm)) {
        vms.push(vm_name(vm));
    }
    next.give(vm, OrderEvent::VmList { after, vms });
}
