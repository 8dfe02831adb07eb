//! What a [`crate::BookingDesk`] wants done.

use base::prelude::*;

use crate::{
    BookingCall, BookingKey, BookingReply, HomeAddress, SendNumber, TableHandover, TicketId,
};

/// An action for the binding.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum BookingAction {
    /// Route the call to one target and write it there once, on a connection of its own,
    /// never again, not even after a connection that closed under it. Report the end by
    /// `Answered` or `Failed` with the same key and send number, also after the deadline:
    /// a late answer is kept.
    Send {
        /// The booking.
        key: BookingKey,
        /// Number of this send.
        send: SendNumber,
        /// The request.
        call: BookingCall,
    },
    /// Answer the waiting request now.
    Reply {
        /// The request.
        ticket: TicketId,
        /// The answer.
        reply: BookingReply,
    },
    /// Pass the call to its home with its signed tag and the time left until its
    /// deadline; answer by `ForwardAnswered` or `ForwardFailed`.
    Forward {
        /// The request.
        ticket: TicketId,
        /// Where its home or the home's adopter is.
        home: HomeAddress,
        /// The request.
        call: BookingCall,
    },
    /// Send the table to the adopter; repeated until `HandoverAccepted` or
    /// `HandoverRefused`, which are given only on the adopter's own word.
    SendHandover {
        /// The adopter.
        adopter: HomeAddress,
        /// The table.
        handover: Arc<TableHandover>,
    },
    /// Tell the stopping home that its table is taken (`accepted`), or that this process
    /// never took it and never will. After acceptance, tell all peers that this process
    /// answers for `home` and the other incarnations of [`crate::BookingDesk::homes`].
    AnswerHandover {
        /// Whose table it is.
        home: VmIncarnation,
        /// Whether it was taken, now or earlier.
        accepted: bool,
    },
}
