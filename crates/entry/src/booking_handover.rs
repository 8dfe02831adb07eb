//! How the bookings of a stopping entry go to another one.

use std::rc::Rc;

use base::prelude::*;
use booking::{BookingAction, BookingEvent, CoordinatorPhase, HomeAddress, TableHandover};
use peers::{PeerReply, PeerRequest};

use crate::bookings::{BookingService, TICK};

/// Time for one hand-over message.
const HAND_OVER_TIME: TimeSpan = TimeSpan::millis(1_500);

impl BookingService {
    /// Takes the table of a stopping home; tells whether it is taken, or nothing if it is
    /// meant for an earlier process at this address.
    pub fn adopt(&self, handover: TableHandover) -> Option<bool> {
        let event = BookingEvent::Adopt(handover);
        let actions = self.coordinator.borrow_mut().handle(self.context.now(), event);
        let mut taken = None;
        for action in actions {
            if let BookingAction::AnswerHandover { home, accepted } = action {
                taken = Some(accepted);
                tracing::info!(%home, accepted, step = "adopt", "bookings of a stopping entry");
            } else {
                self.act(action);
            }
        }
        if taken == Some(true) {
            self.announce_homes();
        }
        taken
    }

    /// Notes who answers for homes that have stopped.
    pub fn note_adopted(&self, homes: Vec<VmIncarnation>, adopter: HomeAddress) {
        for home in homes {
            self.tell(BookingEvent::Adopted { home, adopter });
        }
    }

    /// Stops as planned: drains the sends in flight, then hands the table to one adopter.
    /// Gives whether an adopter has taken it, or none was needed.
    pub async fn stop(&self, drain_until: TimePoint, give_up_at: TimePoint) -> bool {
        self.tell(BookingEvent::Freeze);
        while self.coordinator.borrow().in_flight() > 0 && self.context.now() < drain_until {
            kernel::sleep(TICK.into()).await;
        }
        let mut refused: Vec<VmIncarnation> = Vec::new();
        while self.context.now() < give_up_at {
            let Some(adopter) = self.choose_adopter(&refused) else { return false };
            self.tell(BookingEvent::StartHandover { adopter });
            if self.wait_handed_over(give_up_at).await {
                return true;
            }
            refused.push(adopter.incarnation);
        }
        false
    }

    /// Waits for the adopter's word; gives whether it has taken the table.
    async fn wait_handed_over(&self, give_up_at: TimePoint) -> bool {
        while self.context.now() < give_up_at {
            match self.coordinator.borrow().phase() {
                CoordinatorPhase::HandedOver { .. } => return true,
                CoordinatorPhase::HandingOver { .. } => (),
                _ => return false,
            }
            kernel::sleep(TICK.into()).await;
        }
        false
    }

    /// An entry that stays, other than those that refused; entries that stop choose different ones.
    fn choose_adopter(&self, refused: &[VmIncarnation]) -> Option<HomeAddress> {
        let fleet = self.context.fleet.borrow();
        let own = self.context.incarnation;
        let open = fleet.entries.iter().map(|entry| &entry.status).filter(|status| {
            !status.leaving && status.incarnation != own && !refused.contains(&status.incarnation)
        });
        let score = |incarnation: VmIncarnation| {
            base::rendezvous_score(&own.to_string(), &incarnation.to_string())
        };
        open.max_by_key(|status| score(status.incarnation))
            .map(|status| HomeAddress { incarnation: status.incarnation, peer: status.peer })
    }

    /// Tells the other entries for which homes this one answers.
    fn announce_homes(&self) {
        let (homes, adopter) = {
            let coordinator = self.coordinator.borrow();
            (coordinator.homes().collect::<Vec<_>>(), self.own_address())
        };
        let peers: Vec<_> = {
            let fleet = self.context.fleet.borrow();
            let others = fleet.entries.iter().map(|entry| &entry.status);
            others.filter(|s| s.incarnation != adopter.incarnation).map(|s| s.peer).collect()
        };
        for peer in peers {
            let request = PeerRequest::Adopted { homes: homes.clone(), adopter };
            let context = Rc::clone(&self.context);
            kernel::spawn(async move {
                // A peer that misses it forwards to the old home, and answers "unknown".
                let _ = context.peers.call(peer, request, HAND_OVER_TIME).await;
            })
            .detach();
        }
    }

    fn own_address(&self) -> HomeAddress {
        HomeAddress { incarnation: self.context.incarnation, peer: self.context.settings.peer }
    }

    /// Sends the table to its adopter.
    pub(crate) async fn hand_over(&self, adopter: HomeAddress, handover: &TableHandover) {
        let request = PeerRequest::Adopt(handover.clone());
        match self.context.peers.call(adopter.peer, request, HAND_OVER_TIME).await {
            Ok(PeerReply::Adopted(true)) => {
                self.tell(BookingEvent::HandoverAccepted { adopter: adopter.incarnation });
            }
            Ok(PeerReply::Adopted(false)) => {
                self.tell(BookingEvent::HandoverRefused { adopter: adopter.incarnation });
            }
            // Only the adopter's own word counts; the coordinator asks it again.
            _ => (),
        }
    }
}
