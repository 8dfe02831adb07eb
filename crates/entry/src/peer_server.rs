//! What this entry answers to our other processes.

use std::rc::Rc;

use base::prelude::*;
use peers::{PeerReply, PeerRequest};

use crate::bookings::BookingService;
use crate::context::EntryContext;

/// Answers one request of a peer.
pub async fn answer_peer(
    context: Rc<EntryContext>,
    bookings: Rc<BookingService>,
    request: PeerRequest,
) -> PeerReply {
    match request {
        PeerRequest::Call(call) => {
            let _guard = context.count_call();
            PeerReply::Call(bookings.serve_forwarded(call).await)
        }
        PeerRequest::Adopt(handover) => match bookings.adopt(handover) {
            Some(taken) => PeerReply::Adopted(taken),
            None => PeerReply::Refused(RefusalReason::Stopping),
        },
        PeerRequest::Adopted { homes, adopter } => {
            bookings.note_adopted(homes, adopter);
            PeerReply::Noted
        }
        PeerRequest::Dump => PeerReply::Dump(context.registry.dump().to_string()),
        _ => PeerReply::Refused(RefusalReason::NotFound),
    }
}
