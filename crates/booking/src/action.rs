//! Actions that a [`crate::BookingCoordinator`] requests from its adapter.

use base::prelude::*;

use crate::{
    BookingCall, BookingKey, BookingReply, HomeAddress, SendNumber, TableHandover, TicketId,
};

/// An action for the adapter to perform.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum BookingAction {
    /// Route the call to one target and write it there once, on a connection of its own.
    /// Never write it again, not even if the connection closes during the write. Report the
    /// result as `Answered` or `Failed` with the same key and send number, even after the
    /// deadline: a late answer is stored.
    Send {
        /// Identity of the booking.
        key: BookingKey,
        /// Number of this send.
        send: SendNumber,
        /// The call to send.
        call: BookingCall,
    },
    /// Answer a waiting request.
    Reply {
        /// The waiting request.
        ticket: TicketId,
        /// The reply to send.
        reply: BookingReply,
    },
    /// Forward the call to its home with its signed tag and the time left until its
    /// deadline. Report the result as `ForwardAnswered` or `ForwardFailed`.
    Forward {
        /// The waiting request.
        ticket: TicketId,
        /// Address of the home or of its adopter.
        home: HomeAddress,
        /// The call to forward.
        call: BookingCall,
    },
    /// Send the table to the adopter. The action is repeated until `HandoverAccepted` or
    /// `HandoverRefused`, which the adapter reports only if the adopter itself said so.
    SendHandover {
        /// The process that is to adopt the table.
        adopter: HomeAddress,
        /// The table to send.
        handover: Arc<TableHandover>,
    },
    /// Tell the stopping home that its table was adopted (`accepted`), or that this process
    /// has not adopted it and never will. After acceptance, tell all peers that this process
    /// answers for `home` and the other incarnations in [`crate::BookingCoordinator::homes`].
    AnswerHandover {
        /// The stopping home.
        home: VmIncarnation,
        /// Whether the table was adopted, now or earlier.
        accepted: bool,
    },
}
