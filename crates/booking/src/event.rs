//! Events that a [`crate::BookingCoordinator`] handles.

use base::prelude::*;

use crate::{
    BookingCall, BookingKey, BookingReply, HomeAddress, SendNumber, StoredAnswer, TableHandover,
    TicketId,
};

/// How a send failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BookingFault {
    /// No byte was written to any target, or routing refused the call.
    NotSent {
        /// Why nothing was sent.
        reason: RefusalReason,
        /// How long to wait before a retry, if a retry can help.
        retry_after: Option<TimeSpan>,
    },
    /// At least a part of the request may have been written.
    MaybeSent,
}

/// An event for the [`crate::BookingCoordinator`].
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum BookingEvent {
    /// A booking request arrived. The adapter must not refuse it for another reason (share,
    /// deadline, no configuration) before the coordinator has handled it: only the
    /// coordinator knows whether an earlier attempt may have run.
    Request {
        /// Identifies the waiting request.
        ticket: TicketId,
        /// The requested call.
        call: BookingCall,
    },
    /// The target answered a send, possibly after the deadline.
    Answered {
        /// Identity of the booking.
        key: BookingKey,
        /// The send that was answered.
        send: SendNumber,
        /// The target's complete answer.
        answer: StoredAnswer,
    },
    /// A send ended without an answer.
    Failed {
        /// Identity of the booking.
        key: BookingKey,
        /// The send that failed.
        send: SendNumber,
        /// How it failed.
        fault: BookingFault,
    },
    /// The caller of a waiting request disconnected; its booking continues.
    CallerLeft {
        /// The waiting request.
        ticket: TicketId,
    },
    /// The home answered a forwarded call.
    ForwardAnswered {
        /// The waiting request.
        ticket: TicketId,
        /// The home's reply.
        reply: BookingReply,
    },
    /// A forwarded call got no reply: the connection failed, was refused or timed out.
    ForwardFailed {
        /// The waiting request.
        ticket: TicketId,
    },
    /// A timer expired; due at [`crate::BookingCoordinator::next_tick`].
    Tick,
    /// A planned stop begins: nothing new is sent.
    Freeze,
    /// Hands the table over to one peer; another may be chosen only if that one refuses.
    /// Reported once nothing is in flight, or when the time for that is over; sends that are
    /// still in flight then become unknown.
    StartHandover {
        /// The process that is to adopt the table.
        adopter: HomeAddress,
    },
    /// The adopter has adopted the table.
    HandoverAccepted {
        /// The adopter that confirmed.
        adopter: VmIncarnation,
    },
    /// The adopter is stopping itself: it has not adopted the table and never will.
    HandoverRefused {
        /// The adopter that refused; a late refusal by an earlier one has no effect.
        adopter: VmIncarnation,
    },
    /// A stopping home sent its table to this process. If no action is returned, the table is
    /// meant for an earlier process at this address and must be neither accepted nor refused.
    Adopt(TableHandover),
    /// A peer announced that it has adopted the table of `home`.
    Adopted {
        /// The stopped incarnation.
        home: VmIncarnation,
        /// The process that answers for its keys now.
        adopter: HomeAddress,
    },
}
