//! What a [`crate::BookingDesk`] is told.

use base::prelude::*;

use crate::{
    BookingCall, BookingKey, BookingReply, HomeAddress, SendNumber, StoredAnswer, TableHandover,
    TicketId,
};

/// How a send failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum BookingFault {
    /// No byte was written to any target (also: routing refused the call).
    NotSent {
        /// Why.
        reason: RefusalReason,
        /// When to come back, if that helps.
        retry_after: Option<TimeSpan>,
    },
    /// At least a part may have been written.
    MaybeSent,
}

/// An event for the desk.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum BookingEvent {
    /// A booking arrived. Whatever else the binding would refuse it for (share,
    /// deadline, no configuration) comes after the desk: only the desk knows whether
    /// an earlier attempt may have run.
    Request {
        /// Number of the waiting request.
        ticket: TicketId,
        /// The request.
        call: BookingCall,
    },
    /// The target's whole answer to a send; also one that comes late.
    Answered {
        /// The booking.
        key: BookingKey,
        /// The send that it answers.
        send: SendNumber,
        /// The answer.
        answer: StoredAnswer,
    },
    /// A send ended without an answer.
    Failed {
        /// The booking.
        key: BookingKey,
        /// The send that failed.
        send: SendNumber,
        /// How.
        fault: BookingFault,
    },
    /// The waiting caller left; its booking goes on.
    CallerLeft {
        /// The request.
        ticket: TicketId,
    },
    /// The home answered a forwarded call.
    ForwardAnswered {
        /// The request.
        ticket: TicketId,
        /// The home's answer.
        reply: BookingReply,
    },
    /// A forwarded call got no answer: no connection, a refusal, or a timeout.
    ForwardFailed {
        /// The request.
        ticket: TicketId,
    },
    /// Time passed; to be given at [`crate::BookingDesk::next_tick`].
    Tick,
    /// The process stops as planned: no new sends.
    Freeze,
    /// The table goes to this peer, and to no other unless that one refuses for ever.
    /// To be given once nothing is in flight, or when there is no more time (what is
    /// still in flight then becomes unknown).
    StartHandover {
        /// The adopter.
        adopter: HomeAddress,
    },
    /// The adopter has taken the table.
    HandoverAccepted {
        /// The adopter that says so.
        adopter: VmIncarnation,
    },
    /// The adopter is frozen itself: it never took the table and never will.
    HandoverRefused {
        /// The adopter that says so; a late refusal by an earlier one has no effect.
        adopter: VmIncarnation,
    },
    /// A stopping home hands its table to this process. Without any action in return, the
    /// table is meant for an earlier process at this address: neither accept nor refuse it.
    Adopt(TableHandover),
    /// A peer says that it has adopted the table of `home`.
    Adopted {
        /// The old incarnation.
        home: VmIncarnation,
        /// Who answers for its keys now.
        adopter: HomeAddress,
    },
}
