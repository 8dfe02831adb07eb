//! What can happen next.

use base::prelude::*;
use booking::{BookingEvent, BookingFault, CoordinatorPhase, TableHandover, TicketId};

use super::BookingVariant;
use super::world::{BookingWorld, Packet, Process, first_start};

#[derive(Debug, Clone)]
pub(super) enum BookingStep {
    Issue { at: Process },
    Deliver(Packet),
    GiveUp(Packet),
    Execute(Packet),
    Decline(Packet),
    ConnectFails(Packet),
    Break(Packet),
    LoseAnswer(Packet),
    Second,
    Crash(Process),
    Restart(Process),
    Freeze(Process),
    HandOver { from: Process, to: Process },
    UndoStop,
    AskAnother,
    LoseTable,
}

pub(super) fn enabled(world: &BookingWorld, variant: BookingVariant) -> Vec<BookingStep> {
    let mut steps = Vec::new();
    let processes = 0..world.coordinators.len();
    let live = processes.filter(|process| world.is_live(*process));
    if world.left.calls > 0 {
        steps.extend(live.clone().map(|at| BookingStep::Issue { at }));
    }
    for packet in &world.wire {
        packet_steps(world, packet, &mut steps);
    }
    if world.left.seconds > 0 {
        steps.push(BookingStep::Second);
    }
    if world.left.restarts > 0 {
        let crashed = (0..world.coordinators.len()).filter(|process| !world.is_live(*process));
        steps.extend(crashed.map(BookingStep::Restart));
    }
    for process in live {
        if world.left.crashes > 0 {
            steps.push(BookingStep::Crash(process));
        }
        match world.phase(process) {
            Some(CoordinatorPhase::Serving) if world.left.stops > 0 && process < 2 => {
                steps.push(BookingStep::Freeze(process));
            }
            Some(CoordinatorPhase::Frozen) => {
                let others = (1..world.coordinators.len()).filter(|to| *to != process);
                steps.extend(others.map(|to| BookingStep::HandOver { from: process, to }));
            }
            _ => (),
        }
    }
    let is_handing = matches!(world.phase(0), Some(CoordinatorPhase::HandingOver { .. }));
    match variant {
        BookingVariant::ServesAfterLostAck if is_handing => steps.push(BookingStep::UndoStop),
        BookingVariant::SecondAdopter if is_handing => steps.push(BookingStep::AskAnother),
        BookingVariant::TableLost if world.is_live(0) => steps.push(BookingStep::LoseTable),
        _ => (),
    }
    steps
}

fn packet_steps(world: &BookingWorld, packet: &Packet, steps: &mut Vec<BookingStep>) {
    let packet = packet.clone();
    match packet {
        Packet::Forward { from, to, given_up, .. } => {
            if world.is_live(to) {
                steps.push(BookingStep::Deliver(packet.clone()));
            }
            if !given_up && world.is_live(from) {
                steps.push(BookingStep::GiveUp(packet));
            }
        }
        Packet::Run { reported, .. } => {
            steps.push(BookingStep::Execute(packet.clone()));
            if !reported {
                steps.push(BookingStep::Decline(packet.clone()));
                steps.push(BookingStep::ConnectFails(packet.clone()));
                steps.push(BookingStep::Break(packet));
            }
        }
        Packet::Answer { .. } => {
            steps.push(BookingStep::Deliver(packet.clone()));
            steps.push(BookingStep::LoseAnswer(packet));
        }
        Packet::Table { to, .. } | Packet::Taken { to, .. } if !world.is_live(to) => (),
        Packet::Table { .. } | Packet::Taken { .. } => {
            steps.push(BookingStep::Deliver(packet));
        }
    }
}

pub(super) fn apply(
    world: &BookingWorld,
    step: &BookingStep,
    variant: BookingVariant,
) -> BookingWorld {
    let mut next = world.clone();
    match step.clone() {
        BookingStep::Issue { at } => {
            let event = next.call(next.left.calls);
            next.left.calls -= 1;
            next.give(at, event, variant);
        }
        BookingStep::Second => {
            next.left.seconds -= 1;
            next.seconds += 1;
            for process in 0..next.coordinators.len() {
                next.give(process, BookingEvent::Tick, variant);
            }
        }
        BookingStep::Crash(process) => {
            next.left.crashes -= 1;
            next.coordinators[process] = None;
        }
        BookingStep::Restart(process) => {
            next.left.restarts -= 1;
            next.restart(process);
        }
        BookingStep::Freeze(process) => {
            next.left.stops -= 1;
            if process == 0 && undoes_stop(variant) {
                next.saved = next.coordinators[0].clone();
            }
            next.give(process, BookingEvent::Freeze, variant);
        }
        BookingStep::HandOver { from, to } => {
            let adopter = next.address(to);
            next.give(from, BookingEvent::StartHandover { adopter }, variant);
        }
        BookingStep::UndoStop => next.coordinators[0] = next.saved.take(),
        BookingStep::AskAnother => {
            next.coordinators[0] = next.saved.take();
            next.give(0, BookingEvent::Freeze, variant);
            let adopter = next.address(2);
            next.give(0, BookingEvent::StartHandover { adopter }, variant);
        }
        BookingStep::LoseTable => {
            next.coordinators[0].clone_from(&BookingWorld::new(next.left).coordinators[0]);
        }
        BookingStep::Deliver(packet) => deliver(&mut next, &packet, variant),
        other => fail(&mut next, other, variant),
    }
    next.check();
    next
}

fn undoes_stop(variant: BookingVariant) -> bool {
    matches!(variant, BookingVariant::ServesAfterLostAck | BookingVariant::SecondAdopter)
}

fn deliver(next: &mut BookingWorld, packet: &Packet, variant: BookingVariant) {
    match *packet {
        Packet::Forward { from, to, ticket, .. } => {
            next.wire.remove(packet);
            let event = next.call(BookingWorld::next_ticket(from, ticket));
            next.give(to, event, variant);
        }
        Packet::Answer { to, send } => {
            next.wire.remove(packet);
            let event = next.answered(send, false);
            next.give(to, event, variant);
        }
        Packet::Table { from, to, asked } => {
            let mut table = TableHandover::clone(&next.tables[&(from, asked)]);
            if variant == BookingVariant::NewStartAdopts {
                table.to = next.address(to).incarnation;
            }
            next.asked = asked;
            next.give(to, BookingEvent::Adopt(table), variant);
            next.asked = VmIncarnation(0);
        }
        Packet::Taken { to, asked: adopter, accepted } => {
            let event = if accepted {
                BookingEvent::HandoverAccepted { adopter }
            } else {
                BookingEvent::HandoverRefused { adopter }
            };
            next.give(to, event, variant);
        }
        Packet::Run { .. } => (),
    }
}

fn fail(next: &mut BookingWorld, step: BookingStep, variant: BookingVariant) {
    match step {
        BookingStep::GiveUp(packet) => {
            let Packet::Forward { from: asker, to, ticket, .. } = packet else { return };
            next.wire.remove(&packet);
            next.wire.insert(Packet::Forward { from: asker, to, ticket, given_up: true });
            if variant == BookingVariant::ForwarderRuns {
                let from = first_start(0).incarnation;
                let homes = vec![(from, next.now(0))];
                let to = next.address(asker).incarnation;
                let table = TableHandover { from, to, homes, entries: Vec::new() };
                next.give(asker, BookingEvent::Adopt(table), variant);
                let event = next.call(ticket);
                next.give(asker, event, variant);
                return;
            }
            next.give(asker, BookingEvent::ForwardFailed { ticket: TicketId(ticket) }, variant);
        }
        BookingStep::Execute(packet) => {
            let Packet::Run { from, send, reported } = packet else { return };
            if variant != BookingVariant::ClientResends {
                next.wire.remove(&packet);
            }
            next.runs += 1;
            if !reported {
                next.wire.insert(Packet::Answer { to: from, send });
            }
        }
        BookingStep::ConnectFails(packet) => {
            let Packet::Run { from, send, .. } = packet else { return };
            next.wire.remove(&packet);
            let reason = RefusalReason::NoRunner;
            let fault = BookingFault::NotSent { reason, retry_after: None };
            let event = next.failed(send, fault);
            next.give(from, event, variant);
        }
        BookingStep::Decline(packet) => {
            let Packet::Run { from, send, .. } = packet else { return };
            next.wire.remove(&packet);
            let event = next.answered(send, true);
            next.give(from, event, variant);
        }
        BookingStep::Break(packet) => {
            let Packet::Run { from, send, .. } = packet else { return };
            next.wire.remove(&packet);
            next.wire.insert(Packet::Run { from, send, reported: true });
            let fault = break_fault(variant);
            let event = next.failed(send, fault);
            next.give(from, event, variant);
        }
        BookingStep::LoseAnswer(packet) => {
            let Packet::Answer { to, send } = packet else { return };
            next.wire.remove(&packet);
            let event = next.failed(send, break_fault(variant));
            next.give(to, event, variant);
        }
        _ => (),
    }
}

fn break_fault(variant: BookingVariant) -> BookingFault {
    if variant == BookingVariant::BreakSaidNotSent {
        return BookingFault::NotSent { reason: RefusalReason::NoRunner, retry_after: None };
    }
    BookingFault::MaybeSent
}
